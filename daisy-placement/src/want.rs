//! Which pending tasks this data centre checks out, and which it gives back.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{DcId, Exit, Incarnation, Instant, JobId, Priority, Resources, TaskId};

use crate::{
    holder::Holder,
    job::JobView,
    reason::{Reason, Wait},
    roster::Roster,
    task::{Local, Phase},
    worker::saturating_add,
};

/// The longest that a data centre of another region waits for the sake of bytes.
const MOST_REGION_WAIT: Duration = Duration::from_secs(600);

/// What may still be asked for.
#[derive(Debug)]
struct Budget {
    /// Room that nothing checked out is going to take.
    room: Resources,
    /// Tasks beyond the room, for an outage of the log.
    spare: u32,
    /// The same for urgent work, which may evict.
    urgent: u32,
}

impl Budget {
    /// Takes a task's room, or else one of the spare places.
    ///
    /// `fits` tells whether any single worker has room: the sum of many small rests does not.
    fn try_take(&mut self, job: &JobView, fits: bool) -> Option<()> {
        if let Some(rest) = self.room.try_sub(job.size()).filter(|_| fits) {
            self.room = rest;
            return Some(());
        }
        let spare = if job.is_urgent() { &mut self.urgent } else { &mut self.spare };
        *spare = spare.checked_sub(1)?;
        Some(())
    }
}

impl Holder {
    /// Asks for pending tasks that there is room for, and for a small reserve.
    ///
    /// The reserve is what goes on being started while the log is down.
    pub(crate) fn want(&mut self, now: Instant) {
        if !self.log_reachable || !self.is_ready() {
            return;
        }
        let jobs = self.pending_jobs();
        if jobs.is_empty() {
            return;
        }
        let mut budget = self.budget();
        for id in jobs {
            self.want_of(now, id, &mut budget);
        }
    }

    fn budget(&self) -> Budget {
        let reserve = self.options.limits.reserve;
        let room = self.roster.total_free();
        let mut budget = Budget { room, spare: reserve, urgent: reserve };
        for (_, id) in &self.line {
            let Some(job) = self.jobs.get(id) else { continue };
            let fits = self.roster.has_room(job.size());
            for _ in &job.waiting {
                if budget.try_take(job, fits).is_none() {
                    break;
                }
            }
        }
        budget
    }

    fn pending_jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<(Reverse<Priority>, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.pending.is_empty() && !job.cancelled)
            .map(|(id, job)| (Reverse(job.spec.priority), *id))
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    fn want_of(&mut self, now: Instant, id: JobId, budget: &mut Budget) {
        let Some(job) = self.jobs.get(&id) else { return };
        if self.is_paused(job) {
            return self.job_waits(now, id, Wait::Paused);
        }
        let size = job.size();
        if !self.roster.can_ever_hold(size) {
            return self.note_never_fits(now, id, size);
        }
        let fits = self.roster.has_room(size);
        let team = usize::from(job.team.0);
        let mut quota = self.teams.get(team).copied();
        let mut asked = Vec::new();
        let mut wait = None;
        for index in &job.pending {
            let Some(local) = job.tasks.get(*index as usize) else { continue };
            if !self.is_turn(now, job, *index, local.phase) {
                wait.get_or_insert(Wait::Turn);
                continue;
            }
            if !take_quota(&mut quota, size) {
                wait = Some(Wait::Quota);
                break;
            }
            if budget.try_take(job, fits).is_none() {
                break;
            }
            asked.push(*index);
        }
        if let Some(quota) = quota {
            self.teams[team] = quota;
        }
        if let Some(wait) = wait {
            self.job_waits(now, id, wait);
        }
        for index in asked {
            self.ask(now, TaskId { job: id, index });
        }
    }

    fn ask(&mut self, now: Instant, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        let (Phase::Pending { since } | Phase::Asked { since, .. }) = local.phase else { return };
        local.phase = Phase::Asked { since, at: now };
        self.outbox.wanted.push(task);
    }

    fn job_waits(&mut self, now: Instant, id: JobId, wait: Wait) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waits(now, wait);
        }
    }

    /// Said once and kept: the search for the nearest miss looks at every worker.
    fn note_never_fits(&mut self, now: Instant, id: JobId, size: Resources) {
        let is_said = self.jobs.get(&id).and_then(|job| job.wait.as_ref()).is_some_and(|wait| {
            matches!(wait.reason, Reason::Waits(Wait::NeverFits { size: it, .. }) if it == size)
        });
        if !is_said {
            let miss = self.nearest_whole_miss(size);
            self.job_waits(now, id, Wait::NeverFits { size, miss });
        }
    }

    /// Whether it is this data centre's turn to ask for a task.
    fn is_turn(&self, now: Instant, job: &JobView, index: u32, phase: Phase) -> bool {
        let Some(rank) = job.try_rank(index, self.options.dc) else { return false };
        match phase {
            Phase::Pending { since } => now >= since + self.fallback(job, rank),
            Phase::Asked { at, .. } => now >= at + self.options.limits.resend,
            _ => false,
        }
    }

    /// How long the data centres before this one are given.
    ///
    /// One in another region than the job's data waits besides for as long as the bytes
    /// would take at the rate that the policy allows: by then it is no later than they are.
    fn fallback(&self, job: &JobView, rank: u32) -> Duration {
        let limits = &self.options.limits;
        let step = if job.is_urgent() { limits.urgent_fallback } else { limits.fallback };
        if rank == 0 || !self.is_other_region(job) {
            return step * rank;
        }
        let millis = job.spec.region_bytes.saturating_mul(1000) / self.policy.region_bytes.max(1);
        step * rank + Duration::from_millis(millis).min(MOST_REGION_WAIT)
    }

    fn is_other_region(&self, job: &JobView) -> bool {
        let region =
            |dc: DcId| self.options.data_centres.get(usize::from(dc.0)).map(|dc| dc.region);
        job.try_first().is_some_and(|first| region(first) != region(self.options.dc))
    }

    /// Ends tasks for good that found no room for long, if operators allow it.
    ///
    /// Data centres pass a task on that finds no room, so the time counts from when its job was
    /// seen, and each data centre first looks for room as long as before it gives a task back.
    pub(crate) fn refuse_late(&mut self, now: Instant) {
        let (refuse, look) = (self.options.limits.refuse, self.options.limits.give_back / 2);
        let is_late = |job: &JobView| {
            let allowed = job.spec.tolerance.refuse && !job.is_service();
            allowed && now >= job.known_since + refuse && !self.is_paused(job)
        };
        for task in self.unstarted(now, look, is_late) {
            let never_ran = |local: &Local| local.ledger.incarnation == Incarnation(0);
            if self.local(task).is_some_and(never_ran) {
                self.end_unstarted_as(now, task, Exit::Refused);
            }
        }
    }

    /// Checked-out tasks of some jobs that wait for room since `late` or longer.
    ///
    /// What may have started is left out: it has to be settled first.
    fn unstarted(
        &self,
        now: Instant,
        late: Duration,
        wanted: impl Fn(&JobView) -> bool,
    ) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        for (_, id) in &self.line {
            let Some(job) = self.jobs.get(id).filter(|job| wanted(job)) else { continue };
            for index in &job.waiting {
                let Some(local) = job.tasks.get(*index as usize) else { continue };
                let Phase::Waiting { since } = local.phase else { continue };
                let never_started = local.next_incarnation() == local.ledger.next_incarnation()
                    && local.placed_at.is_none();
                if never_started && now >= since + late {
                    tasks.push(TaskId { job: *id, index: *index });
                }
            }
        }
        tasks
    }

    /// Gives tasks back that found no room for a while, so that others may take them.
    pub(crate) fn give_back(&mut self, now: Instant) {
        if self.options.data_centres.len() < 2 || !self.log_reachable {
            return;
        }
        let late = self.options.limits.give_back;
        for task in self.unstarted(now, late, |_| true) {
            self.leave_line(task);
            self.set_phase(task, Phase::Returned { at: now });
            self.note(now, task, Reason::Returned);
            self.outbox.returned.push(task);
        }
    }
}

impl Roster {
    /// The free room of all workers that take new work.
    fn total_free(&self) -> Resources {
        self.iter()
            .filter(|(_, worker)| worker.is_open())
            .map(|(_, worker)| worker.free())
            .fold(Resources::ZERO, saturating_add)
    }
}

/// Takes from a team's quota, if it has room; the ledger has the last word.
fn take_quota(quota: &mut Option<(Resources, Resources)>, size: Resources) -> bool {
    let Some((limit, used)) = quota else { return true };
    match used.try_add(size) {
        Some(sum) if sum.fits(*limit) => {
            *used = sum;
            true
        }
        _ => false,
    }
}
