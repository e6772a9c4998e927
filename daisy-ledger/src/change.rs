//! Applies operators' changes. Each is accepted or refused, and recorded in the audit trail.

use daisy_model::{
    Change, Command, Condition, Exit, Generation, JobId, JobKind, JobSpec, Name, Offset, Policy,
    PolicyChange, Priority, Resources, TeamId, WorkClass,
};

use crate::{
    AuditEntry, AuditStart, ChangeOutcome, Job, RecordOutcome, Refusal, State, Subject, Task,
    TaskState, Team,
};

impl State {
    /// The most tasks of one job.
    pub const MAX_TASKS: u32 = 100_000;
    /// The most tasks of all jobs that are waiting or running: four times the users' size plan.
    pub const MAX_OPEN_TASKS: u32 = 100_000;
    /// The most teams: the users plan for 29.
    pub const MAX_TEAMS: usize = 1_000;
    /// The most VMs drained at one time.
    pub const MAX_DRAINED: usize = 10_000;
    /// The most entries of the audit trail. Half of them are for changes of jobs and half for all
    /// other changes; one kind exceeds its half only while the other kind does not use its own.
    ///
    /// With 8,600 jobs and 360 other changes a day (the users' size plan), that covers half a day
    /// of job changes and two weeks of the others. The trail is the largest part of a snapshot.
    pub const MAX_AUDIT_ENTRIES: usize = 10_000;
    /// The greatest length of a statement, in bytes.
    pub const MAX_STATEMENT_BYTES: usize = 4_096;
    /// The number of entries removed at a time, so that trimming costs little per change.
    const AUDIT_TRIM_COUNT: usize = 1_000;

    pub(crate) fn change(&mut self, offset: Offset, change: &Change) -> RecordOutcome {
        let generation = Generation(offset.0 + 1);
        let result = self.try_change(generation, change);
        let (change_outcome, outcome) = match result {
            Ok(()) => {
                self.generation = generation;
                (ChangeOutcome::Accepted(generation), RecordOutcome::Accepted(generation))
            }
            Err(refusal) => {
                self.counts.refused += 1;
                let cause = refusal.to_string().into_boxed_str();
                (ChangeOutcome::Refused(cause), RecordOutcome::Refused(refusal))
            }
        };
        let mut change = change.clone();
        if change.text.len() > State::MAX_STATEMENT_BYTES {
            change.text = "(too long)".into();
        }
        self.audit(AuditEntry { offset, change, outcome: change_outcome });
        outcome
    }

    fn audit(&mut self, entry: AuditEntry) {
        if self.audit.len() >= State::MAX_AUDIT_ENTRIES {
            self.trim_audit();
        }
        self.audit.push(entry);
    }

    /// Removes the oldest entries about jobs or the oldest other entries, whichever are more.
    ///
    /// If the oldest entries of either kind were removed, thousands of job changes a day would
    /// displace the record of who drained a VM within a day or two.
    fn trim_audit(&mut self) {
        let jobs = self.audit.iter().filter(|it| is_about_job(&it.change.command)).count();
        let drops_job_entries = jobs * 2 > self.audit.len();
        let mut remaining = State::AUDIT_TRIM_COUNT;
        let mut dropped = Generation(0);
        self.audit.retain(|entry| {
            let drops = remaining > 0 && is_about_job(&entry.change.command) == drops_job_entries;
            if drops {
                remaining -= 1;
                dropped = Generation(entry.offset.0 + 1);
            }
            !drops
        });
        let from = if drops_job_entries {
            &mut self.audit_start.jobs
        } else {
            &mut self.audit_start.others
        };
        *from = dropped;
    }

    fn try_change(&mut self, generation: Generation, change: &Change) -> Result<(), Refusal> {
        if change.text.len() > State::MAX_STATEMENT_BYTES {
            return Err(Refusal::StatementTooLong);
        }
        if let Some(condition) = change.condition {
            self.check_condition(condition, &change.command)?;
        }
        match &change.command {
            Command::Create(spec) => self.create(generation, spec),
            Command::Change { kind, job, tasks, priority, size } => {
                self.change_job(generation, *kind, job, *tasks, *priority, *size)
            }
            Command::Cancel { kind, job } => self.cancel(generation, *kind, job),
            Command::Quota { team, limit } => self.quota(team, *limit),
            Command::Drain { vm } => self.drain(vm),
            Command::Undrain { vm } => self.undrain(vm),
            Command::Pause(class) => self.pause(*class),
            Command::Resume(class) => self.resume(*class),
            Command::Publish(policy) => self.publish(generation, policy),
        }
    }

    /// Fails if the subject has changed after the generation that the operator saw.
    ///
    /// Operators may make changes at the same time; without this check, the later statement would
    /// silently overwrite the earlier one. The order of the log decides, and the error names the
    /// operator whose statement came first.
    fn check_condition(&self, condition: Condition, command: &Command) -> Result<(), Refusal> {
        let seen = condition.generation;
        if seen > self.generation {
            return Err(Refusal::GenerationNotReached { seen, newest: self.generation });
        }
        let AuditStart { jobs, others } = self.audit_start;
        let oldest = if is_about_job(command) { jobs } else { others };
        if seen < oldest {
            return Err(Refusal::GenerationTooOld { seen, oldest });
        }
        let subject = Subject::of(command);
        let newer = self.audit.iter().rev().take_while(|it| it.offset.0 + 1 > seen.0);
        for entry in newer {
            let ChangeOutcome::Accepted(generation) = entry.outcome else { continue };
            if Subject::of(&entry.change.command) == subject {
                return Err(Refusal::Conflict {
                    subject: subject.to_string().into(),
                    seen,
                    who: entry.change.who.clone(),
                    text: entry.change.text.clone(),
                    generation,
                });
            }
        }
        Ok(())
    }

    fn create(&mut self, generation: Generation, spec: &JobSpec) -> Result<(), Refusal> {
        let Some((team, _)) = self.team(&spec.team) else {
            return Err(Refusal::UnknownTeam(spec.team.clone()));
        };
        if let Some((job, old)) = self.jobs.by_name(&spec.name)
            && !old.cancelled
            && old.open > 0
        {
            return Err(Refusal::Duplicate { name: spec.name.clone(), job });
        }
        check_numbers(spec.tasks, spec.size)?;
        self.check_capacity(team, None, spec.kind, spec.tasks, spec.size)?;
        let tasks = vec![Task::NEW; spec.tasks as usize];
        self.jobs.create(Job {
            spec: spec.clone(),
            team,
            cancelled: false,
            tasks,
            open: spec.tasks,
            generation,
            modified_before: self.next,
        });
        Ok(())
    }

    /// Checks that a new job, or the changed version of the job `changed`, stays within the limit
    /// on open tasks and within its team's quota.
    fn check_capacity(
        &self,
        team: TeamId,
        changed: Option<JobId>,
        kind: JobKind,
        tasks: u32,
        size: Resources,
    ) -> Result<(), Refusal> {
        let others = self.jobs.iter().filter(|(id, _)| Some(*id) != changed);
        let open: u64 = others.map(|(_, job)| u64::from(job.open)).sum();
        if open + u64::from(tasks) > u64::from(State::MAX_OPEN_TASKS) {
            return Err(Refusal::TooManyOpenTasks);
        }
        let overflow = || Refusal::Overflow { tasks, size };
        let total = size.try_mul(tasks).ok_or_else(overflow)?;
        // All tasks of a service run at the same time; tasks of a batch job may run one by one.
        let needed = match kind {
            JobKind::Batch => size,
            JobKind::Service => {
                self.declared_service_use(team, changed).try_add(total).ok_or_else(overflow)?
            }
        };
        match self.teams.get(team) {
            Some(it) if !needed.fits(it.limit) => {
                Err(Refusal::Quota { team: it.name.clone(), needed, limit: it.limit })
            }
            _ => Ok(()),
        }
    }

    fn open_job(&self, kind: JobKind, name: &Name) -> Result<(JobId, &Job), Refusal> {
        match self.jobs.by_name(name) {
            None => Err(Refusal::UnknownJob(name.clone())),
            Some((_, job)) if job.spec.kind != kind => {
                Err(Refusal::WrongKind { name: name.clone(), kind: job.spec.kind })
            }
            Some((_, job)) if job.cancelled || job.open == 0 => {
                Err(Refusal::JobEnded(name.clone()))
            }
            Some(found) => Ok(found),
        }
    }

    fn change_job(
        &mut self,
        generation: Generation,
        kind: JobKind,
        name: &Name,
        tasks: Option<u32>,
        priority: Option<Priority>,
        size: Option<Resources>,
    ) -> Result<(), Refusal> {
        let (id, job) = self.open_job(kind, name)?;
        let spec = &job.spec;
        let tasks = tasks.unwrap_or(spec.tasks);
        let size = size.unwrap_or(spec.size);
        let grows = tasks > spec.tasks || !size.fits(spec.size);
        // A job that does not grow is not checked against the quota: reducing it may be how a
        // team gets back below its quota.
        check_numbers(tasks, size)?;
        if grows {
            self.check_capacity(job.team, Some(id), spec.kind, tasks, size)?;
        }
        let before = job.spec.tasks;
        let Some(job) = self.jobs.get_mut(id) else { return Ok(()) };
        job.spec.priority = priority.unwrap_or(job.spec.priority);
        job.spec.size = size;
        job.spec.tasks = tasks;
        job.generation = generation;
        self.jobs.mark_modified(id, self.next);
        self.resize(id, before);
        Ok(())
    }

    /// Adds or ends tasks to match the declared number of tasks; `before` is the previous number.
    fn resize(&mut self, id: JobId, before: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let declared = job.spec.tasks;
        for index in before..declared {
            match job.tasks.get_mut(index as usize) {
                None => job.tasks.push(Task::NEW),
                Some(task) if was_stopped(task) => task.state = TaskState::Pending,
                Some(_) => continue,
            }
            job.open += 1;
        }
        let closed = end_pending(job, declared as usize);
        self.jobs.rebuild_queue(id);
        self.count_ended(id, closed);
    }

    fn cancel(
        &mut self,
        generation: Generation,
        kind: JobKind,
        name: &Name,
    ) -> Result<(), Refusal> {
        let (id, _) = self.open_job(kind, name)?;
        let Some(job) = self.jobs.get_mut(id) else { return Ok(()) };
        job.cancelled = true;
        job.generation = generation;
        let closed = end_pending(job, 0);
        self.jobs.mark_modified(id, self.next);
        self.jobs.rebuild_queue(id);
        self.count_ended(id, closed);
        Ok(())
    }

    fn quota(&mut self, name: &Name, limit: Resources) -> Result<(), Refusal> {
        if let Some((id, _)) = self.team(name) {
            if let Some(team) = self.teams.get_mut(id) {
                team.limit = limit;
            }
            return Ok(());
        }
        if self.teams.len() >= State::MAX_TEAMS {
            return Err(Refusal::LimitReached { what: "teams", max: State::MAX_TEAMS });
        }
        let (used, used_by_services) = (Resources::ZERO, Resources::ZERO);
        self.teams.alloc(Team { name: name.clone(), limit, used, used_by_services });
        Ok(())
    }

    fn drain(&mut self, vm: &Name) -> Result<(), Refusal> {
        let Err(at) = self.drained.binary_search(vm) else { return Ok(()) };
        if self.drained.len() >= State::MAX_DRAINED {
            return Err(Refusal::LimitReached { what: "drained VMs", max: State::MAX_DRAINED });
        }
        self.drained.insert(at, vm.clone());
        Ok(())
    }

    fn undrain(&mut self, vm: &Name) -> Result<(), Refusal> {
        match self.drained.binary_search(vm) {
            Ok(at) => {
                self.drained.remove(at);
                Ok(())
            }
            Err(_) => Err(Refusal::NotInForce(format!("drain of vm {vm}").into())),
        }
    }

    fn pause(&mut self, class: WorkClass) -> Result<(), Refusal> {
        if !self.paused.contains(&class) {
            self.paused.push(class);
        }
        Ok(())
    }

    fn resume(&mut self, class: WorkClass) -> Result<(), Refusal> {
        let Some(at) = self.paused.iter().position(|it| *it == class) else {
            let subject = Subject::Class(class);
            return Err(Refusal::NotInForce(format!("pause of {subject}").into()));
        };
        self.paused.remove(at);
        Ok(())
    }

    fn publish(&mut self, generation: Generation, change: &PolicyChange) -> Result<(), Refusal> {
        let policy = change.apply(&self.policy.1);
        check_policy(&policy)?;
        self.policy = (generation, policy);
        Ok(())
    }
}

/// Returns whether a task was ended without a result, by a stop or a lower number of tasks.
fn was_stopped(task: &Task) -> bool {
    task.state == TaskState::Ended(Exit::Stopped)
}

/// Ends the pending tasks with an index of at least `from`; returns their number.
fn end_pending(job: &mut Job, from: usize) -> u32 {
    let mut closed = 0;
    for task in job.tasks.iter_mut().skip(from) {
        if task.state == TaskState::Pending {
            task.state = TaskState::Ended(Exit::Stopped);
            closed += 1;
        }
    }
    closed
}

fn is_about_job(command: &Command) -> bool {
    matches!(Subject::of(command), Subject::Job(_))
}

fn check_numbers(tasks: u32, size: Resources) -> Result<(), Refusal> {
    if tasks == 0 || tasks > State::MAX_TASKS {
        return Err(Refusal::TaskCount { found: tasks });
    }
    if size.cpu_milli == 0 || size.memory_mib == 0 {
        return Err(Refusal::ZeroSize);
    }
    Ok(())
}

fn check_policy(policy: &Policy) -> Result<(), Refusal> {
    let fail = |field, reason| Err(Refusal::Policy { field, reason });
    let weights = [policy.objective.tail, policy.objective.throughput, policy.objective.evictions];
    if weights.iter().all(|&it| it == 0) {
        return fail("objective", "one weight at least is not 0");
    }
    if weights.iter().any(|&it| it > 1_000) {
        return fail("objective", "weights are 0 to 1000");
    }
    if policy.retry_budget > 1_000 {
        return fail("retry-budget", "0 to 1000 thousandths");
    }
    if policy.throttle_above == 0 || policy.throttle_above > 1_000 {
        return fail("throttle-above", "1 to 1000 thousandths");
    }
    if policy.retry_window.is_zero() {
        return fail("retry-window", "longer than 0s");
    }
    Ok(())
}
