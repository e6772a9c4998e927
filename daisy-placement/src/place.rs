//! Placement: the choice of the worker on which a checked-out task starts.

use std::{cmp::Reverse, time::Duration};

use daisy_ledger::Placement;
use daisy_model::{
    Incarnation, Instant, JobId, JobKind, Order, Priority, Resources, TaskId, VmId, WorkClass,
};

use crate::{
    holder::Holder,
    job::JobView,
    reason::{Reason, Shortfall, WaitReason},
    task::{LocalTask, Phase},
    worker::{Allocation, AllocationState, Removal, WorkerKey},
};

/// The share of a task that is not throttled, in thousandths.
pub(crate) const FULL_SHARE: u32 = 1000;

/// The maximum time that a task waits for a worker on which it slows services less.
const MAX_INTERFERENCE_WAIT: Duration = Duration::from_secs(30);

/// The interval between two attempts to place deferred work.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An entry of the queue: jobs of higher priority first, then older jobs.
pub(crate) type QueueEntry = (Reverse<Priority>, JobId);

impl Holder {
    /// Starts waiting tasks as long as there is capacity for them.
    pub(crate) fn place(&mut self, now: Instant) {
        if !std::mem::take(&mut self.placement_due) {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        for (_, id) in &queue {
            self.place_job(now, *id);
        }
        // Jobs whose tasks returned to the queue meanwhile are in the new `self.queue`.
        let added = std::mem::replace(&mut self.queue, queue);
        for queue_entry in added {
            if let Err(at) = self.queue.binary_search(&queue_entry) {
                self.queue.insert(at, queue_entry);
            }
        }
        let jobs = &self.jobs;
        self.queue.retain(|(_, id)| jobs.get(id).is_some_and(|job| !job.waiting.is_empty()));
    }

    fn place_job(&mut self, now: Instant, id: JobId) {
        while let Some(index) = self.try_next_task(now, id) {
            let task = TaskId { job: id, index };
            match self.choose_worker(now, task) {
                Some(key) => {
                    self.dequeue_front(id);
                    self.start(now, key, task, AllocationState::Queued);
                }
                None if self.try_evict(now, id, index).is_some() => {}
                None if self.jobs.get(&id).is_some_and(|job| now < job.next_attempt_at) => return,
                None => return self.note_no_capacity(now, task),
            }
        }
    }

    /// Returns the next task of a job that may start now.
    fn try_next_task(&mut self, now: Instant, id: JobId) -> Option<u32> {
        let is_paused = self.jobs.get(&id).is_some_and(|job| self.is_paused(job));
        let log_reachable = self.log_reachable;
        let job = self.jobs.get_mut(&id)?;
        let index = job.waiting.front().copied()?;
        let local = job.tasks.get(index as usize)?;
        if is_paused {
            job.set_wait_reason(now, WaitReason::Paused);
            return None;
        }
        if must_record_first(local, job.spec.restartable) && !log_reachable {
            job.set_wait_reason(now, WaitReason::LogUnavailable);
            return None;
        }
        if job.faults.retry_at.is_some_and(|at| now < at) || now < job.next_attempt_at {
            return None;
        }
        Some(index)
    }

    fn dequeue_front(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiting.pop_front();
            job.wait_reason = None;
        }
    }

    /// Chooses the best of a few workers with free capacity.
    fn choose_worker(&mut self, now: Instant, task: TaskId) -> Option<WorkerKey> {
        let size = self.start_size(task)?;
        let mut found = Vec::new();
        self.roster.find_candidates(size, self.options.limits.candidates, &mut found);
        let considered = found.len();
        let racks = self.replicas_per_rack(task.job);
        let job = self.jobs.get(&task.job)?;
        let best = found.into_iter().min_by_key(|key| self.cost(job, size, &racks, *key))?;
        if self.should_defer(now, task, best) {
            self.defer(now, task.job);
            return None;
        }
        let vm = self.roster.get(best)?.label.clone();
        self.note(now, task, Reason::Placed { vm, considered });
        Some(best)
    }

    /// Whether a task that may be delayed should leave the free capacity to less noisy work for
    /// now.
    ///
    /// On a full cluster capacity becomes free on one worker at a time, so the only choice is which
    /// task takes it. Without deferring, noisy work would gather wherever capacity happens to
    /// become free.
    fn should_defer(&self, now: Instant, task: TaskId, key: WorkerKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(worker) = self.roster.get(key) else { return false };
        let Some(local) = job.tasks.get(task.index as usize) else { return false };
        let Phase::Waiting { since } = local.phase else { return false };
        let may_wait =
            job.spec.tolerance.delay && !job.is_service() && now < since + MAX_INTERFERENCE_WAIT;
        may_wait && self.exceeds_interference_budget(job, worker)
    }

    /// Defers a job for a moment, so that it is not tried at each report that frees a little
    /// capacity.
    fn defer(&mut self, now: Instant, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.next_attempt_at = now + RECHECK_INTERVAL;
        }
    }

    /// Returns the size to start a task with: the checked-out size, or more if more use was
    /// measured.
    pub(crate) fn start_size(&self, task: TaskId) -> Option<Resources> {
        let job = self.jobs.get(&task.job)?;
        let declared = job.tasks.get(task.index as usize)?.ledger.size;
        Some(job.measured.corrected_size(declared, self.roster.largest_capacity()))
    }

    /// Allocates capacity on a worker for a task and orders the start, unless the start first
    /// has to await an eviction or the record of the placement.
    ///
    /// See `must_record_first` for the starts that are recorded first.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskId,
        state: AllocationState,
    ) {
        let Some(size) = self.start_size(task) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.up_to_date = false;
        let (is_restartable, class) = (job.spec.restartable, job.class());
        let Some(local) = job.tasks.get_mut(task.index as usize) else { return };
        let must_record_first = must_record_first(local, is_restartable);
        local.incarnation = local.next_incarnation();
        local.phase = Phase::Starting { worker: key };
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let state = if must_record_first && state == AllocationState::Queued {
            AllocationState::AwaitingRecord
        } else {
            state
        };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let removal = Removal::NotPlanned;
        let share = FULL_SHARE;
        let confirmed = false;
        worker.allocate(
            task,
            Allocation { incarnation, size, state, removal, share, since: now, class, confirmed },
        );
        worker.faults.note_start();
        let vm = worker.id;
        if state == AllocationState::Queued {
            worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
            self.roster.mark_for_call(key);
        } else if state == AllocationState::AwaitingRecord {
            self.record_start(now, task, incarnation, vm);
        }
        self.roster.reindex(key);
    }

    /// Orders a start once the ledger shows its placement, or appends the record again if it was
    /// lost.
    pub(crate) fn start_recorded(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let resend_after = self.options.limits.resend_after;
        let Some(local) = self.local(task) else { return };
        let is_lost = local.placement_recorded_at.is_some_and(|at| now >= at + resend_after);
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let recorded = (local.ledger.incarnation, local.ledger.vm);
        let Some(worker) = self.roster.get_mut(key) else { return };
        let vm = worker.id;
        let Some(allocation) = worker.allocations.get_mut(&task) else { return };
        if allocation.state != AllocationState::AwaitingRecord {
            return;
        }
        if recorded != (incarnation, Some(vm)) {
            if is_lost {
                self.record_start(now, task, incarnation, vm);
            }
            return;
        }
        allocation.state = AllocationState::Queued;
        let size = allocation.size;
        worker.orders.push(Order::Start { task, incarnation, size, checkpoint });
        self.roster.mark_for_call(key);
    }

    fn record_start(&mut self, now: Instant, task: TaskId, incarnation: Incarnation, vm: VmId) {
        if let Some(local) = self.local_mut(task) {
            local.placement_recorded_at = Some(now);
        }
        self.outbox.placed.push(Placement { task, incarnation, vm });
    }

    pub(crate) fn is_unsent(&self, key: WorkerKey, task: TaskId) -> bool {
        let allocation = self.roster.get(key).and_then(|worker| worker.allocations.get(&task));
        allocation.is_some_and(|allocation| allocation.state.is_unsent())
    }

    /// Records why the first task in the queue found no capacity, with the smallest shortfall.
    ///
    /// The search visits every worker, so it is made at most once a second per job.
    fn note_no_capacity(&mut self, now: Instant, task: TaskId) {
        const MIN_INTERVAL_MS: u128 = 1_000;
        self.last_no_capacity_at = Some(now);
        let Some(size) = self.start_size(task) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_recent = job.wait_reason.as_ref().is_some_and(|wait| {
            let is_no_capacity =
                matches!(wait.reason, Reason::NotRunning(WaitReason::NoCapacity { .. }));
            is_no_capacity && now.since(wait.at).as_millis() < MIN_INTERVAL_MS
        });
        if is_recent {
            return;
        }
        let wait = WaitReason::NoCapacity { size, shortfall: self.smallest_shortfall(size) };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_wait_reason(now, wait);
        }
    }

    /// Returns the worker open for new work that is missing the least for `size`.
    pub(crate) fn smallest_shortfall(&self, size: Resources) -> Option<Shortfall> {
        let open = self.roster.iter().filter(|(_, worker)| worker.is_open());
        let shortfalls = open.map(|(_, worker)| {
            let missing = missing_resources(size, worker.free());
            (relative_size(missing, worker.capacity), &worker.label, missing)
        });
        let (_, vm, missing) =
            shortfalls.min_by_key(|(relative_shortfall, ..)| *relative_shortfall)?;
        Some(Shortfall { vm: vm.clone(), missing })
    }

    /// Returns the worker that would be missing the least for `size` if it were empty.
    pub(crate) fn smallest_shortfall_when_empty(&self, size: Resources) -> Option<Shortfall> {
        let shortfalls = self.roster.iter().map(|(_, worker)| {
            let missing = missing_resources(size, worker.capacity);
            (relative_size(missing, worker.capacity), &worker.label, missing)
        });
        let (_, vm, missing) =
            shortfalls.min_by_key(|(relative_shortfall, ..)| *relative_shortfall)?;
        Some(Shortfall { vm: vm.clone(), missing })
    }

    /// Whether an operator has paused the class of a job.
    pub(crate) fn is_paused(&self, job: &JobView) -> bool {
        self.paused.iter().any(|class| match class {
            WorkClass::Batch => job.spec.kind == JobKind::Batch,
            WorkClass::Priority(priority) => job.spec.priority == *priority,
        })
    }
}

/// Returns the resources that `available` lacks for `size`.
fn missing_resources(size: Resources, available: Resources) -> Resources {
    Resources {
        cpu_milli: size.cpu_milli.saturating_sub(available.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(available.memory_mib),
        accelerators: size.accelerators.saturating_sub(available.accelerators),
    }
}

/// Returns missing resources in thousandths of a worker's capacity, summed over the resources.
fn relative_size(missing: Resources, whole: Resources) -> u64 {
    let part = |missing: u32, whole: u32| u64::from(missing) * 1000 / u64::from(whole.max(1));
    part(missing.cpu_milli, whole.cpu_milli)
        + part(missing.memory_mib, whole.memory_mib)
        + part(missing.accelerators, whole.accelerators)
}

/// Whether a start has to be in the ledger before it is ordered.
///
/// Restartable work starts at once and is recorded afterwards. Work that must not run again when
/// its outcome is unknown is recorded first: otherwise a new holder could not distinguish a task
/// that never started from one that ran on a lost VM. An incarnation other than the one after the
/// last ended incarnation is recorded first as well: a new holder assumes that only the incarnation
/// after the last ended one was started, and would use a later number a second time.
fn must_record_first(local: &LocalTask, is_restartable: bool) -> bool {
    !is_restartable || local.next_incarnation() != local.ledger.next_incarnation()
}
