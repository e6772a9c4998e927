//! Decides which tasks start next.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, Resources};

use super::{
    JobView, Owner,
    message::{Action, Note, WaitCause},
    placement::{PlacementOptions, Reservation, is_at_step_limit},
    worker::WorkerKey,
};
use crate::{Job, JobId, JobKind, JobSpec, JobState, StepSpec, TaskCopy, TaskId, TaskState};

/// Maximum number of copies of one task at a time, where its step allows copies.
const MAX_COPIES: usize = 2;

/// A finite job may reserve a worker if it has less spare time than this before its objective.
const RESERVATION_SLACK: Duration = Duration::from_millis(1_000);

/// How long a new long-running job yields capacity to finite jobs when the fleet is full. Its tasks
/// run for minutes, so a short wait matters little, but they must not wait longer than this while
/// tasks of about a second come and go.
const LONG_RUNNING_YIELD: Duration = Duration::from_millis(1_500);

/// Urgency of a job; the first variant is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The job's tasks should run all the time: each moment without them matters.
    LongRunning,
    /// The job is idle for long, and it is its turn.
    Idle,
    /// The job can be in time.
    InTime,
    /// The job will be late, but still of use.
    Late,
    /// A long-running job that was just accepted: finite jobs, which soon free their capacity, go
    /// first.
    NewLongRunning,
    /// The job will be of little use, but was accepted.
    TooLate,
}

/// Returns the urgency of a finite job with `chain_ms` of work left. A job that cannot be in time
/// does not delay those that can: under overload, earliest deadline first would make all of them
/// slightly late.
fn urgency(now: Instant, view: &JobView, chain_ms: u64) -> Urgency {
    match now + Duration::from_millis(chain_ms) {
        it if it <= view.objective => Urgency::InTime,
        it if it <= view.useful_until() => Urgency::Late,
        _ => Urgency::TooLate,
    }
}

/// Whether a long-running job still yields capacity to others. Tasks that came from another shard
/// have waited there already.
fn yields(now: Instant, view: &JobView, job: &Job) -> bool {
    now.since(view.accepted_at) < LONG_RUNNING_YIELD && !job.belongs_to_other_shard()
}

/// What one planning pass has found so far.
#[derive(Debug, Default)]
struct PlanPass {
    reservations: Vec<Reservation>,
    /// Best-effort tasks that could not be placed.
    unplaceable: Vec<UnplaceableTask>,
    /// Whether at least half of the workers' processors are not reserved.
    has_free_capacity: bool,
}

/// A best-effort task that could not be placed; tasks of the same image that need at least the same
/// resources cannot be placed either.
#[derive(Debug)]
struct UnplaceableTask {
    service: Arc<str>,
    image: Option<Arc<str>>,
    need: Resources,
}

impl PlanPass {
    /// Whether a task of `step` cannot be placed because a similar one could not.
    fn is_unplaceable(&self, service: &Arc<str>, step: &StepSpec) -> bool {
        let covers = |it: &UnplaceableTask| {
            it.service == *service && it.image == step.image && it.need.fits(step.need)
        };
        step.best_effort && self.unplaceable.iter().any(covers)
    }

    fn add_unplaceable(&mut self, service: &Arc<str>, step: &StepSpec) {
        // Constraints of this step alone say nothing about other steps.
        if step.best_effort && step.required_label.is_none() && step.max_per_worker == 0 {
            let (service, image) = (service.clone(), step.image.clone());
            self.unplaceable.push(UnplaceableTask { service, image, need: step.need });
        }
    }
}

/// A step with waiting tasks whose dependencies are done.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadyStep {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
}

impl Owner {
    /// Starts all tasks that can be placed, the most urgent first.
    pub(super) fn plan(&mut self, now: Instant) {
        self.update_all_interference();
        self.unplaced_sizes.clear();
        let mut pass = PlanPass {
            reservations: self.relocation_reservations(),
            has_free_capacity: self.has_free_capacity(now),
            ..PlanPass::default()
        };
        let has_turn = self.take_turn(now);
        for id in self.by_urgency(now, has_turn) {
            let ready_steps = self.ready_steps(now, id);
            self.update_idle(now, id, !ready_steps.is_empty());
            for ready in ready_steps {
                self.place_step(now, ready, &mut pass);
            }
        }
        self.reservations = pass.reservations;
    }

    /// Recomputes the interference on workers where runs were started or have ended.
    pub(super) fn update_all_interference(&mut self) {
        for (_, worker) in self.workers.iter_mut().filter(|(_, it)| !it.is_interference_current) {
            worker.update_interference(&self.interference);
        }
    }

    /// Returns the maximum number of workers that are reserved at a time.
    pub(super) fn max_reservations(&self) -> usize {
        /// One worker in this many may be reserved.
        const WORKERS_PER_RESERVATION: usize = 8;
        self.workers.len() / WORKERS_PER_RESERVATION + 1
    }

    /// Reserves a worker for a task that cannot be placed, so that the runs which end there free
    /// enough capacity in time. Otherwise smaller tasks would fill each gap, and a large one would
    /// never start.
    fn try_reserve(
        &self,
        now: Instant,
        ready: ReadyStep,
        step: &StepSpec,
        reservations: &[Reservation],
    ) -> Option<Reservation> {
        let view = self.active.get(&ready.job)?;
        let tail = view.times_to_end_ms.get(usize::from(ready.step)).copied().unwrap_or_default();
        let is_urgent = now + Duration::from_millis(tail) + RESERVATION_SLACK > view.objective;
        if step.best_effort || reservations.len() >= self.max_reservations() {
            return None;
        }
        if !step.long_running && (!is_urgent || now > view.objective) {
            return None;
        }
        let service = self.ledger.job(ready.job).map(|it| self.service(&it.spec))?;
        let candidates = self.workers.iter().filter(|(key, it)| {
            it.suits(&service, step)
                && self.is_usable(now, it)
                && reservations.iter().all(|reservation| reservation.worker != *key)
                && step.allocation().fits(it.eventual_free())
                && !is_at_step_limit(step, it, task_id(ready, 0))
        });
        let best = candidates.max_by_key(|(key, it)| (it.free().cpu_milli, *key));
        best.map(|(worker, _)| Reservation { worker, need: step.allocation() })
    }

    /// Returns the jobs that have not ended by urgency: first long-running jobs, since each moment
    /// without their tasks matters; then the idle job that has its turn; then jobs that can be in time, by priority and by the share of
    /// their work that is left. Work on a job is of no use until its last task has ended, so under
    /// overload jobs that are nearly done go before new ones.
    fn by_urgency(&self, now: Instant, has_turn: Option<JobId>) -> Vec<JobId> {
        let mut jobs: Vec<_> = self
            .active
            .iter()
            .filter_map(|(id, view)| {
                let job = self.ledger.job(*id)?;
                let is_open = matches!(job.state(), JobState::Queued | JobState::Running);
                if !is_open || self.unstorable_jobs.contains(id) {
                    return None;
                }
                let chain = self.remaining_chain_ms(*id, view);
                let latest = view.objective.0.saturating_sub(chain * 1_000);
                let urgency = match (job.spec.kind(), urgency(now, view, chain)) {
                    _ if has_turn == Some(*id) => Urgency::Idle,
                    (JobKind::LongRunning, _) if yields(now, view, job) => Urgency::NewLongRunning,
                    (JobKind::LongRunning, _) => Urgency::LongRunning,
                    // A wide job cannot be in time where few tasks fit, but it is still of use.
                    (JobKind::Finite, Urgency::Late) if job.progress.may_have_started() => {
                        Urgency::InTime
                    }
                    (_, it) => it,
                };
                Some((
                    (urgency, job.spec.terms.priority, job.remaining_work_permille(), latest),
                    *id,
                ))
            })
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the estimated length in milliseconds of the longest chain of unfinished steps in the
    /// first occurrence that has any.
    fn remaining_chain_ms(&self, id: JobId, view: &JobView) -> u64 {
        let Some(job) = self.ledger.job(id) else { return 0 };
        let is_open = |steps: &&Vec<Vec<TaskState>>| steps.iter().flatten().any(|it| !it.done);
        let Some(steps) = job.progress.occurrences.iter().find(is_open) else { return 0 };
        let left =
            steps.iter().zip(&view.times_to_end_ms).filter(|(it, _)| it.iter().any(|it| !it.done));
        left.map(|(_, tail)| *tail).max().unwrap_or_default()
    }

    /// Returns the steps of a job that have waiting tasks and whose dependencies are done.
    pub(super) fn ready_steps(&self, now: Instant, id: JobId) -> Vec<ReadyStep> {
        let Some(job) = self.ledger.job(id) else { return Vec::new() };
        let spec = &job.spec;
        let mut ready = Vec::new();
        for (k, steps) in job.progress.occurrences.iter().enumerate() {
            if !self.is_due(now, spec, k as u32) {
                break;
            }
            for (s, tasks) in steps.iter().enumerate() {
                let done = |it: &u16| steps[usize::from(*it)].iter().all(|it| it.done);
                let waiting = tasks.iter().any(|it| self.wants_copy(&spec.steps[s], it));
                if waiting && spec.steps[s].depends_on.iter().all(done) {
                    ready.push(ReadyStep { job: id, occurrence: k as u32, step: s as u16 });
                }
            }
        }
        ready
    }

    /// Whether an occurrence's start time has come.
    fn is_due(&self, now: Instant, spec: &JobSpec, k: u32) -> bool {
        if !spec.timed {
            return true;
        }
        // The wall clock was read once at the start: it may jump, the process's own clock does not.
        let passed = now.since(self.began_at).as_millis() as u64;
        self.began_wall_ms + passed >= spec.due_ms(k)
    }

    /// Whether a copy of a task is to be started: it has none, or its step allows several and its
    /// only copy is on an unreachable worker.
    fn wants_copy(&self, step: &StepSpec, state: &TaskState) -> bool {
        if state.done || state.on_other_shard {
            return false;
        }
        if state.copies.is_empty() {
            return true;
        }
        step.speculative
            && !step.gang
            && state.copies.len() < MAX_COPIES
            && state.copies.iter().all(|it| self.is_unreachable(it))
    }

    fn is_unreachable(&self, copy: &TaskCopy) -> bool {
        let worker = self.by_id.get(&copy.worker).and_then(|key| self.workers.get(*key));
        worker.is_none_or(|it| it.renewal_failures > 0 || !it.listed)
    }

    fn place_step(&mut self, now: Instant, ready: ReadyStep, pass: &mut PlanPass) {
        let Some(job) = self.ledger.job(ready.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(ready.step)];
        let tasks = &job.progress.occurrences[ready.occurrence as usize][usize::from(ready.step)];
        let waiting: Vec<u32> = (0u32..)
            .zip(tasks)
            .filter(|(_, it)| self.wants_copy(step, it))
            .map(|(index, _)| index)
            .collect();
        if step.gang {
            if waiting.len() == tasks.len() {
                self.place_gang(now, ready, &spec, step, &pass.reservations);
            }
            return;
        }
        let service = self.service(&spec);
        let mut allow_throttled =
            step.best_effort && pass.has_free_capacity && self.is_starved(now, ready.job);
        if !allow_throttled && pass.is_unplaceable(&service, step) {
            self.note_waiting_step(ready, step, waiting.len());
            return;
        }
        let count = waiting.len();
        for (at, index) in waiting.into_iter().enumerate() {
            let task = task_id(ready, index);
            let options = PlacementOptions {
                rack: None,
                tentative: &[],
                allow_throttled: std::mem::take(&mut allow_throttled),
                reservations: &pass.reservations,
            };
            let place = self
                .relocation_target(now, step, task)
                .or_else(|| self.try_place(now, &service, step, task, options));
            let Some(key) = place else {
                self.add_unplaced_size(step);
                for _ in at..count {
                    let Some(reservation) = self.try_reserve(now, ready, step, &pass.reservations)
                    else {
                        break;
                    };
                    pass.reservations.push(reservation);
                }
                pass.add_unplaceable(&service, step);
                self.note_waiting_step(ready, step, count - at);
                break;
            };
            let run = self.next_run(task);
            self.assign(now, key, task, run, step);
        }
    }

    /// Logs once per step that its tasks wait, and why.
    fn note_waiting_step(&mut self, ready: ReadyStep, step: &StepSpec, tasks: usize) {
        let backlog = self.active.len();
        let Some(view) = self.active.get_mut(&ready.job) else { return };
        if view.logged_waiting.contains(&ready.step) {
            return;
        }
        view.logged_waiting.push(ready.step);
        let cause = if step.best_effort { WaitCause::Headroom } else { WaitCause::Capacity };
        let ReadyStep { job, step, .. } = ready;
        self.actions.push(Action::Note(Note::StepWaiting { job, step, tasks, cause, backlog }));
    }

    /// Starts all members of a gang, or none.
    fn place_gang(
        &mut self,
        now: Instant,
        ready: ReadyStep,
        spec: &JobSpec,
        step: &StepSpec,
        reservations: &[Reservation],
    ) {
        let service = self.service(spec);
        let found = match step.same_rack {
            true => self
                .racks(&service)
                .into_iter()
                .find_map(|rack| {
                    self.try_place_all(now, &service, step, ready, Some(&rack), reservations)
                })
                .or_else(|| self.try_place_all(now, &service, step, ready, None, reservations)),
            false => self.try_place_all(now, &service, step, ready, None, reservations),
        };
        let Some(keys) = found else { return };
        let members = 0..step.count;
        let run = members.clone().map(|it| self.next_run(task_id(ready, it))).max().unwrap_or(1);
        self.unify_checkpoints(ready);
        for (index, key) in members.zip(keys) {
            self.assign(now, key, task_id(ready, index), run, step);
        }
    }

    /// Gives all members of a gang one checkpoint, which any of them can continue from. They are not
    /// running, so no start order that carries another can be repeated.
    fn unify_checkpoints(&mut self, ready: ReadyStep) {
        let Some(job) = self.ledger.job_mut(ready.job) else { return };
        let members =
            &mut job.progress.occurrences[ready.occurrence as usize][usize::from(ready.step)];
        let any = members.iter().map(|it| &it.checkpoint).find(|it| !it.is_empty()).cloned();
        if let Some(checkpoint) = any {
            members.iter_mut().for_each(|it| it.checkpoint.clone_from(&checkpoint));
        }
    }

    fn try_place_all(
        &self,
        now: Instant,
        service: &str,
        step: &StepSpec,
        ready: ReadyStep,
        rack: Option<&str>,
        reservations: &[Reservation],
    ) -> Option<Vec<WorkerKey>> {
        let mut placed: Vec<(WorkerKey, Resources)> = Vec::new();
        for index in 0..step.count {
            let task = task_id(ready, index);
            let options =
                PlacementOptions { rack, tentative: &placed, allow_throttled: true, reservations };
            let key = self.try_place(now, service, step, task, options)?;
            placed.push((key, step.allocation()));
        }
        Some(placed.into_iter().map(|(key, _)| key).collect())
    }

    fn racks(&self, service: &str) -> Vec<Arc<str>> {
        let of_service = self.workers.iter().filter(|(_, it)| &*it.service == service);
        let mut racks: Vec<_> = of_service.flat_map(|(_, it)| it.labels.iter().cloned()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    /// Returns the service that runs a job's tasks, as its queue defines it now or last did.
    pub(super) fn service(&self, spec: &JobSpec) -> Arc<str> {
        let queue = self.queues.queue(&spec.terms.queue);
        queue.map_or_else(|| spec.terms.service.clone(), |it| it.terms.service.clone())
    }

    fn next_run(&self, task: TaskId) -> u32 {
        let job = self.ledger.job(task.job);
        let steps = job.and_then(|it| it.progress.occurrences.get(task.occurrence as usize));
        let tasks = steps.and_then(|it| it.get(usize::from(task.step)));
        tasks.and_then(|it| it.get(task.index as usize)).map_or(1, |it| it.runs + 1)
    }

    /// Assigns a task to a worker; the order is sent when its record is in the log.
    fn assign(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32, step: &StepSpec) {
        let it = super::new_assignment(now, &mut self.interference, task, run, step);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.add(it);
        worker.update_interference(&self.interference);
        let id = worker.id.clone();
        let Some(state) = self.task_mut(task) else { return };
        state.runs = run;
        state.copies.push(TaskCopy { run, worker: id });
        self.unrecorded_starts.push((key, task, run));
        if !step.long_running {
            self.turns.task_started();
        }
        self.end_relocation(task);
    }

    /// Returns the time until the next occurrence of any job is due.
    pub fn next_due(&self, now: Instant) -> Option<Duration> {
        let passed = now.since(self.began_at).as_millis() as u64;
        let wall = self.began_wall_ms + passed;
        let timed = self.active.iter().filter_map(|(id, _)| self.ledger.job(*id));
        let timed = timed.filter(|it| it.spec.timed);
        let next = timed.flat_map(|it| (0..it.spec.occurrences).map(|k| it.spec.due_ms(k)));
        next.filter(|it| *it > wall).min().map(|it| Duration::from_millis(it - wall))
    }
}

fn task_id(ready: ReadyStep, index: u32) -> TaskId {
    TaskId { job: ready.job, occurrence: ready.occurrence, step: ready.step, index }
}
