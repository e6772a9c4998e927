//! The format of recorded events: one JSON object per line.

use serde::{Deserialize, Serialize};

/// Something that one process observed or did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since 1970 UTC by the clock of the machine, which all processes of a test run
    /// share.
    pub at_us: u64,
    /// The process that recorded the event.
    pub who: String,
    /// What happened, with its details.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// An amount of processors, memory and accelerators: a capacity or a task's size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Identifies one incarnation of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The job's number.
    pub job: u32,
    /// The task's index in its job.
    pub index: u32,
    /// The number of this start of the task.
    pub incarnation: u32,
}

/// How an incarnation of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It finished its work.
    Done,
    /// It ended with an error.
    Failed,
    /// It was checkpointed; holds the checkpoint's token.
    Checkpointed(u64),
    /// Its holder stopped it.
    Stopped,
    /// Its lease expired.
    LeaseLapsed,
}

/// How an attempt of a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The caller received an answer.
    Answered,
    /// The system reported that the request was not run.
    NotRun,
    /// The system reported that it does not know whether the request was run.
    Unknown,
    /// The connection broke or the timeout expired before the whole answer arrived.
    Broken,
    /// No connection could be made, so nothing was sent.
    Unreachable,
}

/// What an operator was told about the outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The change was accepted as this generation.
    Accepted(u64),
    /// The change was refused because another change was accepted before it.
    Refused,
    /// The operator received no answer.
    Unknown,
}

/// What happened, with its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// A worker started.
    WorkerBegan {
        /// Its total capacity.
        capacity: Size,
    },
    /// A worker received a call with a higher epoch than any before.
    EpochSeen {
        /// The epoch.
        epoch: u64,
    },
    /// A worker refused a call because the call's epoch was stale.
    EpochRefused {
        /// The call's epoch.
        epoch: u64,
        /// The highest epoch that the worker has seen.
        seen: u64,
    },
    /// A worker started an incarnation of a task.
    TaskStarted {
        /// The incarnation.
        #[serde(flatten)]
        run: Run,
        /// The epoch of the call that ordered the start.
        epoch: u64,
        /// The resources that it takes.
        size: Size,
        /// The token of the checkpoint that it resumed from, if any.
        checkpoint: Option<u64>,
    },
    /// An incarnation of a task ended on a worker.
    TaskEnded {
        /// The incarnation.
        #[serde(flatten)]
        run: Run,
        /// How it ended.
        end: RunEnd,
    },
    /// The platform appended a record to its log.
    Appended {
        /// The id that the sender gave to the append.
        id: String,
        /// The record's offset in the log.
        offset: u64,
        /// The process that sent the append.
        from: String,
    },
    /// The platform accepted a change to one VM.
    VmChanged {
        /// The VM's name.
        vm: String,
        /// The VM's new status: `live`, `leaving` or `gone`.
        status: String,
    },
    /// A backend server began to run a request.
    RequestBegan {
        /// The request's id, from its header.
        request: String,
        /// The number that the caller wrote into the body.
        call: Option<u64>,
        /// The idempotency key.
        key: Option<String>,
    },
    /// A backend server finished a request, whether or not its answer arrived.
    RequestEnded {
        /// The request's id.
        request: String,
    },
    /// A backend server refused a request without running it.
    RequestRefused {
        /// The request's id.
        request: String,
        /// The number that the caller wrote into the body.
        call: Option<u64>,
    },
    /// A backend server was told that it is about to leave.
    Leaving,
    /// A caller sent one attempt of a call.
    CallSent {
        /// The call's number, which all its attempts share.
        call: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The idempotency key.
        key: Option<String>,
        /// The entry VM's address.
        entry: String,
    },
    /// One attempt of a call ended.
    CallEnded {
        /// The call's number.
        call: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// How it ended.
        outcome: CallOutcome,
        /// The HTTP status of the answer, if one arrived.
        status: Option<u16>,
        /// The request id in the answer's header.
        request: Option<String>,
        /// For `answered`: whether the body is complete and belongs to this call.
        own: bool,
    },
    /// A process reported the configuration that it has in force.
    ConfigInForce {
        /// The configuration's generation; higher is newer.
        version: u64,
    },
    /// The system accepted a configuration, which must be in force everywhere within a time limit.
    ConfigAccepted {
        /// The configuration's generation.
        version: u64,
    },
    /// An operator sent a change of the declared state.
    ChangeSent {
        /// The number of the change.
        change: u64,
        /// The generation that the change depends on, if any.
        expected: Option<u64>,
    },
    /// An operator learnt the outcome of a change.
    ChangeEnded {
        /// The number of the change.
        change: u64,
        /// The outcome.
        verdict: ChangeOutcome,
    },
    /// A process began a planned stop (a graceful shutdown).
    Stopping {
        /// For an entry VM: its address for callers.
        entry: Option<String>,
    },
    /// A process was killed.
    Killed {
        /// For an entry VM: its address for callers.
        entry: Option<String>,
    },
    /// A process was frozen, or cut off from the sources of configuration changes.
    CutOff,
    /// A process that was frozen or cut off runs and is connected again.
    Healed,
    /// Operators drained a VM, and the system accepted the drain.
    Drained {
        /// The VM's name.
        vm: String,
    },
    /// The test injected or ended faults. No checker reads this; it helps people who read the
    /// history.
    Fault {
        /// The faults that are now in effect, as text.
        what: String,
    },
}
