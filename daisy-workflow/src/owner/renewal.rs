//! Processes the platform's list of workers and the answers to lease renewals.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};

use super::{
    Owner, Settings,
    message::{Action, ActiveRun, Note, RenewalAnswer, StopCause, WorkerListing},
    worker::{DelayedStart, StartState, StopState, Worker, WorkerKey},
};
use crate::{StepSpec, TaskId, WorkerId};

impl Owner {
    /// Processes the platform's list of workers.
    pub(super) fn workers_listed(&mut self, now: Instant, listed: &[WorkerListing]) {
        let named: SortedMap<WorkerId, ()> = listed.iter().map(|it| (it.id.clone(), ())).collect();
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let Some(worker) = self.workers.get_mut(key) else { continue };
            if worker.listed && !named.contains_key(&worker.id) {
                worker.listed = false;
                self.note_worker(key, "unlisted", "the platform's list no longer names it");
            }
        }
        for it in listed {
            match self.by_id.get(&it.id).copied() {
                Some(key) => self.update_listed(now, key, it),
                None => self.add_worker(now, Worker::new(now, it)),
            }
        }
        self.add_unlisted_witnesses(now);
        self.plan_due = true;
        self.renew_due(now);
    }

    /// Adds the awaited witnesses that the list does not name, so that they are called: the answers
    /// show which of them have ended.
    fn add_unlisted_witnesses(&mut self, now: Instant) {
        let awaited = self.succession.awaited_witnesses().iter();
        let unknown: Vec<Worker> = awaited
            .filter(|it| self.by_id.get(&it.worker).is_none())
            .filter_map(|it| Some(Worker::from_witness(now, it, it.address?)))
            .collect();
        unknown.into_iter().for_each(|it| self.add_worker(now, it));
    }

    fn add_worker(&mut self, now: Instant, mut worker: Worker) {
        worker.token = self.succession.epoch();
        if self.succession.names_earlier_incarnation(&worker) {
            worker.restarted_at = Some(now);
        }
        let id = worker.id.clone();
        let key = self.workers.alloc(worker);
        let (here, elsewhere) =
            std::mem::take(&mut self.orphans).into_iter().partition(|it| it.worker == id);
        self.by_id.insert(id, key);
        self.orphans = elsewhere;
        let here: Vec<super::Orphan> = here;
        for orphan in here {
            self.adopt_run(now, key, orphan.task, orphan.run, StartState::Inherited);
        }
    }

    /// Adds a run that is, or may be, on a worker, though this owner did not start it.
    pub(super) fn adopt_run(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        start_state: StartState,
    ) {
        let job = self.ledger.job(task.job);
        let ended = job.is_none_or(|it| it.cancelled || it.state().is_ended());
        let size_unknown;
        let step = match job.map(|it| it.spec.steps.get(usize::from(task.step))) {
            Some(None) => return,
            Some(Some(it)) => it,
            // The job has ended and its steps are not kept. The run may be of any size, so the worker
            // gets no other task until it is stopped.
            None => {
                let free = self.workers.get(key).map(Worker::free).unwrap_or_default();
                size_unknown = StepSpec { need: free, ..StepSpec::default() };
                &size_unknown
            }
        };
        let mut it = super::new_assignment(now, &mut self.interference, task, run, step);
        it.start_state = start_state;
        it.pace = None;
        if ended {
            it.request_stop(now, StopCause::JobOver);
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.add(it);
            self.open_starts.assign(key, task, run);
        }
    }

    fn update_listed(&mut self, now: Instant, key: WorkerKey, listed: &WorkerListing) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let restarted = listed.started_at_ms > worker.started_at_ms;
        // The list is delayed: it may still name an incarnation older than the one that has
        // answered, or one that has ended.
        if listed.started_at_ms < worker.started_at_ms || worker.replaced && !restarted {
            return;
        }
        let was_listed = std::mem::replace(&mut worker.listed, true);
        worker.address = listed.address;
        worker.described_start_ms = listed.started_at_ms;
        worker.service = listed.service.clone();
        worker.data_centre = listed.data_centre.clone();
        worker.capacity = listed.capacity;
        if worker.labels != listed.labels {
            worker.labels = listed.labels.clone();
        }
        // Workers of an evacuated data centre become cold without a restart. Each list repeats what
        // the worker wrote last, so only a change counts from now.
        if std::mem::replace(&mut worker.listed_cold_ms, listed.cold_ms) != listed.cold_ms {
            worker.slow_start_until = now + Duration::from_millis(listed.cold_ms);
        }
        let was_ready = std::mem::replace(&mut worker.ready, listed.ready);
        worker.leaves_at = match listed.ready {
            true => None,
            false => {
                let left = Duration::from_millis(listed.min_remaining_ms.unwrap_or_default());
                Some(now + left)
            }
        };
        if !was_listed {
            worker.renewal_failures = 0;
            self.note_worker(key, "listed", "the platform's list names it again");
        }
        if restarted {
            self.restarted(now, key, listed.started_at_ms, "the list shows a later start time");
        }
        if was_ready && !listed.ready {
            self.note_worker(key, "draining", "its list entry says that it drains");
        }
    }

    /// Processes a restart of a worker under the same id: no earlier run exists any more.
    fn restarted(&mut self, now: Instant, key: WorkerKey, started_at_ms: u64, cause: &'static str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.started_at_ms = started_at_ms;
        worker.replaced = false;
        worker.clock = None;
        worker.max_lease_end_ms = 0;
        worker.needs_token = true;
        worker.fenced = false;
        worker.restarted_at = Some(now);
        worker.cursor_seen = 0;
        worker.cursor_durable = 0;
        worker.cursor_sent = 0;
        worker.cursor_taken = 0;
        worker.held_ends.clear();
        worker.failures = 0;
        worker.renewal_failures = 0;
        let mut lost = Vec::new();
        for it in &mut worker.tasks {
            match it.start_state {
                StartState::Recording => {}
                // An order that is still under way, of this owner or an earlier one, may reach the
                // new incarnation, which knows no epoch and no run. Only a stop that this
                // incarnation has answered rules that out.
                StartState::InFlight | StartState::Unanswered(_) | StartState::Inherited => {
                    it.request_stop(now, StopCause::PossiblyDelayed);
                }
                StartState::Confirmed(_)
                    if it.may_be_delayed
                        || self.open_starts.may_be_carried_out(now, it.task, it.run) =>
                {
                    it.request_stop(now, StopCause::PossiblyDelayed)
                }
                // An answer to an order does not say which incarnation gave it. If the run were
                // treated as ended with the old incarnation, it could continue here while it is
                // started elsewhere; the next lists show whether it is there.
                StartState::Confirmed(_) if !it.listed => {}
                StartState::Confirmed(_) => lost.push((it.task, it.run)),
            }
            it.listed = false;
        }
        self.long_leases.request_token();
        self.stop_delayed_starts(now, key);
        for (task, run) in lost {
            self.give_up_run(key, task, run, "its worker restarted");
        }
        self.note_worker(key, "reborn", cause);
        self.send_stops(now);
    }

    /// Requests stops of runs that have ended but whose unanswered start orders may still reach the
    /// new incarnation. Each run takes capacity until a list of the worker shows that it does not
    /// run.
    fn stop_delayed_starts(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        for DelayedStart { task, run, until, .. } in std::mem::take(&mut worker.delayed_starts) {
            if until < now || worker.find(task, run).is_some() {
                continue;
            }
            let Some(job) = self.ledger.job(task.job) else { continue };
            let Some(step) = job.spec.steps.get(usize::from(task.step)) else { continue };
            let mut it = super::new_assignment(now, &mut self.interference, task, run, step);
            it.start_state = StartState::Unanswered(now);
            it.may_be_delayed = true;
            it.request_stop(now, StopCause::PossiblyDelayed);
            worker.add(it);
        }
    }

    /// Gives up a run that cannot be running any more.
    pub(super) fn give_up_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        cause: &'static str,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let id = worker.id.clone();
        let Some(it) = worker.remove(task, run) else { return };
        self.remove_copy(task, run, &it.checkpoint);
        self.actions.push(Action::Note(Note::RunLost { task, run, worker: id, cause }));
    }

    /// Removes a run from a task's record.
    pub(super) fn remove_copy(&mut self, task: TaskId, run: u32, checkpoint: &str) {
        self.plan_due = true;
        if let Some(state) = self.task_mut(task) {
            state.copies.retain(|it| it.run != run);
            if !checkpoint.is_empty() {
                checkpoint.clone_into(&mut state.checkpoint);
            }
        }
        self.remove_if_ended(task.job);
    }

    /// Processes the answer to a renewal.
    pub(super) fn renewal_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        answer: Option<RenewalAnswer>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.renewal_in_flight = false;
        let Some(answer) = answer else {
            worker.renewal_failures += 1;
            if worker.renewal_failures == 1 {
                self.note_worker(key, "silent", "a renewal was not answered");
            }
            return;
        };
        if answer.started_at_ms < worker.started_at_ms {
            return;
        }
        if answer.started_at_ms > worker.started_at_ms {
            self.restarted(now, key, answer.started_at_ms, "its answer shows a later start time");
        }
        self.mark_reachable(now, key, &answer);
        let seen = self.workers.get(key).map_or(0, |it| it.cursor_seen);
        for it in answer.ended.into_iter().filter(|it| it.number > seen) {
            self.run_ended(now, key, it);
        }
        self.compare_running(now, key, &answer.running);
        self.pace(now, key);
        self.send_stops(now);
        self.renew(now, key);
    }

    /// Processes the rejection of a renewal that carried `token`.
    pub(super) fn renewal_fenced(&mut self, now: Instant, key: WorkerKey, token: u64) {
        if self.workers.get(key).is_none_or(|it| token >= it.token) {
            return self.actions.push(Action::StepDown);
        }
        // The token was raised while the renewal was under way.
        if let Some(worker) = self.workers.get_mut(key) {
            worker.renewal_in_flight = false;
        }
        self.renew(now, key);
    }

    /// Processes the answer of another incarnation to a renewal for the one that started at
    /// `started_at_ms`.
    pub(super) fn worker_replaced(&mut self, now: Instant, key: WorkerKey, started_at_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.renewal_in_flight = false;
        worker.renewal_failures += 1;
        if worker.replaced || worker.started_at_ms != started_at_ms {
            return;
        }
        worker.replaced = true;
        worker.listed = false;
        self.note_worker(key, "replaced", "another incarnation answers at its address");
        // Only a list tells which incarnation a run is on: the id may be used again elsewhere, and
        // an order that is still under way may reach a later incarnation under the same id.
        let cause = "another incarnation answers at its worker's address";
        self.give_up_runs(now, key, cause, |it| it.listed);
    }

    fn mark_reachable(&mut self, now: Instant, key: WorkerKey, answer: &RenewalAnswer) {
        let Settings { lease, lease_max, .. } = self.settings;
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.renewal_failures > 0 {
            worker.renewal_failures = 0;
            self.plan_due = true;
            self.actions.push(Action::Note(Note::WorkerChanged {
                worker: worker.id.clone(),
                state: "reached",
                cause: "a renewal was answered again",
            }));
        }
        worker.answered_renewal_sent_at = worker.renewal_sent_at;
        // Until it has seen the present token, the worker may carry out calls for an earlier
        // incarnation, and gets no lease.
        if worker.needs_token || worker.renewal_token < worker.token {
            return;
        }
        worker.clock = Some((answer.clock_ms, now));
        worker.cursor_taken = worker.cursor_taken.max(worker.cursor_sent);
        let is_first_answer = !std::mem::replace(&mut worker.fenced, true);
        if is_first_answer {
            // An earlier owner may have granted a whole lease just before, and a call for an earlier
            // incarnation the longest one.
            let is_long =
                worker.restarted_at.is_some() || self.long_leases.is_inherited(&worker.id);
            let granted = if is_long { lease_max } else { lease };
            let inherited = answer.clock_ms + granted.as_millis() as u64;
            worker.max_lease_end_ms = worker.max_lease_end_ms.max(inherited);
        }
        self.plan_due |= is_first_answer;
    }

    /// Compares the runs that a worker lists with the expected ones.
    fn compare_running(&mut self, now: Instant, key: WorkerKey, running: &[ActiveRun]) {
        let mut unknown = Vec::new();
        let mut begun = Vec::new();
        let Some(worker) = self.workers.get_mut(key) else { return };
        for it in running {
            match worker.find(it.task, it.run) {
                Some(known) => {
                    if it.percent > known.percent {
                        known.progressed_at = now;
                    }
                    known.percent = it.percent;
                    known.load = it.load;
                    known.missed_lists = 0;
                    known.listed = true;
                    self.open_starts.listed(it.task, it.run);
                    if !it.checkpoint.is_empty() && known.checkpoint != it.checkpoint {
                        known.checkpoint = it.checkpoint.clone();
                    }
                    if !matches!(known.start_state, StartState::Confirmed(_)) {
                        known.start_state = StartState::Confirmed(now);
                        begun.push(it.task.job);
                    }
                }
                None => unknown.push((it.task, it.run)),
            }
        }
        let missing = missing_runs(worker, running);
        begun.into_iter().for_each(|it| self.mark_begun(it));
        for (task, run) in unknown {
            // This owner gave the run up, or its job has ended. It takes capacity until it is
            // stopped.
            self.adopt_run(now, key, task, run, StartState::Confirmed(now));
            if let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) {
                it.request_stop(now, StopCause::Unknown);
            }
        }
        for (task, run) in missing {
            self.give_up_run(key, task, run, "its worker does not list it");
        }
    }

    /// Renews a worker's lease if a renewal is due.
    pub(super) fn renew(&mut self, now: Instant, key: WorkerKey) {
        let lease = self.settings.lease;
        let may_renew = self.may_renew(now);
        let is_log_slow = self.succession.is_log_slow(now);
        let cursor = self.acknowledged_ends(now, key);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let is_awaited = self.succession.awaits(&worker.id);
        if worker.renewal_in_flight || !is_renewal_due(now, worker, cursor, is_awaited) {
            return;
        }
        // No lease is granted while a worker does not answer: otherwise its leases would never
        // expire.
        let grant = worker.fenced && worker.renewal_failures == 0 && may_renew;
        let deadline_ms = if grant { worker.lease_end(now, lease) } else { None };
        worker.renewal_in_flight = true;
        worker.renewal_sent_at = now;
        worker.renewal_token = worker.token;
        let wait = renewal_wait(worker, cursor, is_log_slow);
        let cursor = worker.cursor_to_send(cursor);
        worker.cursor_sent = cursor;
        self.actions.push(Action::Renew { worker: key, deadline_ms, cursor, wait });
    }

    pub(super) fn renew_due(&mut self, now: Instant) {
        for at in 0..self.workers.len() {
            self.renew(now, WorkerKey(at as u32));
        }
    }
}

/// Returns the expected runs that are certainly not on the worker, as its list does not contain
/// them.
fn missing_runs(worker: &mut Worker, running: &[ActiveRun]) -> Vec<(TaskId, u32)> {
    /// Number of consecutive lists that lack a confirmed run after which the run is stopped.
    const MAX_MISSED_LISTS: u8 = 2;
    let sent_at = worker.renewal_sent_at;
    let mut missing = Vec::new();
    for it in &mut worker.tasks {
        if running.iter().any(|r| r.task == it.task && r.run == it.run) {
            continue;
        }
        match (it.stop_state, it.start_state) {
            (StopState::Done(at), _) if at <= sent_at => missing.push((it.task, it.run)),
            // The worker rejects the orders of the owner that started the run from now on, so the
            // run cannot appear later.
            (_, StartState::Inherited) => missing.push((it.task, it.run)),
            (StopState::NotRequested, StartState::Confirmed(at)) if at <= sent_at => {
                it.missed_lists += 1;
                if it.missed_lists >= MAX_MISSED_LISTS {
                    it.request_stop(sent_at, StopCause::Absent);
                }
            }
            _ => {}
        }
    }
    missing
}

fn is_renewal_due(now: Instant, worker: &Worker, cursor: u64, is_awaited: bool) -> bool {
    /// Minimum interval between renewals while processed ends are not acknowledged yet, for which
    /// the worker would answer at once and list them again, or while it gets no lease.
    const READ_AGAIN_INTERVAL: Duration = Duration::from_millis(300);
    /// Retry interval for a worker that does not answer; doubled with each failure up to the
    /// maximum.
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);
    const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);
    let is_needed = worker.listed || is_awaited || !worker.tasks.is_empty();
    if !is_needed || worker.replaced {
        return false;
    }
    let since = now.since(worker.renewal_sent_at);
    if worker.renewal_failures > 0 {
        let pause = RETRY_INTERVAL * 2u32.pow(worker.renewal_failures.min(4));
        return since >= pause.min(MAX_RETRY_INTERVAL);
    }
    let is_answered_at_once = worker.cursor_seen > cursor || worker.needs_token;
    !is_answered_at_once || since >= READ_AGAIN_INTERVAL
}

/// Returns how long a worker may wait for a run to end before it answers. This bounds the age of
/// the owner's view of the worker, and the time to notice that it is unreachable; each renewal has
/// a cost.
fn renewal_wait(worker: &Worker, cursor: u64, is_log_slow: bool) -> Duration {
    const IDLE_WAIT: Duration = Duration::from_millis(1_500);
    const RUNNING_WAIT: Duration = Duration::from_millis(800);
    const SERVING_WAIT: Duration = Duration::from_millis(500);
    /// Short enough that each answer of a witness is still valid when the next one arrives.
    const LOG_SLOW_WAIT: Duration = Duration::from_millis(300);
    if !worker.fenced || worker.renewal_failures > 0 || worker.cursor_seen > cursor {
        return Duration::ZERO;
    }
    if is_log_slow {
        return LOG_SLOW_WAIT;
    }
    let beside = worker.serving_tasks() > 0 && worker.best_effort_cpu() > 0;
    match (worker.tasks.is_empty(), beside) {
        (true, _) => IDLE_WAIT,
        (false, true) => SERVING_WAIT,
        (false, false) => RUNNING_WAIT,
    }
}
