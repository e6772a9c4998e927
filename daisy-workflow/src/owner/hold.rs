//! Renewals: what a worker's lists say, and which workers there are.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};

use super::{
    Owner, Settings,
    message::{Action, ActiveRun, HoldAnswer, Note, StopCause, WorkerListing},
    worker::{LateOrder, Sent, Stop, Worker, WorkerKey},
};
use crate::{TaskId, WorkerId};

impl Owner {
    /// Takes the platform's list in.
    pub(super) fn listed(&mut self, now: Instant, listed: &[WorkerListing]) {
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
                Some(key) => self.relisted(now, key, it),
                None => self.newly_listed(now, it),
            }
        }
        self.plan_due = true;
        self.renew_due(now);
    }

    fn newly_listed(&mut self, now: Instant, listed: &WorkerListing) {
        let mut worker = Worker::new(now, listed);
        if self.succession.names_earlier(&worker) {
            worker.reborn_at = Some(now);
        }
        let key = self.workers.alloc(worker);
        self.by_id.insert(listed.id.clone(), key);
        let (here, elsewhere) =
            std::mem::take(&mut self.orphans).into_iter().partition(|it| it.worker == listed.id);
        self.orphans = elsewhere;
        let here: Vec<super::Orphan> = here;
        for orphan in here {
            self.adopt(now, key, orphan.task, orphan.run, Sent::Inherited);
        }
    }

    /// Counts a run that is, or may be, on a worker though this owner did not start it.
    pub(super) fn adopt(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        sent: Sent,
    ) {
        let Some(job) = self.ledger.job(task.job) else { return };
        let ended = job.cancelled || job.state() != crate::JobState::Running;
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        let mut it = super::assignment(now, &mut self.interference, task, run, step);
        it.sent = sent;
        it.pace = None;
        if ended {
            it.stop_at(now, StopCause::JobOver);
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.add(it);
        }
    }

    fn relisted(&mut self, now: Instant, key: WorkerKey, listed: &WorkerListing) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        // The list lags: an incarnation that began before the one that answered is history.
        if listed.started_at_ms < worker.started_at_ms {
            return;
        }
        let reborn = listed.started_at_ms > worker.started_at_ms;
        let was_listed = std::mem::replace(&mut worker.listed, true);
        worker.address = listed.address;
        worker.service = listed.service.clone();
        worker.capacity = listed.capacity;
        if worker.labels != listed.labels {
            worker.labels = listed.labels.clone();
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
            worker.hold_failures = 0;
            self.note_worker(key, "listed", "the platform's list names it again");
        }
        if reborn {
            self.reborn(now, key, listed.started_at_ms, "the list names a later start");
        }
        if was_ready && !listed.ready {
            self.note_worker(key, "draining", "its entry says so");
        }
    }

    /// Another incarnation answers under the same id: nothing of before runs there.
    fn reborn(&mut self, now: Instant, key: WorkerKey, started_at_ms: u64, cause: &'static str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.started_at_ms = started_at_ms;
        worker.clock = None;
        worker.deadline_ms = 0;
        worker.fenced = false;
        worker.reborn_at = Some(now);
        worker.cursor_seen = 0;
        worker.cursor_durable = 0;
        worker.failures = 0;
        worker.hold_failures = 0;
        let mut lost = Vec::new();
        for it in &mut worker.tasks {
            match it.sent {
                Sent::Recording => {}
                // An order that is still under way, also one of an earlier owner, may reach the new
                // incarnation, which knows no epoch and no run: only a stop that it has answered
                // shuts the run out.
                Sent::InFlight | Sent::Unanswered(_) | Sent::Inherited => {
                    it.stop_at(now, StopCause::MaybeLate);
                }
                Sent::There(_) if it.maybe_late => it.stop_at(now, StopCause::MaybeLate),
                // An answer to an order does not tell which incarnation gave it. Taken for one that
                // ended with the old one, the run would go on here while it is started elsewhere;
                // the next lists tell whether it is there.
                Sent::There(_) if !it.listed => {}
                Sent::There(_) => lost.push((it.task, it.run)),
            }
            it.listed = false;
        }
        self.shut_out_late(now, key);
        for (task, run) in lost {
            self.lose(key, task, run, "its worker started anew");
        }
        self.note_worker(key, "reborn", cause);
        self.send_stops(now);
    }

    /// Orders that once went unanswered and have ended since may yet reach a new incarnation as
    /// well: each is shut out there by a stop, and takes room until a list shows it to be gone.
    fn shut_out_late(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        for LateOrder { task, run, until, .. } in std::mem::take(&mut worker.late_orders) {
            if until < now || worker.find(task, run).is_some() {
                continue;
            }
            let Some(job) = self.ledger.job(task.job) else { continue };
            let Some(step) = job.spec.steps.get(usize::from(task.step)) else { continue };
            let mut it = super::assignment(now, &mut self.interference, task, run, step);
            it.sent = Sent::Unanswered(now);
            it.maybe_late = true;
            it.stop_at(now, StopCause::MaybeLate);
            worker.add(it);
        }
    }

    /// Gives a run up that is surely not running any more.
    pub(super) fn lose(&mut self, key: WorkerKey, task: TaskId, run: u32, cause: &'static str) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let id = worker.id.clone();
        let Some(it) = worker.remove(task, run) else { return };
        self.drop_copy(task, run, &it.checkpoint);
        self.actions.push(Action::Note(Note::RunLost { task, run, worker: id, cause }));
    }

    /// Takes a copy out of a task's record.
    pub(super) fn drop_copy(&mut self, task: TaskId, run: u32, checkpoint: &str) {
        self.plan_due = true;
        if let Some(state) = self.task_mut(task) {
            state.copies.retain(|it| it.run != run);
            if !checkpoint.is_empty() {
                checkpoint.clone_into(&mut state.checkpoint);
            }
        }
        self.close_if_over(task.job);
    }

    /// Takes the answer to a renewal in.
    pub(super) fn held(&mut self, now: Instant, key: WorkerKey, answer: Option<HoldAnswer>) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.holding = false;
        let Some(answer) = answer else {
            worker.hold_failures += 1;
            if worker.hold_failures == 1 {
                self.note_worker(key, "silent", "a renewal got no answer");
            }
            return;
        };
        if answer.started_at_ms < worker.started_at_ms {
            return;
        }
        if answer.started_at_ms > worker.started_at_ms {
            self.reborn(now, key, answer.started_at_ms, "its answer names a later start");
        }
        self.greeted(now, key, &answer);
        let seen = self.workers.get(key).map_or(0, |it| it.cursor_seen);
        for it in answer.ended.into_iter().filter(|it| it.number > seen) {
            self.ended(now, key, it);
        }
        self.running(now, key, &answer.running);
        self.pace(now, key);
        self.send_stops(now);
        self.renew(now, key);
    }

    fn greeted(&mut self, now: Instant, key: WorkerKey, answer: &HoldAnswer) {
        let Settings { lease, lease_max, .. } = self.settings;
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.hold_failures > 0 {
            worker.hold_failures = 0;
            self.plan_due = true;
            self.actions.push(Action::Note(Note::Worker {
                worker: worker.id.clone(),
                state: "reached",
                cause: "a renewal was answered again",
            }));
        }
        worker.clock = Some((answer.clock_ms, now));
        worker.held_at = now;
        worker.answered_since = worker.hold_sent_at;
        if !worker.fenced {
            worker.fenced = true;
            self.plan_due = true;
            // An earlier owner may have granted a whole lease just before. An order meant for an
            // earlier incarnation names a time far ahead of this one's clock: the worker then
            // grants as long a lease as it ever does.
            let granted = if worker.reborn_at.is_some() { lease_max } else { lease };
            let inherited = answer.clock_ms + granted.as_millis() as u64;
            worker.deadline_ms = worker.deadline_ms.max(inherited);
        }
    }

    /// Compares what runs on a worker with what should.
    fn running(&mut self, now: Instant, key: WorkerKey, running: &[ActiveRun]) {
        let mut unknown = Vec::new();
        let Some(worker) = self.workers.get_mut(key) else { return };
        for it in running {
            match worker.find(it.task, it.run) {
                Some(known) => {
                    if it.percent > known.percent {
                        known.moved_at = now;
                    }
                    known.percent = it.percent;
                    known.load = it.load;
                    known.absent = 0;
                    known.listed = true;
                    if !it.checkpoint.is_empty() && known.checkpoint != it.checkpoint {
                        known.checkpoint = it.checkpoint.clone();
                    }
                    if !matches!(known.sent, Sent::There(_)) {
                        known.sent = Sent::There(now);
                    }
                }
                None => unknown.push((it.task, it.run)),
            }
        }
        let gone = absent(worker, running);
        for (task, run) in unknown {
            // Such a run was given up, or its job is over. It takes room until it has ended.
            self.adopt(now, key, task, run, Sent::There(now));
            if let Some(it) = self.workers.get_mut(key).and_then(|it| it.find(task, run)) {
                it.stop_at(now, StopCause::Unknown);
            }
        }
        for (task, run) in gone {
            self.lose(key, task, run, "its worker does not list it");
        }
    }

    /// Renews a worker's lease if that is due.
    pub(super) fn renew(&mut self, now: Instant, key: WorkerKey) {
        let lease = self.settings.lease;
        let may_renew = self.may_renew(now);
        let log_late = self.succession.is_log_late(now);
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.holding || !hold_due(now, worker) {
            return;
        }
        // While a worker is silent, nothing is granted: else its leases would never run out.
        let grant = worker.fenced && worker.hold_failures == 0 && may_renew;
        let deadline_ms = if grant { worker.lease_end(now, lease) } else { None };
        worker.holding = true;
        worker.hold_sent_at = now;
        let cursor = worker.cursor_durable;
        let wait = hold_wait(worker, log_late);
        self.actions.push(Action::Hold { worker: key, deadline_ms, cursor, wait });
    }

    pub(super) fn renew_due(&mut self, now: Instant) {
        for at in 0..self.workers.len() {
            self.renew(now, WorkerKey(at as u32));
        }
    }
}

/// Runs that should be on a worker and that its lists show to be gone.
fn absent(worker: &mut Worker, running: &[ActiveRun]) -> Vec<(TaskId, u32)> {
    /// Renewals in a row after which a run that was there counts as gone.
    const ABSENT_MAX: u8 = 2;
    let sent_at = worker.hold_sent_at;
    let mut gone = Vec::new();
    for it in &mut worker.tasks {
        if running.iter().any(|r| r.task == it.task && r.run == it.run) {
            continue;
        }
        match (it.stop, it.sent) {
            (Stop::Done(at), _) if at <= sent_at => gone.push((it.task, it.run)),
            // Its starter's orders are refused from now on, so it cannot come later.
            (_, Sent::Inherited) => gone.push((it.task, it.run)),
            (Stop::No, Sent::There(at)) if at <= sent_at => {
                it.absent += 1;
                if it.absent >= ABSENT_MAX {
                    it.stop_at(sent_at, StopCause::Absent);
                }
            }
            _ => {}
        }
    }
    gone
}

fn hold_due(now: Instant, worker: &Worker) -> bool {
    /// Ends whose records the log has not taken yet would be listed again at once.
    const UNRECORDED_PAUSE: Duration = Duration::from_millis(300);
    /// Between calls to a worker that does not answer; doubled from here up to the longest.
    const SILENT_PAUSE: Duration = Duration::from_millis(100);
    const SILENT_PAUSE_MAX: Duration = Duration::from_millis(800);
    if !worker.listed && worker.tasks.is_empty() {
        return false;
    }
    let since = now.since(worker.hold_sent_at);
    if worker.hold_failures > 0 {
        let pause = SILENT_PAUSE * 2u32.pow(worker.hold_failures.min(4));
        return since >= pause.min(SILENT_PAUSE_MAX);
    }
    worker.cursor_seen == worker.cursor_durable || since >= UNRECORDED_PAUSE
}

/// How long a worker may wait for an end before it answers: it bounds how old the picture of the
/// worker gets, and how late its silence shows. Each renewal is paid for.
fn hold_wait(worker: &Worker, log_late: bool) -> Duration {
    const IDLE: Duration = Duration::from_millis(1_500);
    const AT_WORK: Duration = Duration::from_millis(800);
    const SERVING: Duration = Duration::from_millis(500);
    /// Often enough that each worker's answer counts until the next.
    const LOG_LATE: Duration = Duration::from_millis(300);
    if !worker.fenced || worker.hold_failures > 0 || worker.cursor_seen > worker.cursor_durable {
        return Duration::ZERO;
    }
    if log_late {
        return LOG_LATE;
    }
    let beside = worker.serving() > 0 && worker.best_effort_cpu() > 0;
    match (worker.tasks.is_empty(), beside) {
        (true, _) => IDLE,
        (false, true) => SERVING,
        (false, false) => AT_WORK,
    }
}
