//! What an owner knew when it gave a run up, for the process's log.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    message::{Action, Note},
    succession::PredecessorsEnd,
    worker::{StartState, Worker, WorkerKey},
};
use crate::{TaskId, WorkerId};

/// What shows that a run which is given up cannot be running any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossBound {
    /// The last lease that this owner granted has expired by the worker's clock.
    GrantedLease,
    /// A lease that may have been granted before the worker first answered has expired by the
    /// worker's clock, and it ends later than those that this owner granted.
    LeaseBeforeAnswer {
        /// Whether it may be the longest one, as the worker has restarted or the log names it.
        longest: bool,
    },
    /// The leases that earlier owners may have granted to a worker without a clock have expired.
    PredecessorLease {
        /// Whether they may be the longest ones, as the log names the worker.
        longest: bool,
    },
    /// The worker has not answered since it restarted, and the runs have ended that late orders can
    /// have started there, with the longest lease.
    LateOrders,
    /// Another incarnation has answered at the worker's address.
    OtherIncarnation,
    /// The worker has confirmed a stop, and a list requested since lacks the run.
    StoppedUnlisted,
    /// The worker rejects the orders of the owner that started the run, and its list lacks the run.
    InheritedUnlisted,
    /// The worker has restarted, and a list of the incarnation before contained the run.
    Restarted,
}

impl LossBound {
    /// Returns the bound's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            LossBound::GrantedLease => "granted_lease",
            LossBound::LeaseBeforeAnswer { longest: false } => "lease_before_answer",
            LossBound::LeaseBeforeAnswer { longest: true } => "longest_lease_before_answer",
            LossBound::PredecessorLease { longest: false } => "predecessor_lease",
            LossBound::PredecessorLease { longest: true } => "longest_predecessor_lease",
            LossBound::LateOrders => "late_orders",
            LossBound::OtherIncarnation => "other_incarnation",
            LossBound::StoppedUnlisted => "stopped_unlisted",
            LossBound::InheritedUnlisted => "inherited_unlisted",
            LossBound::Restarted => "restarted",
        }
    }

    /// Returns why a run on a known worker is given up, as text for a log line.
    fn cause(self) -> &'static str {
        match self {
            LossBound::GrantedLease
            | LossBound::LeaseBeforeAnswer { .. }
            | LossBound::PredecessorLease { .. }
            | LossBound::LateOrders => "its worker is silent and its lease has run out",
            LossBound::OtherIncarnation => "another incarnation answers at its worker's address",
            LossBound::StoppedUnlisted | LossBound::InheritedUnlisted => {
                "its worker does not list it"
            }
            LossBound::Restarted => "its worker restarted",
        }
    }
}

/// What an owner knows of a worker's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker's clock in milliseconds as its last answer gave it, and the age of that answer.
    pub clock: Option<(u64, Duration)>,
    /// The latest end of a lease that the worker may have been granted, on its own clock; 0 if that
    /// clock is not known.
    pub lease_end_ms: u64,
    /// When the incarnation started, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// The fencing token of calls to the worker.
    pub token: u64,
}

/// What an owner knew when it gave a run up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossEvidence {
    /// What shows that the run is over.
    pub bound: LossBound,
    /// For how long that had held: the time since the bound was over, or since the request or the
    /// answer that it follows from.
    pub held_for: Duration,
    /// What was known of the start order: `inherited`, `in_flight`, `unanswered` or `confirmed`.
    pub order: &'static str,
    /// Whether a copy of the start order could still be carried out, if there were a worker to do it.
    pub has_open_start: bool,
    /// The worker, unless the platform's list has not named it.
    pub worker: Option<WorkerView>,
    /// By what no earlier owner could renew leases any more, and for how long, if that was known.
    pub predecessors_ended: Option<(PredecessorsEnd, Duration)>,
}

/// Why a run is given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub bound: LossBound,
    /// From when on the bound has held.
    pub over_at: Instant,
    /// The worker, unless the platform's list has not named it.
    pub worker: Option<WorkerView>,
}

impl Worker {
    /// Returns what is known of the worker's incarnation.
    pub fn view(&self, now: Instant) -> WorkerView {
        WorkerView {
            clock: self.clock.map(|(clock_ms, at)| (clock_ms, now.since(at))),
            lease_end_ms: self.max_lease_end_ms,
            started_at_ms: self.started_at_ms,
            token: self.token,
        }
    }

    /// Returns which lease ends last by the worker's clock.
    pub(super) fn last_lease(&self) -> LossBound {
        match self.max_lease_end_ms > self.inherited_lease_end_ms {
            true => LossBound::GrantedLease,
            false => LossBound::LeaseBeforeAnswer { longest: self.is_inherited_lease_longest },
        }
    }
}

impl Owner {
    /// Gives up a run that cannot be running any more.
    pub(super) fn give_up_run(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        loss: Loss,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let id = worker.id.clone();
        let Some(it) = worker.remove(task, run) else { return };
        self.remove_copy(task, run, &it.checkpoint);
        let evidence = self.loss_evidence(now, (task, run), order_label(it.start_state), loss);
        let cause = loss.bound.cause();
        self.actions.push(Action::Note(Note::RunLost { task, run, worker: id, cause, evidence }));
    }

    /// Gives up a run on a worker that the platform's list has not named.
    pub(super) fn give_up_orphan(
        &mut self,
        now: Instant,
        worker: WorkerId,
        task: TaskId,
        run: u32,
    ) {
        self.remove_copy(task, run, "");
        self.note_displaced(now, task);
        let longest = self.long_leases.is_inherited(&worker);
        let over_at = self.inherited_leases_end(&worker).unwrap_or(now);
        let loss = Loss { bound: LossBound::PredecessorLease { longest }, over_at, worker: None };
        let order = order_label(StartState::Inherited);
        let evidence = self.loss_evidence(now, (task, run), order, loss);
        let cause =
            "the list does not name its worker, and the leases of earlier owners have run out";
        self.actions.push(Action::Note(Note::RunLost { task, run, worker, cause, evidence }));
    }

    fn loss_evidence(
        &self,
        now: Instant,
        (task, run): (TaskId, u32),
        order: &'static str,
        Loss { bound, over_at, worker }: Loss,
    ) -> LossEvidence {
        LossEvidence {
            bound,
            held_for: now.since(over_at),
            order,
            has_open_start: self.open_starts.may_be_carried_out(now, task, run),
            worker,
            predecessors_ended: self.succession.predecessors_ended(now),
        }
    }
}

fn order_label(start_state: StartState) -> &'static str {
    match start_state {
        StartState::Recording => "not_sent",
        StartState::InFlight => "in_flight",
        StartState::Unanswered(_) => "unanswered",
        StartState::Confirmed(_) => "confirmed",
        StartState::Inherited => "inherited",
    }
}
