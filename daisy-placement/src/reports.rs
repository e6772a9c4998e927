//! Reports of workers: what runs, what ended, and the results of orders.

use std::time::Duration;

use daisy_model::{
    Exit, ExitReport, Incarnation, Instant, Order, OrderResult, RunningTask, SortedMap, TaskId,
    VmId, WorkerReport,
};

use crate::{
    holder::Holder,
    job::JobView,
    ledger_updates::is_start_of,
    reason::Reason,
    task::{LocalTask, Phase},
    worker::{Allocation, AllocationState, Class, Removal, WorkerKey},
};

/// If a task fails within this time after its start, its worker may be the cause.
const EARLY_FAILURE_LIMIT: Duration = Duration::from_secs(10);

impl Holder {
    /// Handles a worker's report.
    pub(crate) fn handle_report(&mut self, now: Instant, vm: VmId, report: &WorkerReport) {
        // The worker has seen a higher epoch, so there is a newer holder. Anything that this
        // holder ordered from now on could run a task a second time.
        if report.epoch > self.options.epoch {
            self.superseded = true;
            return;
        }
        if !report.accepted {
            self.handle_failed_call(now, vm, true);
            return;
        }
        let Some(key) = self.roster.try_key(vm) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let Some(outstanding) = worker.outstanding.take() else { return };
        if !worker.is_responsive {
            worker.notes.add(now, Reason::Answered { running: report.running.len() });
        }
        worker.has_answered = true;
        worker.is_responsive = true;
        worker.capacity = report.capacity;
        let previous = std::mem::take(&mut worker.allocations);
        worker.clear_allocated();
        let results = Results { orders: &outstanding.orders, results: &report.results };
        for running in &report.running {
            let old =
                previous.get(&running.task).filter(|it| it.incarnation == running.incarnation);
            self.record_running(now, key, running, old.copied());
        }
        for ended in &report.ended {
            let old = previous.get(&ended.task).filter(|it| it.incarnation == ended.incarnation);
            self.handle_exit_report(now, key, ended, old.map(|old| old.since));
        }
        self.resolve_unreported(now, key, &previous, &results);
        self.inherited_due = true;
        self.adjust_throttle(now, key, &report.usage);
        self.clear_suspect(now, key);
        self.start_awaiting(now, key);
        self.roster.reindex(key);
        self.roster.mark_for_call(key);
        self.placement_due = true;
    }

    fn record_running(
        &mut self,
        now: Instant,
        key: WorkerKey,
        it: &RunningTask,
        old: Option<Allocation>,
    ) {
        // Most of a report repeats the previous one. Checking the job of each task would take
        // most of a holder's processor time.
        if let Some(old) = old.filter(|old| old.confirmed && old.removal == Removal::NotPlanned) {
            if let Some(worker) = self.worker_mut(key) {
                worker.allocate(it.task, Allocation { size: it.size, share: it.share, ..old });
            }
            return;
        }
        let class = self.jobs.get(&it.task.job).map_or(Class::UNKNOWN, JobView::class);
        let Some(worker) = self.worker_mut(key) else { return };
        let RunningTask { task, incarnation, size, share } = *it;
        let removal = old.map_or(Removal::NotPlanned, |old| old.removal);
        let since = old.map_or(now, |old| old.since);
        let state = AllocationState::Running;
        let confirmed = false;
        worker.allocate(
            task,
            Allocation { incarnation, size, state, removal, share, since, class, confirmed },
        );
        if self.may_run_on(key, task, incarnation) {
            if let Some(local) = self.local_mut(task) {
                local.phase = Phase::Running { worker: key };
                local.incarnation = incarnation;
            }
            self.note_running(
                now,
                key,
                task,
                old.is_some_and(|old| old.state == AllocationState::Running),
            );
            self.record_placement(now, task);
            if self.is_unwanted(task) {
                self.stop(key, task);
            } else {
                self.mark_confirmed(key, task);
            }
        } else if self.local(task).is_some() || task.job < self.next_job {
            // The ledger does not show the task on this worker, because a start arrived late or a
            // record was lost. Of the two possible copies, the one in the ledger stays.
            self.stop(key, task);
        }
    }

    /// Marks a running task as confirmed if the ledger shows its placement.
    fn mark_confirmed(&mut self, key: WorkerKey, task: TaskId) {
        let is_recorded = self.local(task).is_some_and(LocalTask::is_placement_recorded);
        if let Some(allocation) = self.worker_mut(key).and_then(|it| it.allocations.get_mut(&task))
        {
            allocation.confirmed = is_recorded;
        }
    }

    fn note_running(&mut self, now: Instant, key: WorkerKey, task: TaskId, was_running: bool) {
        let Some(worker) = self.roster.get(key).filter(|_| !was_running) else { return };
        let vm = worker.label.clone();
        self.note(now, task, Reason::ReportedRunning { vm });
    }

    /// Whether a task may run on a worker in the incarnation that the worker reports.
    fn may_run_on(&self, key: WorkerKey, task: TaskId, incarnation: Incarnation) -> bool {
        let Some(local) = self.local(task) else { return false };
        match local.phase {
            Phase::Starting { worker } | Phase::Running { worker } => {
                worker == key && local.incarnation == incarnation
            }
            Phase::Inherited { .. } => !local.is_end_recorded(incarnation),
            _ => false,
        }
    }

    fn handle_exit_report(
        &mut self,
        now: Instant,
        key: WorkerKey,
        ended: &ExitReport,
        since: Option<Instant>,
    ) {
        let ExitReport { task, incarnation, exit } = *ended;
        let Some(local) = self.local(task) else {
            // A job below `next_job` that is not in `jobs` is over, and the ledger shows its end.
            if task.job < self.next_job {
                self.acknowledge(Some(key), task, incarnation);
            }
            return;
        };
        if local.is_end_recorded(incarnation) {
            self.acknowledge(Some(key), task, incarnation);
            return;
        }
        if self.may_run_on(key, task, incarnation)
            && let Some(local) = self.local_mut(task)
        {
            local.phase = Phase::Ended { worker: Some(key), exit, recorded_at: None };
            local.incarnation = incarnation;
            local.notes.add(now, Reason::Ended { exit });
            self.learn_from_exit(now, key, ended, since);
        }
        self.record_end(now, task);
    }

    /// Updates from an exit whether the worker is healthy and how long the job's tasks run.
    fn learn_from_exit(
        &mut self,
        now: Instant,
        key: WorkerKey,
        ended: &ExitReport,
        since: Option<Instant>,
    ) {
        let job = ended.task.job;
        let run = since.map(|since| now.since(since));
        match ended.exit {
            Exit::Done => {
                self.note_success(key, job);
                if let Some((view, run)) = self.jobs.get_mut(&job).zip(run) {
                    view.measured.add_run_time(run);
                }
            }
            Exit::Failed if run.is_none_or(|run| run < EARLY_FAILURE_LIMIT) => {
                self.note_failure(now, key, job)
            }
            _ => {}
        }
    }

    /// Handles the earlier allocations that the report does not show as running.
    fn resolve_unreported(
        &mut self,
        now: Instant,
        key: WorkerKey,
        previous: &SortedMap<TaskId, Allocation>,
        results: &Results<'_>,
    ) {
        for (task, allocation) in previous.iter() {
            let Some(worker) = self.worker_mut(key) else { return };
            if worker.allocations.contains_key(task) {
                continue;
            }
            match allocation.state {
                AllocationState::AwaitingEviction
                | AllocationState::Queued
                | AllocationState::AwaitingRecord => worker.allocate(*task, *allocation),
                AllocationState::Running => self.end_vanished(now, key, *task),
                AllocationState::Sent | AllocationState::Unconfirmed => {
                    self.resolve_start(now, key, *task, allocation, results)
                }
            }
        }
    }

    /// Handles a start that the report does not show as running, by the result that the worker
    /// reported for it.
    fn resolve_start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        allocation: &Allocation,
        results: &Results<'_>,
    ) {
        if !self.may_run_on(key, task, allocation.incarnation) {
            return;
        }
        if results.try_stop(task).is_some() {
            // The task was stopped before it ran; the worker does not start this incarnation any
            // more.
            self.requeue_or_cancel(now, task);
            return;
        }
        match (results.try_start(task), allocation.state) {
            (
                Some(result @ (OrderResult::NoCapacity | OrderResult::Failed)),
                AllocationState::Sent,
            ) => {
                self.note_rejected_start(now, key, task, result);
                self.undo_start(now, task);
            }
            (Some(result @ (OrderResult::NoCapacity | OrderResult::Failed)), _) => {
                self.note_rejected_start(now, key, task, result);
                // The call that got no answer may still arrive late, so the incarnation must be
                // stopped before the task may start elsewhere.
                if let Some(worker) = self.worker_mut(key) {
                    worker.allocate(task, *allocation);
                }
                self.stop(key, task);
            }
            (Some(_), _) => self.end_vanished(now, key, task),
            (None, _) => {
                if let Some(worker) = self.worker_mut(key) {
                    worker.allocate(task, *allocation);
                }
            }
        }
    }

    fn note_rejected_start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        result: OrderResult,
    ) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.label.clone()) else { return };
        self.note(now, task, Reason::StartRejected { vm, result });
        if result == OrderResult::Failed {
            self.note_failure(now, key, task.job);
        }
    }

    /// Ends a task with an unknown outcome: its worker neither runs it nor has an exit report of
    /// it.
    fn end_vanished(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(local) = self.local_mut(task) else { return };
        let is_present = matches!(local.phase,
            Phase::Starting { worker } | Phase::Running { worker } if worker == key);
        if is_present {
            local.phase = Phase::Ended { worker: None, exit: Exit::Unknown, recorded_at: None };
            local.notes.add(now, Reason::Ended { exit: Exit::Unknown });
            self.record_end(now, task);
        }
    }

    /// Undoes a start that certainly took no effect, so that its incarnation may be used again.
    pub(crate) fn undo_start(&mut self, now: Instant, task: TaskId) {
        self.reuse_incarnation(task);
        self.requeue_or_cancel(now, task);
    }

    /// Makes the incarnation of a start that was never sent or had no effect available again.
    pub(crate) fn reuse_incarnation(&mut self, task: TaskId) {
        if let Some(local) = self.local_mut(task) {
            // A placement record with this incarnation was appended, so it cannot be used again.
            let is_recorded =
                local.placement_recorded_at.is_some() || local.is_placement_recorded();
            if !is_recorded {
                local.incarnation = Incarnation(local.incarnation.0.saturating_sub(1));
            }
        }
    }

    /// Returns a task that did not start to the queue, or ends it if it is not wanted any more.
    pub(crate) fn requeue_or_cancel(&mut self, now: Instant, task: TaskId) {
        if self.is_unwanted(task) {
            self.end_unstarted(now, task);
        } else {
            self.enqueue(now, task);
        }
    }
}

/// The orders of a call with their results.
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

    fn try_find(&self, is_match: impl Fn(&Order) -> bool) -> Option<OrderResult> {
        let at = self.orders.iter().position(is_match)?;
        self.results.get(at).copied()
    }
}
