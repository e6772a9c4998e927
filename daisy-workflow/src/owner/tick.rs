//! What time alone brings about.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Owner,
    message::StopCause,
    worker::{StartState, StopState, Worker, WorkerKey},
};
use crate::TaskId;

/// A run whose share of work done has not risen for this long, all of which it could have worked,
/// stands still.
///
/// The picture of a worker is up to 0.8 s old and short tasks come and go in between, so two
/// pictures in a row must show the same.
const STUCK_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long a worker is suspected on which runs failed or stood still.
const SUSPICION_DURATION: Duration = Duration::from_secs(4);
/// How long a suspected worker gets no task at all.
const SUSPICION_FULL_EXCLUSION: Duration = Duration::from_millis(1_500);
/// Age of the platform's list from which on it says too little of who drains: an owner whose calls
/// to the platform hang would start tasks on workers that have long said that they leave, and the
/// contract allows 2.5 s from their saying so. A read, a record and an order take some 0.4 s.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_900);
/// A worker that drains is left by tasks that would not end this long before it goes.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

impl Owner {
    /// Looks after all that is due.
    pub(super) fn tick(&mut self, now: Instant) {
        self.update_predecessors_ended(now);
        self.review_witnesses(now);
        self.renew_due(now);
        self.resend_starts(now);
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            self.give_up_unreachable(now, key);
            self.stop_stuck(now, key);
            self.stop_on_draining(now, key);
        }
        self.give_up_orphans(now);
        self.send_stops(now);
        self.rebalance(now);
        self.defragment(now);
        self.plan_due = true;
    }

    /// All runs on a worker are over once its last lease has surely run out.
    fn give_up_unreachable(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        if worker.tasks.is_empty() || (worker.hold_failures == 0 && worker.listed) {
            return;
        }
        if self.runs_over_at(worker).is_none_or(|it| now < it) {
            return;
        }
        let lost: Vec<(TaskId, u32)> = worker
            .tasks
            .iter()
            .filter(|it| it.start_state != StartState::Recording)
            .map(|it| (it.task, it.run))
            .collect();
        for (task, run) in lost {
            self.lose(key, task, run, "its worker is silent and its lease has run out");
            self.note_displaced(now, task);
        }
    }

    fn give_up_orphans(&mut self, now: Instant) {
        if self.orphans.is_empty() || self.inherited_leases_end().is_none_or(|it| now < it) {
            return;
        }
        for it in std::mem::take(&mut self.orphans) {
            self.drop_copy(it.task, it.run, "");
            self.note_displaced(now, it.task);
        }
    }

    /// Stops runs that make no progress, so that they start elsewhere.
    fn stop_stuck(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.hold_failures > 0 || !worker.fenced {
            // Nothing is seen of what they do.
            worker.tasks.iter_mut().for_each(|it| it.progressed_at = now);
            return;
        }
        // Best-effort tasks stand still where the others leave them nothing.
        let busy = worker.free().cpu_milli < worker.capacity.cpu_milli / 8;
        let mut found = false;
        for it in &mut worker.tasks {
            let starved = it.best_effort_cpu > 0 && (busy || it.pace.is_none_or(|it| it < 50));
            if starved {
                it.progressed_at = now;
            }
            let at_work = it.target_ms > 0 && it.percent >= 100;
            let still = now.since(it.progressed_at) > STUCK_TIMEOUT;
            let there = matches!(it.start_state, StartState::Confirmed(_))
                && it.stop_state == StopState::NotRequested;
            if there && still && !at_work && it.percent < 100 {
                it.request_stop(now, StopCause::Stuck);
                found = true;
            }
        }
        if found {
            self.suspect(now, key, "a run on it stands still");
        }
    }

    /// Leaves a worker alone for a while.
    pub(super) fn suspect(&mut self, now: Instant, key: WorkerKey, cause: &'static str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let known = worker.suspected_until > now;
        worker.suspected_until = now + SUSPICION_DURATION;
        if !known {
            self.note_worker(key, "shunned", cause);
        }
    }

    /// Moves tasks off a worker that will leave before they end.
    fn stop_on_draining(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(leaves_at) = worker.leaves_at else { return };
        for it in &mut worker.tasks {
            let there = matches!(it.start_state, StartState::Confirmed(_))
                && it.stop_state == StopState::NotRequested;
            if there && !ends_before(now, leaves_at, it.percent, now.since(it.began_at)) {
                it.request_stop(now, StopCause::Draining);
            }
        }
    }

    /// Whether a worker takes new tasks now.
    pub(super) fn is_usable(&self, now: Instant, worker: &Worker) -> bool {
        worker.suspected_until <= now && self.is_available(now, worker)
    }

    /// Whether a worker takes new tasks that last. It takes them sooner after a suspicion than others:
    /// what failed may have been at fault, and a task that has no other place loses nothing.
    pub(super) fn accepts_long_running(&self, now: Instant, worker: &Worker) -> bool {
        worker.suspected_until + SUSPICION_FULL_EXCLUSION <= now + SUSPICION_DURATION
            && self.is_available(now, worker)
    }

    fn is_available(&self, now: Instant, worker: &Worker) -> bool {
        now.since(self.list_read_at) < MAX_LIST_AGE
            && worker.listed
            && worker.ready
            && worker.fenced
            && worker.hold_failures == 0
            && worker.clock.is_some()
            && worker.excluded_until <= now
    }
}

/// Whether a run that did `percent` of its work in `age` ends well before `leaves_at`.
fn ends_before(now: Instant, leaves_at: Instant, percent: u8, age: Duration) -> bool {
    let left = leaves_at.since(now).saturating_sub(DRAIN_MARGIN);
    match percent {
        // Too early to tell, or a task that lasts.
        0 | 100.. => false,
        percent => age * u32::from(100 - percent) / u32::from(percent) < left,
    }
}
