//! The one format of recorded events: JSON lines.

use serde::{Deserialize, Serialize};

/// One thing that one process saw or did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds since 1970 UTC by the machine's clock; all processes of a run share it.
    pub at_us: u64,
    /// The process that recorded the event.
    pub who: String,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Processors, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// One incarnation of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The job's number.
    pub job: u32,
    /// The task's index in its job.
    pub index: u32,
    /// Which start of the task this is.
    pub incarnation: u32,
}

/// How an incarnation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// Did its work.
    Done,
    /// Ended with an error.
    Failed,
    /// Checkpointed, with the checkpoint's token.
    Checkpointed(u64),
    /// Stopped by its holder.
    Stopped,
    /// Its lease lapsed.
    LeaseLapsed,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The answer came.
    Answered,
    /// The system said that the request was not run.
    NotRun,
    /// The system said that it does not know.
    Unknown,
    /// The connection broke or the time ran out before a whole answer.
    Broken,
    /// No connection could be made, so nothing was sent.
    Unreachable,
}

/// What an operator learnt of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// Accepted as this generation.
    Accepted(u64),
    /// Refused, because another change came first.
    Refused,
    /// No answer came.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// A worker began; it holds this much.
    WorkerBegan {
        /// What it holds in all.
        capacity: Size,
    },
    /// A worker saw a new highest epoch.
    EpochSeen {
        /// The epoch.
        epoch: u64,
    },
    /// A worker refused a call because its epoch was stale.
    EpochRefused {
        /// The call's epoch.
        epoch: u64,
        /// The highest epoch seen.
        seen: u64,
    },
    /// A worker started an incarnation.
    TaskStarted {
        /// Which.
        #[serde(flatten)]
        run: Run,
        /// The epoch of the call.
        epoch: u64,
        /// What it takes.
        size: Size,
        /// The checkpoint that it resumed from.
        checkpoint: Option<u64>,
    },
    /// A worker's incarnation ended.
    TaskEnded {
        /// Which.
        #[serde(flatten)]
        run: Run,
        /// How.
        end: RunEnd,
    },
    /// The platform appended a record.
    Appended {
        /// The append's id as the sender gave it.
        id: String,
        /// Where it stands.
        offset: u64,
        /// Who appended.
        from: String,
    },
    /// The platform took in a change of one VM.
    VmChanged {
        /// The VM's name.
        vm: String,
        /// `live`, `leaving` or `gone`.
        status: String,
    },
    /// A backend server began to run a request.
    RequestBegan {
        /// The request's id, as the header gave it.
        request: String,
        /// The number that the caller wrote into the body.
        call: Option<u64>,
        /// The idempotency key.
        key: Option<String>,
    },
    /// A backend server came to the end of a request, whether or not its answer arrived.
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
    /// A backend server was told that it is going to leave.
    Leaving,
    /// A caller sent one attempt of a call.
    CallSent {
        /// The call's number, the same for all attempts.
        call: u64,
        /// From 1.
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
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: CallOutcome,
        /// The HTTP status, if one came.
        status: Option<u16>,
        /// The request id that the answer shows.
        request: Option<String>,
        /// For `answered`: whether the body was whole and the call's own.
        own: bool,
    },
    /// An entry VM has a configuration in force.
    ConfigInForce {
        /// The generation; higher is newer.
        version: u64,
    },
    /// A configuration was accepted; it has to be in force everywhere soon.
    ConfigAccepted {
        /// Its generation.
        version: u64,
    },
    /// An operator sent a change.
    ChangeSent {
        /// Numbers the change.
        change: u64,
        /// The generation that it depends on.
        expected: Option<u64>,
    },
    /// An operator learnt what came of a change.
    ChangeEnded {
        /// Numbers the change.
        change: u64,
        /// What came of it.
        verdict: ChangeOutcome,
    },
    /// A process began a planned stop.
    Stopping {
        /// An entry VM's address for callers.
        entry: Option<String>,
    },
    /// A process was killed.
    Killed {
        /// An entry VM's address for callers.
        entry: Option<String>,
    },
    /// A process was frozen, or cut off from what tells it of changes.
    CutOff,
    /// A process that was frozen or cut off is no longer so.
    Healed,
    /// Operators drained a VM, and the system accepted it.
    Drained {
        /// The VM's name.
        vm: String,
    },
    /// The test brought about a fault or took it back; for people who read the history.
    Fault {
        /// What.
        what: String,
    },
}
