//! What an owner is told, and what it wants done.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Resources, SortedMap};

use crate::{
    JobId, JobKind, Load, Observations, Queues, Record, ShardId, TaskId, WorkerId, owner::WorkerKey,
};

/// A worker in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerListing {
    /// Its id.
    pub id: WorkerId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Whether it takes new tasks; `false` while it drains.
    pub ready: bool,
    /// What it holds.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// When this incarnation started, in milliseconds since 1970 of its own clock.
    pub started_at_ms: u64,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// The least time until it leaves, in milliseconds, while it drains.
    pub min_remaining_ms: Option<u64>,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of the work is done; of a task that lasts, 100 when it is at work.
    pub percent: u8,
    /// Of a serving task its tail latency in milliseconds, of another the processor time in use.
    pub load: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It did all its work.
    Done,
    /// It failed, by its own or its worker's fault.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the others of its gang.
    GangIncomplete,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Numbers the ends of a worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldAnswer {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Which incarnation answers.
    pub started_at_ms: u64,
    /// All that runs there.
    pub running: Vec<ActiveRun>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Why a worker did not do what it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher epoch.
    Fenced,
    /// The run is not above one that was stopped or ended there.
    StaleRun,
    /// The lease had run out when the order arrived.
    Late,
    /// It does not fit.
    DoesNotFit,
    /// The ticket is missing or has expired.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The worker does not understand the order.
    Malformed,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It was done, or had been.
    Done {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// It was not done.
    Refused(Refusal),
    /// Nothing was sent.
    NotSent,
    /// No answer came: it may be done, also later.
    Unknown,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u32,
    /// Handed to the task.
    pub text: Arc<str>,
    /// The lease's end on the worker's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Where to resume; empty for the beginning.
    pub checkpoint: String,
}

/// What an owner is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A record of a submission or a cancellation.
    Record(Record),
    /// The platform's whole list of workers.
    Workers(Vec<WorkerListing>),
    /// The platform's list of workers was read and has not changed.
    ListUnchanged,
    /// A version of the configuration.
    Queues(Arc<Queues>),
    /// The answer to [`Action::Hold`]; `None` if none came.
    HoldAnswered(WorkerKey, Option<HoldAnswer>),
    /// A worker refused a renewal because of a higher epoch.
    Fenced(WorkerKey),
    /// The answer to [`Action::Start`].
    Started(WorkerKey, TaskId, u32, OrderReply),
    /// The answer to [`Action::Stop`].
    Stopped(WorkerKey, TaskId, u32, OrderReply),
    /// The answer to [`Action::Pace`].
    Paced(WorkerKey, TaskId, u32, u8, OrderReply),
    /// The last [`Batch`] is in the log.
    Appended,
    /// The log took a sign of life that was sent at this time.
    HeartbeatStored {
        /// When it was first sent.
        sent_at: Instant,
    },
    /// What the owners of other shards last said.
    Loads(SortedMap<ShardId, Load>),
    /// What the owner of another shard has learnt.
    Observed(Vec<Observations>),
    /// Time went by.
    Tick,
}

/// Why a run is told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// Its job is cancelled or over.
    JobOver,
    /// Another copy of the task has done the work.
    Done,
    /// It is held back for serving tasks here, and can work at full pace elsewhere.
    HeldBack {
        /// The share of its processor time that it has here, in percent.
        percent: u8,
    },
    /// It starts anew elsewhere, so that others find room here.
    Moved,
    /// It makes no progress.
    Stuck,
    /// Its worker leaves before it would end.
    Draining,
    /// Its order may yet be carried out, by a worker that has refused it or started anew.
    PossiblyDelayed,
    /// The worker's lists do not name it, though it was started.
    Absent,
    /// This owner has not started it, or has given it up.
    Unknown,
}

impl StopCause {
    /// The cause in words.
    pub fn description(self) -> &'static str {
        match self {
            StopCause::JobOver => "its job is over",
            StopCause::Done => "another copy is done",
            StopCause::HeldBack { .. } => "held back here, room elsewhere",
            StopCause::Moved => "others need its worker's room in one piece",
            StopCause::Stuck => "no progress",
            StopCause::Draining => "its worker leaves",
            StopCause::PossiblyDelayed => "its order may be carried out late",
            StopCause::Absent => "its worker does not list it",
            StopCause::Unknown => "not of this owner",
        }
    }
}

/// Why a task waits whose turn has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// No worker has room for what it reserves.
    Capacity,
    /// It could work at full pace beside the tasks of no worker.
    Headroom,
}

impl WaitCause {
    /// The cause in words.
    pub fn description(self) -> &'static str {
        match self {
            WaitCause::Capacity => "no worker has room",
            WaitCause::Headroom => "no worker can give it full pace",
        }
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Renew a worker's lease, acknowledge ends, and read its lists.
    Hold {
        /// The worker.
        worker: WorkerKey,
        /// The lease's end on the worker's clock, in milliseconds; `None` to read only.
        deadline_ms: Option<u64>,
        /// Ends up to this number are forgotten.
        cursor: u64,
        /// How long the worker waits for an end before it answers.
        wait: Duration,
    },
    /// Start a task.
    Start(WorkerKey, Start),
    /// Stop a run.
    Stop(WorkerKey, TaskId, u32, StopCause),
    /// Let a run work at this share of its processor time, in percent.
    Pace(WorkerKey, TaskId, u32, u8),
    /// Append this record of a job to another shard's submissions, again until the log has it.
    Forward(ShardId, Record),
    /// Somebody else owns the workers now.
    StepDown,
    /// Say something in the log of events.
    Note(Note),
}

/// A decision worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A job ended for good.
    JobEnded {
        /// The job.
        job: JobId,
        /// `completed` or `failed`.
        outcome: &'static str,
        /// What kind of job it was.
        kind: JobKind,
        /// Time since it was accepted, as far as the owner knows.
        age: Duration,
        /// Time in which it should have ended.
        objective: Duration,
    },
    /// A step whose turn has come finds no room; told once.
    StepWaiting {
        /// The job.
        job: JobId,
        /// The step.
        step: u16,
        /// Tasks of it that wait.
        tasks: usize,
        /// What it lacks.
        cause: WaitCause,
        /// Jobs that are not ended.
        backlog: usize,
    },
    /// A job is handed to another shard.
    JobDelegated {
        /// The job.
        job: JobId,
        /// The shard that runs it.
        to: ShardId,
    },
    /// A task that found no room here is handed to another shard.
    TaskTransferred {
        /// The task.
        task: TaskId,
        /// The number of its hand-over.
        hop: u32,
        /// The shard that runs it.
        to: ShardId,
    },
    /// A task that lasts is to start anew elsewhere, so that its worker's room becomes one piece.
    TaskMoving {
        /// The task.
        task: TaskId,
        /// Where it was.
        worker: WorkerId,
        /// The room that will be free there, in thousandths of a core.
        free_cpu: u32,
        /// What waits for it needs as much.
        needed_cpu: u32,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: u32,
        /// Where.
        worker: WorkerId,
        /// How.
        outcome: Outcome,
        /// Whether what it did is saved, so that its next run goes on from there.
        saved: bool,
    },
    /// A run is given up without word from its worker.
    RunLost {
        /// The task.
        task: TaskId,
        /// The number of the start.
        run: u32,
        /// Where.
        worker: WorkerId,
        /// Why it cannot be running any more.
        cause: &'static str,
    },
    /// What is believed of a worker changed.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The new belief.
        state: &'static str,
        /// What decided it.
        cause: &'static str,
    },
}

/// Records to be appended together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
}
