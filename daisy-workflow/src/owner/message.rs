//! Events that an owner receives, and actions that it requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use daisy_model::{Instant, Resources, SortedMap};

use crate::{
    Evacuations, InterferenceSums, JobId, JobKind, Load, QueueConfig, Record, ShardId, TaskId,
    WorkerId,
    owner::{LossEvidence, PredecessorsEnd, WorkerKey, WorkerView},
};

/// A worker in the platform's list of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerListing {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address at which the worker accepts calls.
    pub address: SocketAddr,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Data centre that the worker is in.
    pub data_centre: Arc<str>,
    /// Whether the worker accepts new tasks; `false` while it drains.
    pub ready: bool,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// The worker's kind and rack.
    pub labels: Vec<Arc<str>>,
    /// When this incarnation started, in milliseconds since 1970 by the worker's own clock.
    pub started_at_ms: u64,
    /// Remaining time during which the worker is still slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// The minimum time until the worker exits, in milliseconds, while it drains.
    pub min_remaining_ms: Option<u64>,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts.
    pub run: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of the work is done, in percent; for a long-running task, 100 once it is ready.
    pub percent: u8,
    /// For a serving task, its tail latency in milliseconds; for other tasks, the processor time in
    /// use in thousandths of a core.
    pub load: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task completed all its work.
    Done,
    /// The run failed, through its own fault or its worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease ran out.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The run waited too long for the other members of its gang.
    GangIncomplete,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end among those of the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts.
    pub run: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalAnswer {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Start time of the incarnation that answers, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// All runs on the worker.
    pub running: Vec<ActiveRun>,
    /// Ended runs that were not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Why a worker rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The worker has seen a higher fencing token.
    Fenced {
        /// The order's token.
        token: u64,
    },
    /// The run's number is not above that of a run of the task which was stopped or ended on the
    /// worker.
    StaleRun,
    /// The lease had expired when the order arrived.
    LeaseExpired,
    /// The task does not fit into the worker's free capacity.
    DoesNotFit,
    /// The ticket is missing or has expired.
    InvalidTicket,
    /// The worker is unhealthy and did not carry the order out.
    Unhealthy,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The worker does not understand the order.
    Malformed,
}

impl RejectReason {
    /// Returns the reason's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            RejectReason::Fenced { .. } => "fenced",
            RejectReason::StaleRun => "stale_run",
            RejectReason::LeaseExpired => "lease_expired",
            RejectReason::DoesNotFit => "does_not_fit",
            RejectReason::InvalidTicket => "invalid_ticket",
            RejectReason::Unhealthy => "unhealthy",
            RejectReason::OtherIncarnation => "other_incarnation",
            RejectReason::Malformed => "malformed",
        }
    }
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was carried out, by this call or by an earlier one.
    Done {
        /// The worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// The worker rejected the order.
    Rejected(RejectReason),
    /// The order was not sent.
    NotSent,
    /// No answer came: the order may have been carried out, or be carried out later.
    Unknown,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts.
    pub run: u32,
    /// Text passed to the task.
    pub text: Arc<str>,
    /// The lease's end on the worker's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
}

/// An event that an owner processes.
#[derive(Debug, Clone)]
pub enum Event {
    /// A record of a submission or a cancellation.
    Record(Record),
    /// The platform's complete list of workers.
    Workers(Vec<WorkerListing>),
    /// The platform's list of workers was read and has not changed.
    ListUnchanged,
    /// The operators' requests to evacuate data centres were read to their end.
    EvacuationsRead {
        /// When they were read.
        read_at: Instant,
        /// The data centres that are evacuated.
        evacuations: Arc<Evacuations>,
    },
    /// The platform's complete list of machines was read.
    MachinesListed {
        /// When the list was requested.
        requested_at: Instant,
        /// The workers on the machines, sorted.
        workers: Vec<WorkerId>,
    },
    /// A new version of the queue configuration.
    QueueConfig(Arc<QueueConfig>),
    /// The answer to [`Action::Renew`]; `None` if the call was not answered.
    RenewalAnswered(WorkerKey, Option<RenewalAnswer>),
    /// A worker rejected a renewal with this fencing token because it has seen a higher one.
    RenewalFenced(WorkerKey, u64),
    /// Another incarnation answered a renewal for the incarnation of a worker that started at this
    /// time, in milliseconds since 1970: it now has the worker's address.
    WorkerReplaced(WorkerKey, u64),
    /// The answer to [`Action::Start`].
    StartAnswered(WorkerKey, TaskId, u32, OrderReply),
    /// The answer to [`Action::Stop`].
    StopAnswered(WorkerKey, TaskId, u32, OrderReply),
    /// The answer to [`Action::Pace`].
    PaceAnswered(WorkerKey, TaskId, u32, u8, OrderReply),
    /// The log cannot store the progress of these jobs; sent before [`Event::Appended`] for the
    /// batch that contains it.
    ProgressRefused(Vec<JobId>),
    /// The last [`Batch`] was stored in the log, but for what it refused.
    Appended {
        /// The offset after the last of its records that was stored; 0 if none was.
        log_end: u64,
    },
    /// The log stored a heartbeat of this owner.
    HeartbeatStored {
        /// When the heartbeat was first sent.
        sent_at: Instant,
    },
    /// The loads that the owners of other shards last published.
    Loads(SortedMap<ShardId, Load>),
    /// Jobs of this shard whose published states say that they have ended.
    StatesEnded(Vec<JobId>),
    /// Interference sums from the owner of another shard.
    InterferenceSums(Vec<InterferenceSums>),
    /// Time has passed.
    Tick,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// The job was cancelled or has ended.
    JobOver,
    /// Another copy of the task has completed.
    Done,
    /// The run is throttled in favour of serving tasks on its worker, and could run at full pace
    /// elsewhere.
    Throttled {
        /// The pace of the run on this worker, in percent.
        percent: u8,
    },
    /// The task is started again elsewhere, so that another task fits on this worker.
    Moved,
    /// The run has made no progress for some time.
    NoProgress,
    /// The worker exits before the run would end.
    Draining,
    /// The start order was not answered, and the worker's data centre is evacuated.
    Evacuated,
    /// The start order may still be carried out, after the worker rejected it once or restarted.
    PossiblyDelayed,
    /// The worker's lists do not contain the run, though it was started.
    Absent,
    /// This owner did not start the run, or has given it up.
    Unknown,
}

impl StopCause {
    /// Returns the cause as text for a log line.
    pub fn description(self) -> &'static str {
        match self {
            StopCause::JobOver => "its job is over",
            StopCause::Done => "another copy is done",
            StopCause::Throttled { .. } => "throttled here, can run at full pace elsewhere",
            StopCause::Moved => "moved to make space for another task",
            StopCause::NoProgress => "no progress",
            StopCause::Draining => "its worker drains",
            StopCause::Evacuated => "its data centre is evacuated",
            StopCause::PossiblyDelayed => "its order may be carried out late",
            StopCause::Absent => "its worker does not list it",
            StopCause::Unknown => "unknown to this owner",
        }
    }
}

/// Why a ready task waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// No worker has enough free capacity for what the task reserves.
    Capacity,
    /// The task could not run at full pace on any worker beside that worker's tasks.
    Headroom,
}

impl WaitCause {
    /// Returns the cause as text for a log line.
    pub fn description(self) -> &'static str {
        match self {
            WaitCause::Capacity => "no worker has enough free capacity",
            WaitCause::Headroom => "no worker can run it at full pace",
        }
    }
}

/// An action that the owner requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Renew a worker's lease, acknowledge ended runs, and read the worker's lists.
    Renew {
        /// The worker.
        worker: WorkerKey,
        /// The lease's end on the worker's clock, in milliseconds; `None` to only read the lists.
        deadline_ms: Option<u64>,
        /// The worker may forget ended runs up to this number; 0 if it forgets no others than
        /// before.
        cursor: u64,
        /// How long the worker waits for a run to end before it answers.
        wait: Duration,
    },
    /// Start a task.
    Start(WorkerKey, Start),
    /// Stop a run.
    Stop(WorkerKey, TaskId, u32, StopCause),
    /// Set a run's pace: the share of its processor time that it may use, in percent.
    Pace(WorkerKey, TaskId, u32, u8),
    /// Append this record of a job to another shard's submissions; retried until the log has stored
    /// it.
    Forward(ShardId, Record),
    /// Append these removals to this shard's submissions. A lost one is requested again.
    RemoveSubmissions(Vec<Record>),
    /// Another owner has replaced this one.
    StepDown,
    /// Write an event to the process's log.
    Note(Note),
}

/// A decision that is written to the process's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// A job completed or failed.
    JobEnded {
        /// The job.
        job: JobId,
        /// `completed` or `failed`.
        outcome: &'static str,
        /// Kind of the job.
        kind: JobKind,
        /// Time since the job was accepted, as far as the owner knows.
        age: Duration,
        /// Time within which the job should have ended.
        objective: Duration,
    },
    /// A ready step cannot be placed; logged once per step.
    StepWaiting {
        /// The job.
        job: JobId,
        /// The step.
        step: u16,
        /// Number of the step's tasks that wait.
        tasks: usize,
        /// Why they wait.
        cause: WaitCause,
        /// Number of jobs that have not ended.
        backlog: usize,
    },
    /// The submissions of jobs are removed that ended long ago.
    JobsRemoved {
        /// Number of the jobs.
        jobs: usize,
        /// Number of ended jobs whose records are retained.
        remaining: usize,
    },
    /// A job is delegated to another shard.
    JobDelegated {
        /// The job.
        job: JobId,
        /// The shard that runs it.
        to: ShardId,
    },
    /// A long-running task that fits on no worker of this shard is transferred to another one.
    TaskTransferred {
        /// The task.
        task: TaskId,
        /// Number of the transfer; a task's transfers are counted from 1.
        number: u32,
        /// The shard that runs it.
        to: ShardId,
    },
    /// A long-running task is stopped and starts again elsewhere, so that the free capacity of its
    /// worker suffices for another task.
    TaskMoving {
        /// The task.
        task: TaskId,
        /// The worker that the task leaves.
        worker: WorkerId,
        /// Processor time that will be free on that worker, in thousandths of a core.
        free_cpu: u32,
        /// Processor time that the waiting task reserves, in thousandths of a core.
        needed_cpu: u32,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: TaskId,
        /// Number of the run among the task's starts.
        run: u32,
        /// The worker that it ran on.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether there is a checkpoint from which the next run continues.
        saved: bool,
    },
    /// A run of a task, or of its gang, counts as failed.
    FailureCounted {
        /// The task.
        task: TaskId,
        /// Number of the run among the task's starts.
        run: u32,
        /// The failed runs of the task or of its gang so far.
        failures: u32,
        /// After how many failed runs the job fails, unless the task is long-running.
        attempts: u32,
    },
    /// A run is given up without a report from its worker.
    RunLost {
        /// The task.
        task: TaskId,
        /// Number of the run among the task's starts.
        run: u32,
        /// The worker that it was on.
        worker: WorkerId,
        /// Why it cannot be running any more.
        cause: &'static str,
        /// What the owner knew.
        evidence: LossEvidence,
    },
    /// A run that was given up has ended as done, after its task was started again: the end is not
    /// acknowledged and has no effect.
    EndSuperseded {
        /// The task.
        task: TaskId,
        /// Number of the run among the task's starts.
        run: u32,
        /// The worker that lists the end.
        worker: WorkerId,
    },
    /// No earlier owner can renew leases any more.
    PredecessorsEnded {
        /// The owner's epoch.
        epoch: u64,
        /// What shows it.
        end: PredecessorsEnd,
        /// For how long it has held.
        held_for: Duration,
        /// Time since the log first confirmed that it rejects all earlier owners, if it has.
        confirmed_for: Option<Duration>,
        /// Number of witnesses with which all earlier owners comply.
        witnesses: usize,
        /// How many of the witnesses have answered this owner.
        answered: usize,
        /// How many of the others have ended.
        ended: usize,
    },
    /// The state of a worker, as the owner sees it, changed.
    WorkerChanged {
        /// The worker.
        worker: WorkerId,
        /// The new state.
        state: &'static str,
        /// Why the state changed.
        cause: &'static str,
        /// What the owner knows of the worker; for one that has restarted, of the incarnation before.
        view: WorkerView,
    },
}

/// Records that are appended together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The records.
    pub records: Vec<Record>,
}
