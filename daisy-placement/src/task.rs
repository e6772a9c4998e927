//! The holder's view of a task.

use daisy_ledger::{Task, TaskState};
use daisy_model::{DcId, Exit, Incarnation, Instant, VmId};

use crate::{reason::Notes, worker::WorkerKey};

/// The state of a task, as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Ended, or checked out by another data centre.
    NotOurs,
    /// Checked out by no data centre; seen pending since `since`.
    Pending { since: Instant },
    /// A checkout was appended at `at` and is not in the fold yet.
    CheckoutRequested { since: Instant, at: Instant },
    /// Checked out under an earlier epoch; whether and where it runs is not known yet.
    Inherited { since: Instant },
    /// Checked out and runs nowhere.
    Waiting { since: Instant },
    /// Returned by a record appended at `at`, which is not in the fold yet.
    Returned { at: Instant },
    /// A start on a worker is ordered or about to be ordered.
    Starting { worker: WorkerKey },
    /// A worker reported the task as running.
    Running { worker: WorkerKey },
    /// Ended, which the ledger does not show yet; `recorded_at` is when the record was appended.
    Ended { worker: Option<WorkerKey>, exit: Exit, recorded_at: Option<Instant> },
}

/// A task and its state in this holder.
#[derive(Debug, Clone)]
pub(crate) struct LocalTask {
    pub phase: Phase,
    /// The incarnation that runs, or that of the last start that may have taken effect.
    pub incarnation: Incarnation,
    /// When a `Placed` record for `incarnation` was last appended.
    pub placement_recorded_at: Option<Instant>,
    /// The task as last shown by the ledger.
    pub ledger: Task,
    /// The reasons for its state.
    pub notes: Notes,
}

impl LocalTask {
    pub(crate) fn new(ledger: Task) -> LocalTask {
        LocalTask {
            phase: Phase::NotOurs,
            incarnation: ledger.incarnation,
            placement_recorded_at: None,
            ledger,
            notes: Notes::default(),
        }
    }

    /// Whether the ledger shows that `incarnation` has ended.
    ///
    /// Only then may the exit report be acknowledged. A worker forgets a report once it is
    /// acknowledged, so an earlier acknowledgement could lose the exit, and the work would be
    /// resumed from an old checkpoint or not at all.
    pub(crate) fn is_end_recorded(&self, incarnation: Incarnation) -> bool {
        matches!(self.ledger.state, TaskState::Ended(_)) || self.ledger.ended >= incarnation
    }

    /// Whether the ledger shows where `incarnation` runs.
    pub(crate) fn is_placement_recorded(&self) -> bool {
        self.ledger.incarnation >= self.incarnation && self.ledger.vm.is_some()
    }

    /// Whether the ledger's newest state of the task, `ledger`, requires no action.
    pub(crate) fn is_up_to_date(&self, dc: DcId, ledger: &Task) -> bool {
        let is_phase_current = match self.phase {
            Phase::Running { .. } => self.is_placement_recorded(),
            Phase::NotOurs => match ledger.state {
                TaskState::Pending => false,
                TaskState::CheckedOut(owner) => owner.dc != dc,
                TaskState::Ended(_) => true,
            },
            _ => false,
        };
        is_phase_current && self.ledger == *ledger
    }

    /// Returns the VM of the incarnation that the ledger shows as started and not ended.
    pub(crate) fn try_recorded_vm(&self) -> Option<VmId> {
        if self.ledger.incarnation > self.ledger.ended { self.ledger.vm } else { None }
    }

    /// Returns the incarnation of the next start, higher than all that may have started.
    pub(crate) fn next_incarnation(&self) -> Incarnation {
        let last = self.incarnation.max(self.ledger.incarnation).max(self.ledger.ended);
        Incarnation(last.0.saturating_add(1))
    }

    /// Returns the worker on which the task starts or runs, or that has an exit report of it.
    pub(crate) fn try_worker(&self) -> Option<WorkerKey> {
        match self.phase {
            Phase::Starting { worker } | Phase::Running { worker } => Some(worker),
            Phase::Ended { worker, .. } => worker,
            _ => None,
        }
    }
}
