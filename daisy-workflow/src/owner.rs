//! The owner of a shard's workers: decides what starts where, under one epoch.
//!
//! A start is recorded in the log before its order is sent, so that the next owner knows every
//! worker that a task may be on. A worker's report that a run has ended is acknowledged only when
//! its record is in the log. Workers reject orders of a lower epoch than the highest that they have
//! seen; an owner starts nothing on a worker that has not answered under the owner's own epoch.

mod best_effort;
mod capacity;
mod defragment;
mod delegate;
mod evacuation;
mod idle_jobs;
mod intake;
mod interference;
mod long_leases;
mod message;
mod open_starts;
mod orders;
mod pace;
mod placement;
mod plan;
mod removal;
mod renewal;
mod run_ends;
mod shortfall;
mod succession;
mod summary;
mod superseded;
mod tick;
mod transfer;
mod unconfirmed_runs;
mod worker;

use std::{sync::Arc, time::Duration};

use daisy_model::{Arena, Instant, Resources, SortedMap};

use self::{
    capacity::ObservedLoad,
    defragment::Relocation,
    evacuation::KnownEvacuations,
    idle_jobs::Turns,
    interference::Interference,
    long_leases::LongLeases,
    open_starts::OpenStarts,
    placement::Reservation,
    removal::Removals,
    succession::Succession,
    superseded::GivenUpRuns,
    worker::{Assignment, StartState, StopState},
};
pub use self::{
    message::{
        Action, ActiveRun, Batch, EndedRun, Event, Note, OrderReply, Outcome, RejectReason,
        RenewalAnswer, Start, StopCause, WaitCause, WorkerListing,
    },
    open_starts::OpenStart,
    shortfall::PlacementShortfall,
    succession::{InheritedLeases, OwnershipStart, Witness, Witnesses},
    summary::Summary,
    unconfirmed_runs::{UnconfirmedCause, UnconfirmedRun},
    worker::{Worker, WorkerKey},
};
use crate::{
    InterferenceSums, Job, JobId, JobState, Layout, Ledger, OtherShards, Phase, QueueConfig,
    Record, ShardId, TaskId, WorkerId,
};

/// Settings of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a worker's tasks continue to run without a lease renewal.
    pub lease: Duration,
    /// The longest lease that a worker grants, whatever an order asks for.
    pub lease_max: Duration,
    /// The owner's shard.
    pub shard: ShardId,
    /// All shards.
    pub layout: Layout,
    /// How tasks are placed on workers.
    pub rules: PlacementRules,
    /// How long the records of a job are retained after its end.
    pub record_retention: Duration,
}

/// How workers are chosen for tasks that reserve capacity; each rule can be compared with
/// alternatives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRules {
    /// Which of several workers with enough capacity gets a task.
    pub packing: Packing,
    /// Whether long-running tasks are moved to make space for tasks that fit on no worker.
    pub defragments: bool,
    /// Whether finite jobs that have been idle for long take turns with more urgent ones.
    pub idle_turns: bool,
    /// If set, the owner reports what its workers can still take besides the finite work of queues
    /// with this priority or a lower value.
    pub protected_priority: Option<i32>,
}

impl Default for PlacementRules {
    fn default() -> PlacementRules {
        PlacementRules {
            packing: Packing::BestFit,
            defragments: true,
            idle_turns: true,
            protected_priority: None,
        }
    }
}

/// Which of several workers with enough free capacity gets a task, as far as capacity decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Packing {
    /// The first worker.
    FirstFit,
    /// The worker with the least free capacity: small tasks fill small gaps, and large ones find
    /// large gaps.
    BestFit,
    /// The worker with the most free capacity.
    WorstFit,
}

/// What the owner knows about a job besides its record.
#[derive(Debug, Clone)]
pub(crate) struct JobView {
    /// When the job was accepted, on this process's clock.
    pub accepted_at: Instant,
    /// When the job should be completed.
    pub objective: Instant,
    /// Estimated time from each step's start to the job's end, in milliseconds.
    pub times_to_end_ms: Vec<u64>,
    /// Since when the job has a ready step, and no task of it has a run.
    pub idle_since: Option<Instant>,
    /// Steps for which it was already logged that they wait for capacity.
    pub logged_waiting: Vec<u16>,
}

impl JobView {
    /// Returns until when the job's results are of use: operators regard them as useful up to three
    /// times the objective.
    fn useful_until(&self) -> Instant {
        const USEFUL_FACTOR: u32 = 3;
        self.accepted_at + self.objective.since(self.accepted_at) * USEFUL_FACTOR
    }
}

/// The owner of a shard: a state machine that takes [`Event`]s and returns [`Action`]s.
#[derive(Debug)]
pub struct Owner {
    settings: Settings,
    ledger: Ledger,
    queues: Arc<QueueConfig>,
    workers: Arena<WorkerKey, Worker>,
    by_id: SortedMap<WorkerId, WorkerKey>,
    /// When the platform's list of workers was last read.
    list_read_at: Instant,
    evacuations: KnownEvacuations,
    /// Jobs that have not ended.
    active: SortedMap<JobId, JobView>,
    /// When a job last arrived.
    last_arrival_at: Instant,
    /// Jobs whose progress has to be recorded.
    unrecorded_jobs: Vec<JobId>,
    /// Jobs whose progress the log cannot store; none of their tasks is started.
    unstorable_jobs: Vec<JobId>,
    /// Jobs that are delegated as a whole, while the delegation is not recorded yet.
    delegating: Vec<JobId>,
    /// Starts whose record is not in the log yet.
    unrecorded_starts: Vec<(WorkerKey, TaskId, u32)>,
    in_flight: Option<InFlightBatch>,
    /// Start orders that may still be carried out.
    open_starts: OpenStarts,
    long_leases: LongLeases,
    interference: Interference,
    /// When the learned interference was last recorded.
    interference_recorded_at: Instant,
    /// Runs recorded by an earlier owner on workers that the platform's list does not name.
    orphans: Vec<Orphan>,
    /// Tracks whether this owner, or an earlier one, may renew leases.
    succession: Succession,
    /// When this owner started, and the wall clock at that time, in milliseconds since 1970.
    began_at: Instant,
    began_wall_ms: u64,
    /// When the last tick was processed.
    ticked_at: Instant,
    plan_due: bool,
    actions: Vec<Action>,
    /// States of jobs that are stored in the log and have to be published to callers.
    states: Vec<(JobId, JobState)>,
    other_shards: OtherShards,
    /// Tasks that are transferred to other shards, while the transfer is not recorded yet.
    transferring: Vec<TaskId>,
    /// Since when long-running tasks have waited for capacity in this shard.
    waiting_since: SortedMap<TaskId, Instant>,
    /// When it was last checked whether waiting jobs and tasks suit another shard better.
    rebalanced_at: Instant,
    /// When the last planning pass ran.
    planned_at: Instant,
    turns: Turns,
    /// Workers that the last planning pass reserved for tasks that could not be placed or are being
    /// moved.
    reservations: Vec<Reservation>,
    /// Sizes of tasks that the last planning pass could not place.
    unplaced_sizes: Vec<Resources>,
    /// Long-running tasks that are stopped on one worker to start on another.
    relocations: Vec<Relocation>,
    defragmented_at: Instant,
    /// The running mean of the processor time that a finite task reserves, in thousandths of a
    /// core.
    mean_task_cpu: u32,
    observed_load: ObservedLoad,
    given_up_runs: GivenUpRuns,
    removals: Removals,
}

/// A recorded run on a worker that the platform's list has not named to this owner.
#[derive(Debug, Clone)]
struct Orphan {
    worker: WorkerId,
    task: TaskId,
    run: u32,
    /// When the last list of the platform's machines was requested, if it names the worker.
    named_at: Option<Instant>,
}

/// A batch that is being appended to the log.
#[derive(Debug)]
struct InFlightBatch {
    /// When the batch was created.
    created_at: Instant,
    starts: Vec<(WorkerKey, TaskId, u32)>,
    /// Ended runs that the batch records: worker, incarnation, number of the end.
    cursors: Vec<(WorkerKey, u64, u64)>,
    /// States of jobs in the batch, to be published once it is stored.
    states: Vec<(JobId, JobState)>,
    /// Delegated jobs and transferred tasks to be written to other shards once the batch is stored.
    delegated: Vec<JobId>,
    transferring: Vec<TaskId>,
    /// Jobs whose progress the batch removes.
    removed: Vec<JobId>,
    /// Incarnations of workers whose calls get a token that follows from the batch.
    raised: Vec<(WorkerKey, u64)>,
}

impl Owner {
    /// Creates an owner that starts from `ledger`; `wall_ms` is the current time in milliseconds
    /// since 1970.
    pub fn new(
        now: Instant,
        wall_ms: u64,
        settings: Settings,
        ledger: Ledger,
        queues: Arc<QueueConfig>,
        ownership: OwnershipStart,
    ) -> Owner {
        let succession = Succession::new(now, ownership, ledger.witnesses());
        let interference = Interference::inherit(now, ledger.learned_interference());
        let open_starts = OpenStarts::inherit(ledger.open_starts());
        let long_leases = LongLeases::inherit(ledger.long_leases());
        let mut owner = Owner {
            settings,
            ledger,
            queues,
            workers: Arena::new(),
            by_id: SortedMap::new(),
            list_read_at: now,
            evacuations: KnownEvacuations::default(),
            active: SortedMap::new(),
            last_arrival_at: now,
            unrecorded_jobs: Vec::new(),
            unstorable_jobs: Vec::new(),
            given_up_runs: GivenUpRuns::default(),
            removals: Removals::default(),
            delegating: Vec::new(),
            unrecorded_starts: Vec::new(),
            in_flight: None,
            open_starts,
            long_leases,
            interference,
            interference_recorded_at: now,
            orphans: Vec::new(),
            succession,
            began_at: now,
            began_wall_ms: wall_ms,
            ticked_at: now,
            plan_due: true,
            actions: Vec::new(),
            states: Vec::new(),
            other_shards: OtherShards::default(),
            transferring: Vec::new(),
            waiting_since: SortedMap::new(),
            rebalanced_at: now,
            planned_at: now - PLAN_INTERVAL,
            turns: Turns::default(),
            reservations: Vec::new(),
            unplaced_sizes: Vec::new(),
            relocations: Vec::new(),
            defragmented_at: now,
            mean_task_cpu: 0,
            observed_load: ObservedLoad::default(),
        };
        let own = owner.ledger.jobs().filter(|(_, it)| !it.belongs_to_other_shard());
        owner.states = own.map(|(id, job)| (id, job.state())).chain(owner.ledger.ended()).collect();
        owner.forward_all_jobs();
        owner.forward_all_tasks();
        owner.inherit(now);
        owner.inherit_ended();
        owner
    }

    /// Takes over the active jobs that an earlier owner recorded.
    fn inherit(&mut self, now: Instant) {
        let jobs: Vec<JobId> = self
            .ledger
            .jobs()
            .filter(|(_, it)| it.progress.phase == Phase::Active && runs_here(it))
            .map(|(id, _)| id)
            .collect();
        jobs.into_iter().for_each(|id| self.inherit_job(now, id));
    }

    /// Takes over one job as an earlier owner recorded it.
    fn inherit_job(&mut self, now: Instant, id: JobId) {
        self.activate(now, id);
        let Some(job) = self.ledger.job(id) else { return };
        let copies = recorded_copies(id, job);
        for (worker, task, run) in copies {
            match self.by_id.get(&worker).copied() {
                Some(key) => self.adopt_run(now, key, task, run, StartState::Inherited),
                None => self.orphans.push(Orphan { worker, task, run, named_at: None }),
            }
        }
    }

    /// Processes an event.
    pub fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Record(record) => self.process_record(now, record),
            Event::Workers(listed) => {
                self.list_read_at = now;
                self.workers_listed(now, &listed);
            }
            Event::ListUnchanged => self.list_read_at = now,
            Event::EvacuationsRead { read_at, evacuations } => {
                self.evacuations_read(read_at, evacuations);
            }
            Event::MachinesListed { requested_at, workers } => {
                self.machines_listed(requested_at, &workers);
            }
            Event::QueueConfig(queues) => {
                if queues.version >= self.queues.version {
                    self.queues = queues;
                    self.plan_due = true;
                }
            }
            Event::RenewalAnswered(worker, answer) => self.renewal_answered(now, worker, answer),
            Event::WorkerReplaced(worker, started_at_ms) => {
                self.worker_replaced(now, worker, started_at_ms);
            }
            Event::RenewalFenced(worker, token) => self.renewal_fenced(now, worker, token),
            Event::StartAnswered(worker, task, run, reply) => {
                self.start_answered(now, worker, task, run, reply);
            }
            Event::StopAnswered(worker, task, run, reply) => {
                self.stop_answered(now, worker, task, run, reply);
            }
            Event::PaceAnswered(worker, task, run, percent, reply) => {
                self.pace_answered(worker, task, run, percent, reply);
            }
            Event::ProgressRefused(jobs) => self.progress_refused(&jobs),
            Event::Appended { log_end } => self.batch_appended(now, log_end),
            Event::HeartbeatStored { sent_at } => self.heartbeat_stored(now, sent_at),
            Event::StatesEnded(jobs) => self.removals.noticed.extend(jobs),
            Event::Loads(loads) => self.other_shards.update(loads),
            Event::InterferenceSums(seen) => {
                seen.iter().for_each(|it| self.interference.add_interference_sums(now, it));
            }
            Event::Tick => self.tick(now),
        }
    }

    /// Places waiting tasks, at most every 20 ms, and returns all actions requested since the last
    /// call.
    pub fn take_actions(&mut self, now: Instant) -> Vec<Action> {
        if self.plan_due && now.since(self.planned_at) >= PLAN_INTERVAL {
            self.plan_due = false;
            self.planned_at = now;
            self.plan(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether there are records to append and no batch is being appended.
    pub fn has_batch(&self) -> bool {
        let nothing_unrecorded = self.unrecorded_jobs.is_empty()
            && self.delegating.is_empty()
            && self.unrecorded_starts.is_empty();
        self.in_flight.is_none()
            && (!nothing_unrecorded
                || self.succession.has_witnesses_record()
                || self.open_starts.is_record_due()
                || self.long_leases.needs_token()
                || self.removals.has_records())
    }

    /// Returns the records to append next, or `None` while a batch is being appended or if there
    /// are none.
    pub fn try_batch(&mut self, now: Instant) -> Option<Batch> {
        if !self.has_batch() {
            return None;
        }
        self.unrecorded_jobs.sort_unstable();
        self.unrecorded_jobs.dedup();
        let ledger = &self.ledger;
        let changed: Vec<JobId> = std::mem::take(&mut self.unrecorded_jobs);
        let mut records = Vec::with_capacity(changed.len());
        let mut states = Vec::with_capacity(changed.len());
        let delegated = std::mem::take(&mut self.delegating);
        let receiver = |id: &JobId| ledger.job(*id).and_then(|it| it.delegated);
        records
            .extend(delegated.iter().filter_map(|id| Some(Record::Delegated(*id, receiver(id)?))));
        for id in changed {
            let Some(job) = ledger.job(id) else { continue };
            if job.progress.phase == Phase::Active && self.unstorable_jobs.contains(&id) {
                continue;
            }
            records.push(Record::Progress(id, job.progress.clone()));
            // This shard runs only some of the job's tasks; the job's own shard publishes its
            // state.
            if !job.belongs_to_other_shard() {
                states.push((id, job.state()));
            }
        }
        let transferring = std::mem::take(&mut self.transferring);
        records.extend(self.transfer_records(&transferring));
        if now.since(self.interference_recorded_at) >= INTERFERENCE_RECORD_INTERVAL {
            self.interference_recorded_at = now;
            records.push(Record::LearnedInterference(self.interference.pairs()));
        }
        records.extend(self.succession.take_witnesses_record());
        let seen = self.workers.iter().filter(|(_, it)| it.cursor_seen > it.cursor_durable);
        let cursors = seen.map(|(key, it)| (key, it.started_at_ms, it.cursor_seen)).collect();
        let starts = std::mem::take(&mut self.unrecorded_starts);
        for (key, task, run) in &starts {
            self.open_starts.will_send(*key, *task, *run);
        }
        records.extend(self.open_starts.take_record());
        let raised = self.workers_without_token();
        records.extend(self.take_long_leases_record(now));
        let (removals, removed) = self.removals.take_records();
        records.extend(removals);
        self.in_flight = Some(InFlightBatch {
            created_at: now,
            removed,
            starts,
            cursors,
            states,
            delegated,
            transferring,
            raised,
        });
        Some(Batch { records })
    }

    /// Returns the states of jobs that were stored in the log since the last call, the newest last.
    pub fn take_states(&mut self) -> Vec<(JobId, JobState)> {
        std::mem::take(&mut self.states)
    }

    /// Returns the interference sums collected since the last call, for the owners of other shards.
    pub fn take_interference_sums(&mut self) -> Vec<InterferenceSums> {
        self.interference.take_interference_sums()
    }

    /// Counts, by queue, the untimed jobs of which no task has begun.
    pub fn pending(&self) -> Vec<(String, u32)> {
        self.ledger.pending()
    }

    /// Returns the jobs that were delegated as a whole; the shards that run them publish their
    /// states.
    pub fn delegated_away(&self) -> impl Iterator<Item = JobId> {
        self.ledger.jobs().filter(|(_, it)| it.delegated.is_some()).map(|(id, _)| id)
    }

    /// Returns a worker of this owner.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns a task's state for a change, and marks its job to be recorded again.
    fn task_mut(&mut self, task: TaskId) -> Option<&mut crate::TaskState> {
        let job = self.ledger.job_mut(task.job)?;
        let steps = job.progress.occurrences.get_mut(task.occurrence as usize)?;
        let state = steps.get_mut(usize::from(task.step))?.get_mut(task.index as usize)?;
        self.unrecorded_jobs.push(task.job);
        Some(state)
    }

    fn note_worker(&mut self, key: WorkerKey, state: &'static str, cause: &'static str) {
        if let Some(worker) = self.workers.get(key) {
            let worker = worker.id.clone();
            self.actions.push(Action::Note(Note::WorkerChanged { worker, state, cause }));
        }
    }
}

/// Lists the runs that may be on a worker according to the job's record.
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

/// Whether this shard runs a job, or single tasks of it.
fn runs_here(job: &Job) -> bool {
    job.delegated.is_none() || job.has_received_tasks()
}

/// Interval between records of the learned interference, from which a new owner continues. A record
/// has up to 20 KB besides the names of the images.
const INTERFERENCE_RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval between planning passes: each pass visits all jobs and workers, and on a busy
/// owner hundreds of events per second request one.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Headroom assumed for a serving task until its first report.
const INITIAL_HEADROOM: f64 = 2.7;

/// Creates the assignment of a run that starts now.
fn new_assignment(
    now: Instant,
    interference: &mut Interference,
    task: TaskId,
    run: u32,
    step: &crate::StepSpec,
) -> Assignment {
    let image = match (&step.image, step.target_ms) {
        (Some(it), 0) if step.best_effort => interference.try_add_best_effort(now, it),
        (None, _) | (_, 0) => None,
        (Some(it), _) => interference.try_add_serving(now, it),
    };
    Assignment {
        task,
        run,
        allocation: step.allocation(),
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
