//! The owner of the workers: decides what starts where, under one epoch.
//!
//! A start is recorded in the log before its order is sent, so that the next owner knows every
//! worker that a task may be on. An end is acknowledged to its worker only when its record is in
//! the log. Workers refuse orders of a lower epoch than they have seen; an owner starts nothing
//! on a worker that has not answered under its own.

mod best_effort;
mod defragment;
mod delegate;
mod intake;
mod interference;
mod message;
mod orders;
mod pace;
mod placement;
mod plan;
mod renewal;
mod run_ends;
mod shortfall;
mod succession;
mod summary;
mod tick;
mod transfer;
mod unconfirmed_runs;
mod worker;

use std::{sync::Arc, time::Duration};

use daisy_model::{Arena, Instant, Resources, SortedMap};

use self::{
    defragment::Relocation,
    interference::Interference,
    placement::Reservation,
    succession::Succession,
    worker::{Assignment, StartState, StopState},
};
pub use self::{
    message::{
        Action, ActiveRun, Batch, EndedRun, Event, HoldAnswer, Note, OrderReply, Outcome, Refusal,
        Start, StopCause, WaitCause, WorkerListing,
    },
    shortfall::PlacementShortfall,
    succession::{OwnershipStart, Witness, Witnesses},
    summary::Summary,
    unconfirmed_runs::{UnconfirmedCause, UnconfirmedRun},
    worker::{Worker, WorkerKey},
};
use crate::{
    Job, JobId, JobState, Layout, Ledger, Observations, Others, Phase, Queues, Record, ShardId,
    TaskId, WorkerId,
};

/// Figures of the platform that an owner goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a worker's tasks go on without a renewal.
    pub lease: Duration,
    /// The longest lease that a worker grants, whatever it is asked for.
    pub lease_max: Duration,
    /// The owner's shard.
    pub shard: ShardId,
    /// All shards.
    pub layout: Layout,
    /// How room is found.
    pub rules: PlacementRules,
}

/// How room is found for tasks that reserve it; each part can be compared with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRules {
    /// Which of several workers takes a task.
    pub packing: Packing,
    /// Whether tasks that last are moved where others find no room.
    pub defragments: bool,
}

impl Default for PlacementRules {
    fn default() -> PlacementRules {
        PlacementRules { packing: Packing::BestFit, defragments: true }
    }
}

/// Which of several workers with room takes a task, as far as the room decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Packing {
    /// The first.
    FirstFit,
    /// The one with least room: small tasks fill small gaps, and large ones find large gaps.
    BestFit,
    /// The one with most room.
    WorstFit,
}

/// What the owner keeps of a job besides its record.
#[derive(Debug, Clone)]
pub(crate) struct JobView {
    /// When the job was accepted, on this process's clock.
    pub since: Instant,
    /// When it should be completed.
    pub objective: Instant,
    /// Estimated time from each step's start to the job's end, in milliseconds.
    pub tails_ms: Vec<u64>,
    /// Steps of which it was told that they wait for room.
    pub logged_waiting: Vec<u16>,
}

/// The owner.
#[derive(Debug)]
pub struct Owner {
    settings: Settings,
    ledger: Ledger,
    queues: Arc<Queues>,
    workers: Arena<WorkerKey, Worker>,
    by_id: SortedMap<WorkerId, WorkerKey>,
    /// When the platform's list of workers was last read.
    list_read_at: Instant,
    /// Jobs that are not ended.
    active: SortedMap<JobId, JobView>,
    /// Jobs whose records are to be written.
    dirty: Vec<JobId>,
    /// Jobs that are handed on whole and of which that is not recorded yet.
    delegating: Vec<JobId>,
    /// Starts that wait for their record.
    unrecorded_starts: Vec<(WorkerKey, TaskId, u32)>,
    in_flight: Option<InFlight>,
    interference: Interference,
    /// When what was learnt was last recorded.
    interference_recorded_at: Instant,
    /// Copies recorded by an earlier owner on workers that the list does not name.
    orphans: Vec<Orphan>,
    /// Who may renew leases besides.
    succession: Succession,
    /// When this owner began, and the wall clock then, in milliseconds since 1970.
    began_at: Instant,
    began_wall_ms: u64,
    plan_due: bool,
    actions: Vec<Action>,
    /// States of jobs that stand in the log and that callers are to be told.
    states: Vec<(JobId, JobState)>,
    others: Others,
    /// Tasks that are handed on and of which nothing is recorded yet.
    transferring: Vec<TaskId>,
    /// Since when tasks that last have found no room here.
    waiting_since: SortedMap<TaskId, Instant>,
    /// When jobs that wait were last looked at for a better shard.
    rebalanced_at: Instant,
    /// When what starts was last decided.
    planned_at: Instant,
    /// Workers that were kept for more urgent tasks then.
    reservations: Vec<Reservation>,
    /// Sizes for which the last decision found no room.
    unplaced_sizes: Vec<Resources>,
    /// Tasks that are stopped on one worker to start on another.
    relocations: Vec<Relocation>,
    defragmented_at: Instant,
    /// The running mean of what a task needs that ends by itself, in thousandths of a core.
    mean_task_cpu: u32,
}

/// A recorded run on a worker that is not known.
#[derive(Debug, Clone)]
struct Orphan {
    worker: WorkerId,
    task: TaskId,
    run: u32,
}

/// A batch that is being appended.
#[derive(Debug)]
struct InFlight {
    /// When it was given out to be sent.
    began: Instant,
    starts: Vec<(WorkerKey, TaskId, u32)>,
    /// Ends that its records cover: worker, incarnation, number.
    cursors: Vec<(WorkerKey, u64, u64)>,
    /// States of jobs as its records tell them.
    states: Vec<(JobId, JobState)>,
    /// Jobs and tasks that are handed to other shards once this is recorded.
    delegated: Vec<JobId>,
    transferring: Vec<TaskId>,
}

impl Owner {
    /// An owner that begins with what `ledger` says; `wall_ms` is the present time since 1970.
    pub fn new(
        now: Instant,
        wall_ms: u64,
        settings: Settings,
        ledger: Ledger,
        queues: Arc<Queues>,
        claimed: OwnershipStart,
    ) -> Owner {
        let succession = Succession::new(now, claimed, ledger.witnesses());
        let interference = Interference::inherit(now, ledger.learnt());
        let mut owner = Owner {
            settings,
            ledger,
            queues,
            workers: Arena::new(),
            by_id: SortedMap::new(),
            list_read_at: now,
            active: SortedMap::new(),
            dirty: Vec::new(),
            delegating: Vec::new(),
            unrecorded_starts: Vec::new(),
            in_flight: None,
            interference,
            interference_recorded_at: now,
            orphans: Vec::new(),
            succession,
            began_at: now,
            began_wall_ms: wall_ms,
            plan_due: true,
            actions: Vec::new(),
            states: Vec::new(),
            others: Others::default(),
            transferring: Vec::new(),
            waiting_since: SortedMap::new(),
            rebalanced_at: now,
            planned_at: now - PLAN_INTERVAL,
            reservations: Vec::new(),
            unplaced_sizes: Vec::new(),
            relocations: Vec::new(),
            defragmented_at: now,
            mean_task_cpu: 0,
        };
        let own = owner.ledger.jobs().filter(|(_, it)| !it.is_part());
        owner.states = own.map(|(id, job)| (id, job.state())).collect();
        owner.forward_all();
        owner.forward_all_tasks();
        owner.inherit(now);
        owner
    }

    /// Takes over what an earlier owner recorded.
    fn inherit(&mut self, now: Instant) {
        let jobs: Vec<JobId> = self
            .ledger
            .jobs()
            .filter(|(_, it)| it.progress.phase == Phase::Active && runs_here(it))
            .map(|(id, _)| id)
            .collect();
        jobs.into_iter().for_each(|id| self.inherit_job(now, id));
    }

    /// Takes over a job as an earlier owner recorded it.
    fn inherit_job(&mut self, now: Instant, id: JobId) {
        self.activate(now, id);
        let Some(job) = self.ledger.job(id) else { return };
        let copies = recorded_copies(id, job);
        for (worker, task, run) in copies {
            match self.by_id.get(&worker).copied() {
                Some(key) => self.adopt(now, key, task, run, StartState::Inherited),
                None => self.orphans.push(Orphan { worker, task, run }),
            }
        }
    }

    /// Takes an event in.
    pub fn step(&mut self, now: Instant, event: Event) {
        match event {
            Event::Record(record) => self.record(now, record),
            Event::Workers(listed) => {
                self.list_read_at = now;
                self.workers_listed(now, &listed);
            }
            Event::ListUnchanged => self.list_read_at = now,
            Event::Queues(queues) => {
                if queues.version >= self.queues.version {
                    self.queues = queues;
                    self.plan_due = true;
                }
            }
            Event::HoldAnswered(worker, answer) => self.hold_answered(now, worker, answer),
            Event::Fenced(_) => self.actions.push(Action::StepDown),
            Event::Started(worker, task, run, reply) => {
                self.started(now, worker, task, run, reply);
            }
            Event::Stopped(worker, task, run, reply) => {
                self.stopped(now, worker, task, run, reply);
            }
            Event::Paced(worker, task, run, percent, reply) => {
                self.pace_answered(worker, task, run, percent, reply);
            }
            Event::Appended => self.appended(now),
            Event::HeartbeatStored { sent_at } => self.heartbeat_stored(now, sent_at),
            Event::Loads(loads) => self.others.update(loads),
            Event::Observed(seen) => {
                seen.iter().for_each(|it| self.interference.add_observations(now, it));
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Decides what starts now, and gives all that is to be done.
    pub fn act(&mut self, now: Instant) -> Vec<Action> {
        if self.plan_due && now.since(self.planned_at) >= PLAN_INTERVAL {
            self.plan_due = false;
            self.planned_at = now;
            self.plan(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether there are records to be appended.
    pub fn has_batch(&self) -> bool {
        let nothing = self.dirty.is_empty()
            && self.delegating.is_empty()
            && self.unrecorded_starts.is_empty();
        self.in_flight.is_none() && (!nothing || self.succession.has_record())
    }

    /// Records to be appended next, unless a batch is under way or there are none.
    pub fn try_batch(&mut self, now: Instant) -> Option<Batch> {
        if !self.has_batch() {
            return None;
        }
        self.dirty.sort_unstable();
        self.dirty.dedup();
        let ledger = &self.ledger;
        let changed: Vec<JobId> = std::mem::take(&mut self.dirty);
        let mut records = Vec::with_capacity(changed.len());
        let mut states = Vec::with_capacity(changed.len());
        let delegated = std::mem::take(&mut self.delegating);
        let to = |id: &JobId| ledger.job(*id).and_then(|it| it.delegated);
        records.extend(delegated.iter().filter_map(|id| Some(Record::Delegated(*id, to(id)?))));
        for id in changed {
            let Some(job) = ledger.job(id) else { continue };
            records.push(Record::Progress(id, job.progress.clone()));
            // What a part of a job comes to is no state of the job.
            if !job.is_part() {
                states.push((id, job.state()));
            }
        }
        let transferring = std::mem::take(&mut self.transferring);
        records.extend(self.transfer_records(&transferring));
        if now.since(self.interference_recorded_at) >= INTERFERENCE_RECORD_INTERVAL {
            self.interference_recorded_at = now;
            records.push(Record::Learnt(self.interference.pairs()));
        }
        records.extend(self.succession.try_record());
        let seen = self.workers.iter().filter(|(_, it)| it.cursor_seen > it.cursor_durable);
        let cursors = seen.map(|(key, it)| (key, it.started_at_ms, it.cursor_seen)).collect();
        let starts = std::mem::take(&mut self.unrecorded_starts);
        self.in_flight =
            Some(InFlight { began: now, starts, cursors, states, delegated, transferring });
        Some(Batch { records })
    }

    /// States of jobs that have come to stand in the log since the last call, the newest last.
    pub fn take_states(&mut self) -> Vec<(JobId, JobState)> {
        std::mem::take(&mut self.states)
    }

    /// What was learnt of images since the last call, for the owners of other shards.
    pub fn take_observations(&mut self) -> Vec<Observations> {
        self.interference.take_observations()
    }

    /// By queue, the jobs without a time of which no task was started.
    pub fn pending(&self) -> Vec<(String, u32)> {
        self.ledger.pending()
    }

    /// Jobs that were handed on whole, of which the shards that run them tell.
    pub fn delegated_away(&self) -> impl Iterator<Item = JobId> {
        self.ledger.jobs().filter(|(_, it)| it.delegated.is_some()).map(|(id, _)| id)
    }

    /// A worker of this owner.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// The state of a task, to change; the job is written anew.
    fn task_mut(&mut self, task: TaskId) -> Option<&mut crate::TaskState> {
        let job = self.ledger.job_mut(task.job)?;
        let steps = job.progress.occurrences.get_mut(task.occurrence as usize)?;
        let state = steps.get_mut(usize::from(task.step))?.get_mut(task.index as usize)?;
        self.dirty.push(task.job);
        Some(state)
    }

    fn note_worker(&mut self, key: WorkerKey, state: &'static str, cause: &'static str) {
        if let Some(worker) = self.workers.get(key) {
            let worker = worker.id.clone();
            self.actions.push(Action::Note(Note::Worker { worker, state, cause }));
        }
    }
}

/// Runs of a job that its record says may be on a worker.
fn recorded_copies(id: JobId, job: &Job) -> Vec<(WorkerId, TaskId, u32)> {
    let mut copies = Vec::new();
    for (occurrence, steps) in (0u32..).zip(&job.progress.occurrences) {
        for (step, tasks) in (0u16..).zip(steps) {
            for (index, state) in (0u32..).zip(tasks) {
                let task = TaskId { job: id, occurrence, step, index };
                copies.extend(state.copies.iter().map(|it| (it.worker.clone(), task, it.run)));
            }
        }
    }
    copies
}

/// Whether this shard runs a job, or tasks of it.
fn runs_here(job: &Job) -> bool {
    job.delegated.is_none() || job.has_tasks_that_came()
}

/// Between records of what was learnt, so that a new owner need not begin anew: about 1 KB each.
const INTERFERENCE_RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Between decisions on what starts: each looks at all jobs and workers, and on a busy owner
/// hundreds of events a second call for one.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Headroom that a serving task counts with until its first report.
const INITIAL_HEADROOM: f64 = 2.7;

/// An assignment that begins now.
fn assignment(
    now: Instant,
    learnt: &mut Interference,
    task: TaskId,
    run: u32,
    step: &crate::StepSpec,
) -> Assignment {
    let image = match (&step.image, step.target_ms) {
        (None, _) => None,
        (Some(it), 0) => Some(learnt.best_effort_key(it)),
        (Some(it), _) => Some(learnt.serving_key(now, it)),
    };
    Assignment {
        task,
        run,
        allocation: step.counted(),
        best_effort_cpu: if step.best_effort { step.need.cpu_milli } else { 0 },
        image,
        target_ms: step.target_ms,
        is_long_running: step.long_running,
        start_state: StartState::Recording,
        listed: false,
        may_be_delayed: false,
        start_attempts: 0,
        stop_state: StopState::NotRequested,
        stop_cause: StopCause::Unknown,
        missed_lists: 0,
        checkpoint: String::new(),
        percent: 0,
        progressed_at: now,
        began_at: now,
        load: 0,
        pace: Some(100),
        pace_in_flight: false,
        paced_at: Instant::default(),
        slowed_at: now,
        mean_headroom: None,
        target_missed_since: None,
        own_headroom: INITIAL_HEADROOM,
    }
}
