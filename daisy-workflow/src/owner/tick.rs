//! Processes the passing of time: timeouts, retries and periodic checks.

use std::time::Duration;

use daisy_model::Instant;

use super::{
    Orphan, Owner,
    message::StopCause,
    worker::{Assignment, StartState, StopState, Worker, WorkerKey},
};
use crate::TaskId;

/// How long a run that is able to work may show no progress before it is stopped.
///
/// The owner's view of a worker is up to 0.8 s old and short tasks come and go in between, so two
/// consecutive views must show the same progress.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_800);
/// A longer time between two ticks means that the process stood still: the answers that it handles next
/// are as old, and say nothing of the progress of runs meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// How long a worker is suspected after runs on it failed or made no progress.
const SUSPICION_DURATION: Duration = Duration::from_secs(4);
/// How long a suspected worker gets no tasks at all.
const SUSPICION_FULL_EXCLUSION: Duration = Duration::from_millis(1_500);
/// Maximum age of the platform's list for starting tasks by it. An owner whose calls to the
/// platform are not answered would otherwise start tasks on workers that announced long ago that
/// they drain; the platform allows starts until 2.5 s after that announcement. Reading the list,
/// recording and sending an order take about 0.4 s.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_900);
/// Runs are stopped on a draining worker unless they end at least this long before it exits.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

impl Owner {
    /// Processes everything that is due.
    pub(super) fn tick(&mut self, now: Instant) {
        self.forget_progress_after_stall(now);
        self.update_predecessors_ended(now);
        self.expire_open_starts(now);
        self.review_witnesses(now);
        self.renew_due(now);
        self.resend_starts(now);
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            self.give_up_unreachable(now, key);
            self.stop_without_progress(now, key);
            self.stop_on_draining(now, key);
            self.stop_on_evacuated(now, key);
        }
        self.give_up_orphans(now);
        self.send_stops(now);
        self.rebalance(now);
        self.defragment(now);
        self.remove_submissions(now);
        self.plan_due = true;
    }

    /// Gives up all runs on an unreachable worker once its last lease has expired for certain.
    fn give_up_unreachable(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        if worker.tasks.is_empty() || !worker.is_unreachable() {
            return;
        }
        if self.runs_over_at(worker).is_none_or(|it| now < it) {
            return;
        }
        let over: Vec<(TaskId, u32)> = worker
            .tasks
            .iter()
            .filter(|it| it.start_state != StartState::Recording)
            .filter(|it| {
                self.late_run_expected_until(now, worker.named_at, it.task, it.run).is_none()
            })
            .map(|it| (it.task, it.run))
            .collect();
        self.give_up_runs(now, key, "its worker is silent and its lease has run out", |it| {
            over.contains(&(it.task, it.run))
        });
    }

    /// Gives up the runs on a worker that cannot be running any more.
    pub(super) fn give_up_runs(
        &mut self,
        now: Instant,
        key: WorkerKey,
        cause: &'static str,
        is_over: impl Fn(&Assignment) -> bool,
    ) {
        let Some(worker) = self.workers.get(key) else { return };
        let lost: Vec<(TaskId, u32)> =
            worker.tasks.iter().filter(|it| is_over(it)).map(|it| (it.task, it.run)).collect();
        for (task, run) in lost {
            self.give_up_run(key, task, run, cause);
            self.note_displaced(now, task);
        }
    }

    fn give_up_orphans(&mut self, now: Instant) {
        if self.orphans.is_empty() {
            return;
        }
        let (waiting, over): (Vec<Orphan>, Vec<Orphan>) =
            std::mem::take(&mut self.orphans).into_iter().partition(|it| {
                self.inherited_leases_end(&it.worker).is_none_or(|over_at| now < over_at)
                    || self.late_run_expected_until(now, it.named_at, it.task, it.run).is_some()
            });
        self.orphans = waiting;
        for it in over {
            self.remove_copy(it.task, it.run, "");
            self.note_displaced(now, it.task);
        }
    }

    /// Counts the time without progress of all runs anew if the process stood still.
    fn forget_progress_after_stall(&mut self, now: Instant) {
        let gap = now.since(std::mem::replace(&mut self.ticked_at, now));
        if gap > MAX_TICK_GAP {
            let runs = self.workers.iter_mut().flat_map(|(_, it)| &mut it.tasks);
            runs.for_each(|it| it.progressed_at = now);
        }
    }

    /// Stops runs that make no progress, so that they are started elsewhere.
    fn stop_without_progress(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.renewal_failures > 0 || !worker.fenced {
            // The progress of the runs is not visible.
            worker.tasks.iter_mut().for_each(|it| it.progressed_at = now);
            return;
        }
        // Best-effort tasks make no progress where other tasks leave them no processor time.
        let busy = worker.free().cpu_milli < worker.capacity.cpu_milli / 8;
        let mut found = false;
        for it in &mut worker.tasks {
            let starved = it.best_effort_cpu > 0 && (busy || it.pace.is_none_or(|it| it < 50));
            if starved {
                it.progressed_at = now;
            }
            let is_serving = it.target_ms > 0 && it.percent >= 100;
            let is_stalled = now.since(it.progressed_at) > NO_PROGRESS_TIMEOUT;
            let is_running = matches!(it.start_state, StartState::Confirmed(_))
                && it.stop_state == StopState::NotRequested;
            if is_running && is_stalled && !is_serving && it.percent < 100 {
                it.request_stop(now, StopCause::NoProgress);
                found = true;
            }
        }
        if found {
            self.suspect(now, key, "a run on it makes no progress");
        }
    }

    /// Marks a worker as suspected, so that it gets fewer tasks for a while.
    pub(super) fn suspect(&mut self, now: Instant, key: WorkerKey, cause: &'static str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let known = worker.suspected_until > now;
        worker.suspected_until = now + SUSPICION_DURATION;
        if !known {
            self.note_worker(key, "shunned", cause);
        }
    }

    /// Stops runs on a draining worker that would not end before it exits, and those that it may
    /// start late, so that their tasks start elsewhere.
    fn stop_on_draining(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(leaves_at) = worker.leaves_at else { return };
        for it in &mut worker.tasks {
            let must_stop = match it.start_state {
                StartState::Confirmed(_) => {
                    !ends_before(now, leaves_at, it.percent, now.since(it.began_at))
                }
                StartState::Unanswered(_) => true,
                StartState::Recording | StartState::InFlight | StartState::Inherited => false,
            };
            if must_stop && it.stop_state == StopState::NotRequested {
                it.request_stop(now, StopCause::Draining);
            }
        }
    }

    /// Whether a worker accepts new tasks now.
    pub(super) fn is_usable(&self, now: Instant, worker: &Worker) -> bool {
        worker.suspected_until <= now && self.is_available(now, worker)
    }

    /// Whether a worker accepts new long-running tasks. A suspected worker accepts them sooner than
    /// other tasks: the failed task may have been at fault, and a task that fits nowhere else loses
    /// nothing.
    pub(super) fn accepts_long_running(&self, now: Instant, worker: &Worker) -> bool {
        worker.suspected_until + SUSPICION_FULL_EXCLUSION <= now + SUSPICION_DURATION
            && self.is_available(now, worker)
    }

    fn is_available(&self, now: Instant, worker: &Worker) -> bool {
        now.since(self.list_read_at) < MAX_LIST_AGE
            && worker.listed
            && worker.ready
            && worker.is_described()
            && worker.fenced
            && worker.renewal_failures == 0
            && worker.clock.is_some()
            && worker.excluded_until <= now
            && self.evacuations.allows_placement(now, &worker.data_centre)
    }
}

/// Whether a run that completed `percent` of its work in `age` ends well before `leaves_at`.
fn ends_before(now: Instant, leaves_at: Instant, percent: u8, age: Duration) -> bool {
    let left = leaves_at.since(now).saturating_sub(DRAIN_MARGIN);
    match percent {
        // Too early to estimate, or a long-running task.
        0 | 100.. => false,
        percent => age * u32::from(100 - percent) / u32::from(percent) < left,
    }
}
