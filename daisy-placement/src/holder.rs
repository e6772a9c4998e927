//! The decisions of a data centre's holder.

use std::time::Duration;

use daisy_ledger::{Record, State};
use daisy_model::{DcId, Epoch, Instant, Vm, VmId, WorkerCall, WorkerReport};

/// How a holder works.
#[derive(Debug, Clone)]
pub struct Options {
    /// The data centre held.
    pub dc: DcId,
    /// The fencing token of this holding.
    pub epoch: Epoch,
    /// How long a worker's tasks go on without a call.
    pub lease: Duration,
    /// Seeds every random choice.
    pub seed: u64,
}

/// What a holder learns.
#[derive(Debug)]
pub enum Event<'a> {
    /// The fold of the log has moved on.
    Ledger(&'a State),
    /// The platform's VM list, whole.
    Vms(&'a [Vm]),
    /// A worker answered a call.
    Report {
        /// The worker.
        vm: VmId,
        /// Its answer.
        report: &'a WorkerReport,
    },
    /// A call got no answer.
    Silent {
        /// The worker.
        vm: VmId,
        /// Whether the call may have reached it.
        sent: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a holder wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the log.
    Append(Record),
    /// Call a worker; at most one call a worker is outstanding.
    Call {
        /// The worker.
        vm: VmId,
        /// The call.
        call: WorkerCall,
    },
}

/// The holder of one data centre's workers.
#[derive(Debug)]
pub struct Holder {
    options: Options,
}

impl Holder {
    /// A holder that knows nothing yet.
    pub fn new(options: Options) -> Holder {
        Holder { options }
    }

    /// The fencing token of this holding.
    pub fn epoch(&self) -> Epoch {
        self.options.epoch
    }

    /// Takes `event` in at `now` and pushes what is to be done.
    pub fn step(&mut self, now: Instant, event: Event<'_>, actions: &mut Vec<Action>) {
        let _ = (now, event, actions);
    }
}
