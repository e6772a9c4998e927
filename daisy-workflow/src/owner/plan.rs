//! What starts next.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, Resources};

use super::{
    JobView, Owner,
    message::{Action, Note, WaitCause},
    place::{Kept, Place, is_crowded},
    worker::WorkerKey,
};
use crate::{Copy, Job, JobId, JobKind, JobSpec, JobState, StepSpec, TaskId, TaskState};

/// Copies of one task at a time, where its step allows copies.
const COPIES_MAX: usize = 2;

/// A quick job with less time left than this beside its work may keep a worker free.
const KEEP_SLACK: Duration = Duration::from_millis(1_000);

/// How long a job that lasts leaves room to those that can be in time, on a full fleet. Its tasks stay for
/// minutes, and must not wait for longer where others of a second's length come and go.
const YIELDS: Duration = Duration::from_millis(1_500);

/// What a job can still come to; the first goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// Its tasks are to run all the time: each moment without them counts.
    Lasts,
    /// It can be in time.
    InTime,
    /// It will be late, and is still of use then.
    Late,
    /// The same as the first, and it has just come: what ends by itself soon leaves its room to it.
    LastsSoon,
    /// It is of little use to anybody, but was accepted.
    TooLate,
}

/// The standing of a job with `chain_ms` of work before it. A job that cannot be in time any more
/// does not hold up those that can: in an overload, the earliest deadline first would make all of
/// them late by a little.
fn standing(now: Instant, view: &JobView, chain_ms: u64) -> Standing {
    /// Results are of use up to three times the objective, as the operators' contract has it.
    const OF_USE: u32 = 3;
    let allowed = view.objective.since(view.since);
    match now + Duration::from_millis(chain_ms) {
        it if it <= view.objective => Standing::InTime,
        it if it <= view.since + allowed * OF_USE => Standing::Late,
        _ => Standing::TooLate,
    }
}

/// Whether a job that lasts still leaves room to others. Tasks of it that came from another shard have
/// done so there.
fn yields(now: Instant, view: &JobView, job: &Job) -> bool {
    now.since(view.since) < YIELDS && !job.is_part()
}

/// What one pass over all jobs has found so far.
#[derive(Debug, Default)]
struct Round {
    reservations: Vec<Kept>,
    /// Best-effort tasks for which there is no room.
    full: Vec<Full>,
}

/// Best-effort tasks of one image that find no room, and all that need as much or more.
#[derive(Debug)]
struct Full {
    service: Arc<str>,
    image: Option<Arc<str>>,
    need: Resources,
}

impl Round {
    /// Whether a task of `step` surely finds no room, as one like it has found none.
    fn is_full(&self, service: &Arc<str>, step: &StepSpec) -> bool {
        let covers =
            |it: &Full| it.service == *service && it.image == step.image && it.need.fits(step.need);
        step.best_effort && self.full.iter().any(covers)
    }

    fn add_full(&mut self, service: &Arc<str>, step: &StepSpec) {
        // What binds the step alone says nothing of others.
        if step.best_effort && step.required_label.is_none() && step.max_per_worker == 0 {
            let (service, image) = (service.clone(), step.image.clone());
            self.full.push(Full { service, image, need: step.need });
        }
    }
}

/// A step whose turn has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ready {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
}

impl Owner {
    /// Starts what can be started, the most urgent first.
    pub(super) fn plan(&mut self, now: Instant) {
        self.weigh_all();
        self.short.clear();
        let mut round = Round { reservations: self.kept_for_moves(), ..Round::default() };
        for id in self.by_urgency(now) {
            for ready in self.ready_steps(now, id) {
                self.place_step(now, ready, &mut round);
            }
        }
        self.reservations = round.reservations;
    }

    /// Sums up anew the workers on which something was started or has ended.
    pub(super) fn weigh_all(&mut self) {
        for (_, worker) in self.workers.iter_mut().filter(|(_, it)| !it.is_weighed) {
            worker.weigh(&self.interference);
        }
    }

    /// Workers that are kept at one time at most.
    pub(super) fn kept_max(&self) -> usize {
        /// The part of all workers.
        const KEPT_SHARE: usize = 8;
        self.workers.len() / KEPT_SHARE + 1
    }

    /// A worker that is kept for a task without room, so that what ends there leaves it enough in
    /// time: else smaller tasks take each gap as it comes, and a large one never starts.
    fn try_keep(
        &self,
        now: Instant,
        ready: Ready,
        step: &StepSpec,
        reservations: &[Kept],
    ) -> Option<Kept> {
        let view = self.active.get(&ready.job)?;
        let tail = view.tails_ms.get(usize::from(ready.step)).copied().unwrap_or_default();
        let pressed = now + Duration::from_millis(tail) + KEEP_SLACK > view.objective;
        if step.best_effort || reservations.len() >= self.kept_max() {
            return None;
        }
        if !step.long_running && (!pressed || now > view.objective) {
            return None;
        }
        let service = self.ledger.job(ready.job).map(|it| self.service(&it.spec))?;
        let candidates = self.workers.iter().filter(|(key, it)| {
            it.service == service
                && self.usable(now, it)
                && reservations.iter().all(|reservations| reservations.worker != *key)
                && step.required_label.as_ref().is_none_or(|label| it.has_label(label))
                && step.counted().fits(it.room_in_time())
                && !is_crowded(step, it, task_id(ready, 0))
        });
        let best = candidates.max_by_key(|(key, it)| (it.free().cpu_milli, *key));
        best.map(|(worker, _)| Kept { worker, need: step.counted() })
    }

    /// Jobs that are not ended: first those whose tasks are to run all the time, as each moment
    /// without them counts; then those that can still be in time, by priority and by the part of
    /// their work that is left. What was put into a job is of use to nobody until its last task has
    /// ended, so that in an overload, jobs that are nearly done go before those that have just come.
    fn by_urgency(&self, now: Instant) -> Vec<JobId> {
        let mut jobs: Vec<_> = self
            .active
            .iter()
            .filter_map(|(id, view)| {
                let job = self.ledger.job(*id)?;
                let open = matches!(job.state(), JobState::Queued | JobState::Running);
                if !open {
                    return None;
                }
                let chain = self.chain_left(*id, view);
                let latest = view.objective.0.saturating_sub(chain * 1_000);
                let standing = match (job.spec.kind(), standing(now, view, chain)) {
                    (JobKind::Lasting, _) if yields(now, view, job) => Standing::LastsSoon,
                    (JobKind::Lasting, _) => Standing::Lasts,
                    // A wide job cannot be in time where rooms are few, but of use.
                    (JobKind::Once, Standing::Late) if job.progress.begun => Standing::InTime,
                    (_, it) => it,
                };
                Some(((standing, job.spec.terms.priority, job.left_permille(), latest), *id))
            })
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    /// The estimated length of the longest chain of steps that are not done, in milliseconds, over
    /// the first occurrence that is not.
    fn chain_left(&self, id: JobId, view: &JobView) -> u64 {
        let Some(job) = self.ledger.job(id) else { return 0 };
        let open = |steps: &&Vec<Vec<TaskState>>| steps.iter().flatten().any(|it| !it.done);
        let Some(steps) = job.progress.occurrences.iter().find(open) else { return 0 };
        let left = steps.iter().zip(&view.tails_ms).filter(|(it, _)| it.iter().any(|it| !it.done));
        left.map(|(_, tail)| *tail).max().unwrap_or_default()
    }

    /// Steps of a job with waiting tasks whose dependencies are done.
    pub(super) fn ready_steps(&self, now: Instant, id: JobId) -> Vec<Ready> {
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
                    ready.push(Ready { job: id, occurrence: k as u32, step: s as u16 });
                }
            }
        }
        ready
    }

    /// Whether an occurrence's time has come.
    fn is_due(&self, now: Instant, spec: &JobSpec, k: u32) -> bool {
        if !spec.timed {
            return true;
        }
        // The wall clock was read once: it may jump, the process's own clock does not.
        let passed = now.since(self.began_at).as_millis() as u64;
        self.began_wall_ms + passed >= spec.due_ms(k)
    }

    /// Whether another copy of a task is to be started: there is none, or the only one is on a
    /// worker that does not answer and the step allows copies.
    fn wants_copy(&self, step: &StepSpec, state: &TaskState) -> bool {
        if state.done || state.elsewhere {
            return false;
        }
        if state.copies.is_empty() {
            return true;
        }
        step.speculative
            && !step.gang
            && state.copies.len() < COPIES_MAX
            && state.copies.iter().all(|it| self.is_silent(it))
    }

    fn is_silent(&self, copy: &Copy) -> bool {
        let worker = self.by_id.get(&copy.worker).and_then(|key| self.workers.get(*key));
        worker.is_none_or(|it| it.hold_failures > 0 || !it.listed)
    }

    fn place_step(&mut self, now: Instant, ready: Ready, round: &mut Round) {
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
                self.place_gang(now, ready, &spec, step, &round.reservations);
            }
            return;
        }
        let service = self.service(&spec);
        if round.is_full(&service, step) {
            self.note_wait(ready, step, waiting.len());
            return;
        }
        let count = waiting.len();
        for (at, index) in waiting.into_iter().enumerate() {
            let task = task_id(ready, index);
            let options = Place {
                rack: None,
                taken: &[],
                any_pace: false,
                reservations: &round.reservations,
            };
            let place = self
                .try_moved_to(now, step, task)
                .or_else(|| self.try_place(now, &service, step, task, options));
            let Some(key) = place else {
                self.add_short(step);
                for _ in at..count {
                    let Some(reservations) = self.try_keep(now, ready, step, &round.reservations)
                    else {
                        break;
                    };
                    round.reservations.push(reservations);
                }
                round.add_full(&service, step);
                self.note_wait(ready, step, count - at);
                break;
            };
            let run = self.next_run(task);
            self.assign(now, key, task, run, step);
        }
    }

    /// Tells once of each step that it waits, and for what.
    fn note_wait(&mut self, ready: Ready, step: &StepSpec, tasks: usize) {
        let backlog = self.active.len();
        let Some(view) = self.active.get_mut(&ready.job) else { return };
        if view.told_waiting.contains(&ready.step) {
            return;
        }
        view.told_waiting.push(ready.step);
        let cause = if step.best_effort { WaitCause::Headroom } else { WaitCause::Capacity };
        let Ready { job, step, .. } = ready;
        self.actions.push(Action::Note(Note::StepWaiting { job, step, tasks, cause, backlog }));
    }

    /// Starts all members of a gang, or none.
    fn place_gang(
        &mut self,
        now: Instant,
        ready: Ready,
        spec: &JobSpec,
        step: &StepSpec,
        reservations: &[Kept],
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
        for (index, key) in members.zip(keys) {
            self.assign(now, key, task_id(ready, index), run, step);
        }
    }

    fn try_place_all(
        &self,
        now: Instant,
        service: &str,
        step: &StepSpec,
        ready: Ready,
        rack: Option<&str>,
        reservations: &[Kept],
    ) -> Option<Vec<WorkerKey>> {
        let mut taken: Vec<(WorkerKey, Resources)> = Vec::new();
        for index in 0..step.count {
            let task = task_id(ready, index);
            let options = Place { rack, taken: &taken, any_pace: true, reservations };
            let key = self.try_place(now, service, step, task, options)?;
            taken.push((key, step.counted()));
        }
        Some(taken.into_iter().map(|(key, _)| key).collect())
    }

    fn racks(&self, service: &str) -> Vec<Arc<str>> {
        let of_service = self.workers.iter().filter(|(_, it)| &*it.service == service);
        let mut racks: Vec<_> = of_service.flat_map(|(_, it)| it.labels.iter().cloned()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    /// The service that runs a job's tasks: as its queue says now, or last said.
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

    /// Gives a task to a worker; the order goes out when its record is in the log.
    fn assign(&mut self, now: Instant, key: WorkerKey, task: TaskId, run: u32, step: &StepSpec) {
        let it = super::assignment(now, &mut self.interference, task, run, step);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.add(it);
        worker.weigh(&self.interference);
        let id = worker.id.clone();
        let Some(state) = self.task_mut(task) else { return };
        state.runs = run;
        state.copies.push(Copy { run, worker: id });
        if let Some(job) = self.ledger.job_mut(task.job) {
            job.progress.begun = true;
        }
        self.recording.push((key, task, run));
        self.end_move(task);
    }

    /// How long until the next occurrence of any job is due.
    pub fn next_due(&self, now: Instant) -> Option<Duration> {
        let passed = now.since(self.began_at).as_millis() as u64;
        let wall = self.began_wall_ms + passed;
        let timed = self.active.iter().filter_map(|(id, _)| self.ledger.job(*id));
        let timed = timed.filter(|it| it.spec.timed);
        let next = timed.flat_map(|it| (0..it.spec.occurrences).map(|k| it.spec.due_ms(k)));
        next.filter(|it| *it > wall).min().map(|it| Duration::from_millis(it - wall))
    }
}

fn task_id(ready: Ready, index: u32) -> TaskId {
    TaskId { job: ready.job, occurrence: ready.occurrence, step: ready.step, index }
}
