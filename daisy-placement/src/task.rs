//! What a holder knows of one task.

use daisy_ledger::{Task, TaskState};
use daisy_model::{DcId, Exit, Incarnation, Instant, VmId};

use crate::{reason::Notes, worker::WorkerKey};

/// Where a task stands, as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Ended, or with another data centre.
    NotOurs,
    /// Nobody has it; seen pending since.
    Pending { since: Instant },
    /// A checkout was appended at `at` and is not folded yet.
    CheckoutRequested { since: Instant, at: Instant },
    /// Checked out under an earlier epoch; whether and where it runs is not known yet.
    Inherited { since: Instant },
    /// Checked out and runs nowhere.
    Waiting { since: Instant },
    /// Given back at `at`, which is not folded yet.
    Returned { at: Instant },
    /// A start is on its way to a worker.
    Starting { worker: WorkerKey },
    /// A worker reported it running.
    Running { worker: WorkerKey },
    /// It ended, which the ledger does not show yet; `recorded_at` is when the record was appended.
    Ended { worker: Option<WorkerKey>, exit: Exit, recorded_at: Option<Instant> },
}

/// A task and where it stands.
#[derive(Debug, Clone)]
pub(crate) struct LocalTask {
    pub phase: Phase,
    /// The incarnation that runs, or of the last start that may have taken effect.
    pub incarnation: Incarnation,
    /// When a `Placed` record for `incarnation` was last appended.
    pub placed_at: Option<Instant>,
    /// As the ledger last showed it.
    pub ledger: Task,
    /// Why it stands where it does.
    pub notes: Notes,
}

impl LocalTask {
    pub(crate) fn new(ledger: Task) -> LocalTask {
        LocalTask {
            phase: Phase::NotOurs,
            incarnation: ledger.incarnation,
            placed_at: None,
            ledger,
            notes: Notes::default(),
        }
    }

    /// Whether the ledger shows that `incarnation` has ended.
    ///
    /// The exit report may then be acknowledged: a worker forgets a report at the
    /// acknowledgement, so one that comes before the record would lose the exit, and the
    /// work would be resumed from an old checkpoint or not at all.
    pub(crate) fn is_end_recorded(&self, incarnation: Incarnation) -> bool {
        matches!(self.ledger.state, TaskState::Ended(_)) || self.ledger.ended >= incarnation
    }

    /// Whether the ledger shows where `incarnation` runs.
    pub(crate) fn is_placement_recorded(&self) -> bool {
        self.ledger.incarnation >= self.incarnation && self.ledger.vm.is_some()
    }

    /// Whether the ledger's newest word on the task, `ledger`, asks for nothing.
    pub(crate) fn is_up_to_date(&self, dc: DcId, ledger: &Task) -> bool {
        let is_phase_current = match self.phase {
            Phase::Running { .. } => self.is_placement_recorded(),
            Phase::NotOurs => match ledger.state {
                TaskState::Pending => false,
                TaskState::Out(owner) => owner.dc != dc,
                TaskState::Ended(_) => true,
            },
            _ => false,
        };
        is_phase_current && self.ledger == *ledger
    }

    /// The worker of the incarnation that the ledger shows as started and not ended.
    pub(crate) fn try_recorded_vm(&self) -> Option<VmId> {
        if self.ledger.incarnation > self.ledger.ended { self.ledger.vm } else { None }
    }

    /// The incarnation of the next start: above all that may have started.
    pub(crate) fn next_incarnation(&self) -> Incarnation {
        let last = self.incarnation.max(self.ledger.incarnation).max(self.ledger.ended);
        Incarnation(last.0.saturating_add(1))
    }

    /// The worker that holds the task or an exit report of it.
    pub(crate) fn try_worker(&self) -> Option<WorkerKey> {
        match self.phase {
            Phase::Starting { worker } | Phase::Running { worker } => Some(worker),
            Phase::Ended { worker, .. } => worker,
            _ => None,
        }
    }
}
