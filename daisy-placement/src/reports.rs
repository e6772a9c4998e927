//! Answers of workers: what runs, what ended, what came of orders.

use std::time::Duration;

use daisy_model::{
    Ended, Exit, Incarnation, Instant, Order, OrderResult, Running, SortedMap, TaskId, VmId,
    WorkerReport,
};

use crate::{
    holder::Holder,
    intake::is_start_of,
    job::JobView,
    reason::Reason,
    task::{Local, Phase},
    worker::{Class, Ending, Held, Hold, WorkerKey},
};

/// A task that ends with an error within this time may have failed for its worker's sake.
const SOON: Duration = Duration::from_secs(10);

impl Holder {
    /// Takes a worker's answer in.
    pub(crate) fn take_report(&mut self, now: Instant, vm: VmId, report: &WorkerReport) {
        // A higher epoch was shown to the worker: there is a newer holder, and whatever we
        // went on to order elsewhere could run a task a second time.
        if report.epoch > self.options.epoch {
            self.superseded = true;
            return;
        }
        if !report.accepted {
            self.take_silence(now, vm, true);
            return;
        }
        let Some(key) = self.roster.try_key(vm) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let Some(outstanding) = worker.outstanding.take() else { return };
        if !worker.answers {
            worker.notes.add(now, Reason::Answered { running: report.running.len() });
        }
        worker.heard = true;
        worker.answers = true;
        worker.capacity = report.capacity;
        let before = std::mem::take(&mut worker.held);
        worker.clear_taken();
        let results = Results { orders: &outstanding.orders, results: &report.results };
        for running in &report.running {
            let old = before.get(&running.task).filter(|it| it.incarnation == running.incarnation);
            self.hold_running(now, key, running, old.copied());
        }
        for ended in &report.ended {
            let old = before.get(&ended.task).filter(|it| it.incarnation == ended.incarnation);
            self.take_end(now, key, ended, old.map(|old| old.since));
        }
        self.settle_rest(now, key, &before, &results);
        self.inherit_due = true;
        self.control(now, key, &report.usage);
        self.clear_suspect(now, key);
        self.promote(now, key);
        self.roster.reindex(key);
        self.roster.touch(key);
        self.place_due = true;
    }

    fn hold_running(&mut self, now: Instant, key: WorkerKey, it: &Running, old: Option<Held>) {
        // Most of a report is what the last one said; a look at each task's job would be
        // the largest part of a holder's processor time.
        if let Some(old) = old.filter(|old| old.settled && old.ending == Ending::No) {
            if let Some(worker) = self.worker_mut(key) {
                worker.hold(it.task, Held { size: it.size, share: it.share, ..old });
            }
            return;
        }
        let class = self.jobs.get(&it.task.job).map_or(Class::UNKNOWN, JobView::class);
        let Some(worker) = self.worker_mut(key) else { return };
        let Running { task, incarnation, size, share } = *it;
        let ending = old.map_or(Ending::No, |old| old.ending);
        let since = old.map_or(now, |old| old.since);
        let hold = Hold::Running;
        let settled = false;
        worker.hold(task, Held { incarnation, size, hold, ending, share, since, class, settled });
        if self.is_known_there(key, task, incarnation) {
            if let Some(local) = self.local_mut(task) {
                local.phase = Phase::Running { worker: key };
                local.incarnation = incarnation;
            }
            self.note_running(now, key, task, old.is_some_and(|old| old.hold == Hold::Running));
            self.record_place(now, task);
            if self.is_unwanted(task) {
                self.stop(key, task);
            } else {
                self.settle_held(key, task);
            }
        } else if self.local(task).is_some() || task.job < self.next_job {
            // It runs where the ledger does not have it: a start that came late, or a record
            // that was lost. One of two copies has to go, and the recorded one stays.
            self.stop(key, task);
        }
    }

    /// Marks a task as in the ledger where it is.
    fn settle_held(&mut self, key: WorkerKey, task: TaskId) {
        let is_recorded = self.local(task).is_some_and(Local::is_place_recorded);
        if let Some(held) = self.worker_mut(key).and_then(|it| it.held.get_mut(&task)) {
            held.settled = is_recorded;
        }
    }

    fn note_running(&mut self, now: Instant, key: WorkerKey, task: TaskId, was_running: bool) {
        let Some(worker) = self.roster.get(key).filter(|_| !was_running) else { return };
        let vm = worker.label.clone();
        self.note(now, task, Reason::Runs { vm });
    }

    /// Whether a worker is where a task may be, in the incarnation that it reports.
    fn is_known_there(&self, key: WorkerKey, task: TaskId, incarnation: Incarnation) -> bool {
        let Some(local) = self.local(task) else { return false };
        match local.phase {
            Phase::Starting { worker } | Phase::Running { worker } => {
                worker == key && local.incarnation == incarnation
            }
            Phase::Inherited { .. } => !local.is_end_recorded(incarnation),
            _ => false,
        }
    }

    fn take_end(&mut self, now: Instant, key: WorkerKey, ended: &Ended, since: Option<Instant>) {
        let Ended { task, incarnation, exit } = *ended;
        let Some(local) = self.local(task) else {
            // The job is over and its end recorded, or we would have it.
            if task.job < self.next_job {
                self.acknowledge(Some(key), task, incarnation);
            }
            return;
        };
        if local.is_end_recorded(incarnation) {
            self.acknowledge(Some(key), task, incarnation);
            return;
        }
        if self.is_known_there(key, task, incarnation)
            && let Some(local) = self.local_mut(task)
        {
            local.phase = Phase::Ended { worker: Some(key), exit, asked: None };
            local.incarnation = incarnation;
            local.notes.add(now, Reason::Ended { exit });
            self.judge_end(now, key, ended, since);
        }
        self.record_end(now, task);
    }

    /// Learns from an end: a worker that works or fails, a run time.
    fn judge_end(&mut self, now: Instant, key: WorkerKey, ended: &Ended, since: Option<Instant>) {
        let job = ended.task.job;
        let run = since.map(|since| now.since(since));
        match ended.exit {
            Exit::Done => {
                self.note_success(key, job);
                if let Some((view, run)) = self.jobs.get_mut(&job).zip(run) {
                    view.seen.add_run(run);
                }
            }
            Exit::Failed if run.is_none_or(|run| run < SOON) => self.note_failure(now, key, job),
            _ => {}
        }
    }

    /// Decides on what was held there and is not reported to run.
    fn settle_rest(
        &mut self,
        now: Instant,
        key: WorkerKey,
        before: &SortedMap<TaskId, Held>,
        results: &Results<'_>,
    ) {
        for (task, held) in before.iter() {
            let Some(worker) = self.worker_mut(key) else { return };
            if worker.held.contains_key(task) {
                continue;
            }
            match held.hold {
                Hold::Awaiting | Hold::Queued | Hold::Reserved => worker.hold(*task, *held),
                Hold::Running => self.vanish(now, key, *task),
                Hold::Sent | Hold::Maybe => self.settle_start(now, key, *task, held, results),
            }
        }
    }

    /// Decides on a start by the answer to it.
    fn settle_start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        held: &Held,
        results: &Results<'_>,
    ) {
        if !self.is_known_there(key, task, held.incarnation) {
            return;
        }
        if results.try_stop(task).is_some() {
            // Stopped before it ran; the worker does not start the incarnation any more.
            self.wait_again(now, task);
            return;
        }
        match (results.try_start(task), held.hold) {
            (Some(result @ (OrderResult::NoRoom | OrderResult::Failed)), Hold::Sent) => {
                self.note_refused(now, key, task, result);
                self.take_back(now, task);
            }
            (Some(result @ (OrderResult::NoRoom | OrderResult::Failed)), _) => {
                self.note_refused(now, key, task, result);
                // A copy of the lost call may still arrive: the incarnation is stopped for
                // good before the task may start elsewhere.
                if let Some(worker) = self.worker_mut(key) {
                    worker.hold(task, *held);
                }
                self.stop(key, task);
            }
            (Some(_), _) => self.vanish(now, key, task),
            (None, _) => {
                if let Some(worker) = self.worker_mut(key) {
                    worker.hold(task, *held);
                }
            }
        }
    }

    fn note_refused(&mut self, now: Instant, key: WorkerKey, task: TaskId, result: OrderResult) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.label.clone()) else { return };
        self.note(now, task, Reason::StartRefused { vm, result });
        if result == OrderResult::Failed {
            self.note_failure(now, key, task.job);
        }
    }

    /// The worker neither runs the task nor has an exit report: its fate is unknown.
    fn vanish(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        let is_there = matches!(local.phase,
            Phase::Starting { worker } | Phase::Running { worker } if worker == key);
        if is_there {
            local.phase = Phase::Ended { worker: None, exit: Exit::Unknown, asked: None };
            local.notes.add(now, Reason::Ended { exit: Exit::Unknown });
            self.record_end(now, task);
        }
    }

    /// A start that took no effect for certain: the incarnation may be used again.
    pub(crate) fn take_back(&mut self, now: Instant, task: TaskId) {
        self.take_back_number(task);
        self.wait_again(now, task);
    }

    /// Gives the number of an incarnation back that was never sent, or had no effect.
    pub(crate) fn take_back_number(&mut self, task: TaskId) {
        if let Some(local) = self.local_mut(task) {
            // The ledger was told where the incarnation would run: it is spent.
            let is_recorded = local.placed_at.is_some() || local.is_place_recorded();
            if !is_recorded {
                local.incarnation = Incarnation(local.incarnation.0.saturating_sub(1));
            }
        }
    }

    /// Puts a task that did not start back in line, or ends it if it was cancelled.
    pub(crate) fn wait_again(&mut self, now: Instant, task: TaskId) {
        if self.is_unwanted(task) {
            self.end_unstarted(now, task);
        } else {
            self.wait(now, task);
        }
    }
}

/// The orders of a call with what came of them.
struct Results<'a> {
    orders: &'a [Order],
    results: &'a [OrderResult],
}

impl Results<'_> {
    fn try_start(&self, task: TaskId) -> Option<OrderResult> {
        self.try_find(|order| is_start_of(order, task))
    }

    fn try_stop(&self, task: TaskId) -> Option<OrderResult> {
        self.try_find(|order| matches!(order, Order::Stop { task: it, .. } if *it == task))
    }

    fn try_find(&self, is_it: impl Fn(&Order) -> bool) -> Option<OrderResult> {
        let at = self.orders.iter().position(is_it)?;
        self.results.get(at).copied()
    }
}
