//! Runs for which the owner cannot tell whether they are still running.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    lost_runs::LossBound,
    open_starts::MAX_ORDER_DELAY,
    worker::{StartState, Worker},
};
use crate::{TaskId, WorkerId};

/// Why it is unknown whether a run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnconfirmedCause {
    /// Its worker has answered this owner before, but does not answer any more.
    Unresponsive,
    /// Its worker has never answered this owner; an earlier owner may have renewed its lease.
    NeverAnswered,
    /// The platform's list does not contain its worker, so that it cannot be called.
    NotListed,
}

impl UnconfirmedCause {
    /// Returns the cause as text for a log line.
    pub fn description(self) -> &'static str {
        match self {
            UnconfirmedCause::Unresponsive => {
                "its worker does not answer, and its lease may not have expired"
            }
            UnconfirmedCause::NeverAnswered => {
                "its worker has not answered this owner, and an earlier owner may have renewed its lease"
            }
            UnconfirmedCause::NotListed => {
                "the list does not contain its worker, and an earlier owner may have renewed its lease"
            }
        }
    }
}

/// A run that may be running or have ended, so that its task cannot be started elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the task's starts.
    pub run: u32,
    /// The worker that it may be on.
    pub worker: WorkerId,
    /// Why its outcome is unknown.
    pub cause: UnconfirmedCause,
    /// Time until the run can be treated as ended.
    pub time_left: Duration,
}

impl Owner {
    /// Returns the runs of long-running tasks whose outcome is unknown.
    pub fn unconfirmed_runs(&self, now: Instant) -> Vec<UnconfirmedRun> {
        let mut found = Vec::new();
        for (_, worker) in self.workers.iter() {
            let Some(cause) = unconfirmed_cause(worker) else { continue };
            let over_at = self
                .runs_over_at(worker)
                .unwrap_or_else(|| self.latest_inherited_leases_end(now, &worker.id));
            let long_running = worker
                .tasks
                .iter()
                .filter(|it| it.is_long_running && it.start_state != StartState::Recording);
            found.extend(long_running.map(|it| {
                UnconfirmedRun {
                    task: it.task,
                    run: it.run,
                    worker: worker.id.clone(),
                    cause,
                    time_left: self
                        .late_run_expected_until(now, worker.named_at, it.task, it.run)
                        .map_or(over_at, |it| it.max(over_at))
                        .since(now),
                }
            }));
        }
        let long_running = self.orphans.iter().filter(|it| self.is_long_running(it.task));
        found.extend(long_running.map(|it| {
            let over_at = self.latest_inherited_leases_end(now, &it.worker);
            UnconfirmedRun {
                task: it.task,
                run: it.run,
                worker: it.worker.clone(),
                cause: UnconfirmedCause::NotListed,
                time_left: self
                    .late_run_expected_until(now, it.named_at, it.task, it.run)
                    .map_or(over_at, |it| it.max(over_at))
                    .since(now),
            }
        }));
        found
    }

    /// Returns when all runs on an unreachable worker have ended, if that is known.
    pub(super) fn runs_over_at(&self, worker: &Worker) -> Option<Instant> {
        self.runs_over(worker).map(|(_, over_at)| over_at)
    }

    /// Returns what shows that all runs on an unreachable worker have ended, and when, if that is
    /// known.
    pub(super) fn runs_over(&self, worker: &Worker) -> Option<(LossBound, Instant)> {
        if let Some(over_at) = worker.leases_over_at() {
            return Some((worker.last_lease(), over_at));
        }
        if let Some(over_at) = self.delayed_starts_over_at(worker) {
            return Some((LossBound::LateOrders, over_at));
        }
        let longest = self.long_leases.is_inherited(&worker.id);
        let over_at = self.inherited_leases_end(&worker.id)?;
        Some((LossBound::PredecessorLease { longest }, over_at))
    }

    /// Returns when all runs have ended that orders for an earlier incarnation can start on a
    /// worker which has not answered since it restarted: these orders name times far ahead of its
    /// clock.
    fn delayed_starts_over_at(&self, worker: &Worker) -> Option<Instant> {
        worker.restarted_at.map(|it| it + MAX_ORDER_DELAY + self.max_granted_lease())
    }

    /// Returns how long the longest lease that a worker grants may last, however its clock drifts.
    pub(super) fn max_granted_lease(&self) -> Duration {
        self.settings.lease_max + self.settings.lease_max / 10
    }

    fn is_long_running(&self, task: TaskId) -> bool {
        let step =
            self.ledger.job(task.job).and_then(|it| it.spec.steps.get(usize::from(task.step)));
        step.is_some_and(|it| it.long_running)
    }
}

/// Returns why it is unknown what runs on a worker, if it is.
fn unconfirmed_cause(worker: &Worker) -> Option<UnconfirmedCause> {
    match (worker.clock, worker.is_unreachable()) {
        (None, _) => Some(UnconfirmedCause::NeverAnswered),
        (Some(_), true) => Some(UnconfirmedCause::Unresponsive),
        (Some(_), false) => None,
    }
}
