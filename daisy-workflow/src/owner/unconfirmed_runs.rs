//! Runs of which the owner cannot tell whether they are still at work.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    orders::MAX_ORDER_DELAY,
    worker::{StartState, Worker},
};
use crate::{TaskId, WorkerId};

/// Why the fate of a run is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnconfirmedCause {
    /// Its worker has answered this owner, and does so no more.
    Unresponsive,
    /// Its worker has never answered this owner; one before it may have renewed its lease.
    NeverAnswered,
    /// The list of workers does not name it, so that nobody can be asked.
    NotListed,
}

impl UnconfirmedCause {
    /// In a few words, for a log line.
    pub fn description(self) -> &'static str {
        match self {
            UnconfirmedCause::Unresponsive => "its worker is silent, and its lease may not be over",
            UnconfirmedCause::NeverAnswered => {
                "its worker has not answered this owner, and one before may have renewed its lease"
            }
            UnconfirmedCause::NotListed => {
                "the list does not name its worker, and an owner before may have renewed its lease"
            }
        }
    }
}

/// A run that is neither known to be at work nor to be over, so that its task cannot start elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedRun {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u32,
    /// Where it may be.
    pub worker: WorkerId,
    /// Why that is not known.
    pub cause: UnconfirmedCause,
    /// How long until it counts as over.
    pub left: Duration,
}

impl Owner {
    /// Runs of tasks that last and whose fate is not known.
    pub fn unconfirmed_runs(&self, now: Instant) -> Vec<UnconfirmedRun> {
        let mut found = Vec::new();
        for (_, worker) in self.workers.iter() {
            let Some(cause) = unconfirmed_cause(worker) else { continue };
            let over_at =
                self.runs_over_at(worker).unwrap_or_else(|| self.latest_inherited_leases_end(now));
            let left = over_at.since(now);
            let lasting = worker
                .tasks
                .iter()
                .filter(|it| it.is_long_running && it.start_state != StartState::Recording);
            found.extend(lasting.map(|it| UnconfirmedRun {
                task: it.task,
                run: it.run,
                worker: worker.id.clone(),
                cause,
                left,
            }));
        }
        let left = self.latest_inherited_leases_end(now).since(now);
        let lasting = self.orphans.iter().filter(|it| self.is_long_running(it.task));
        found.extend(lasting.map(|it| UnconfirmedRun {
            task: it.task,
            run: it.run,
            worker: it.worker.clone(),
            cause: UnconfirmedCause::NotListed,
            left,
        }));
        found
    }

    /// When all runs on a worker that is silent are over, if that is known.
    pub(super) fn runs_over_at(&self, worker: &Worker) -> Option<Instant> {
        let over_at = worker.leases_over_at().or_else(|| self.delayed_starts_over_at(worker));
        over_at.or_else(|| self.inherited_leases_end())
    }

    /// When all is over that orders for an earlier incarnation may bring about at a worker that has not
    /// answered since it started anew: they name times far ahead of its clock.
    fn delayed_starts_over_at(&self, worker: &Worker) -> Option<Instant> {
        let longest = self.settings.lease_max + self.settings.lease_max / 10;
        worker.restarted_at.map(|it| it + MAX_ORDER_DELAY + longest)
    }

    fn is_long_running(&self, task: TaskId) -> bool {
        let step =
            self.ledger.job(task.job).and_then(|it| it.spec.steps.get(usize::from(task.step)));
        step.is_some_and(|it| it.long_running)
    }
}

/// Why the fate of what runs on a worker is not known, if it is not.
fn unconfirmed_cause(worker: &Worker) -> Option<UnconfirmedCause> {
    match (worker.clock, worker.hold_failures > 0 || !worker.listed) {
        (None, _) => Some(UnconfirmedCause::NeverAnswered),
        (Some(_), true) => Some(UnconfirmedCause::Unresponsive),
        (Some(_), false) => None,
    }
}
