//! Placement: which worker a checked-out task starts on.

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

/// A share that is not limited, in thousandths.
pub(crate) const FULL_SHARE: u32 = 1000;

/// How long work waits for a worker where it disturbs nobody much.
const MAX_INTERFERENCE_WAIT: Duration = Duration::from_secs(30);

/// Between two looks at work that was put off.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A place in line: urgent work first, then the older job.
pub(crate) type QueueEntry = (Reverse<Priority>, JobId);

impl Holder {
    /// Starts what waits, as far as there is room.
    pub(crate) fn place(&mut self, now: Instant) {
        if !std::mem::take(&mut self.placement_due) {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        for (_, id) in &queue {
            self.place_job(now, *id);
        }
        // Tasks that came back in line meanwhile have put their jobs in a new one.
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
            match self.choose(now, task) {
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

    /// The next task of a job that may start now.
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

    /// The best of a few workers with room.
    fn choose(&mut self, now: Instant, task: TaskId) -> Option<WorkerKey> {
        let size = self.start_size(task)?;
        let mut found = Vec::new();
        self.roster.find(size, self.options.limits.candidates, &mut found);
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

    /// Whether a task that may be delayed should leave its place to quieter work for now.
    ///
    /// On a full cluster room comes free one worker at a time, and there is nothing to
    /// choose but who takes it: noisy work would gather wherever it happens to come free.
    fn should_defer(&self, now: Instant, task: TaskId, key: WorkerKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(worker) = self.roster.get(key) else { return false };
        let Some(local) = job.tasks.get(task.index as usize) else { return false };
        let Phase::Waiting { since } = local.phase else { return false };
        let may_wait =
            job.spec.tolerance.delay && !job.is_service() && now < since + MAX_INTERFERENCE_WAIT;
        may_wait && self.exceeds_interference_budget(job, worker)
    }

    /// Looks at a job again after a moment, not at each report that brings a little room.
    fn defer(&mut self, now: Instant, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.next_attempt_at = now + RECHECK_INTERVAL;
        }
    }

    /// What a task is started with: as checked out, or more if more was seen in use.
    pub(crate) fn start_size(&self, task: TaskId) -> Option<Resources> {
        let job = self.jobs.get(&task.job)?;
        let declared = job.tasks.get(task.index as usize)?.ledger.size;
        Some(job.measured.corrected_size(declared, self.roster.largest_capacity()))
    }

    /// Takes room on a worker and orders the start, or waits with it for room or record.
    ///
    /// See `must_record_first` for what has to be recorded before the order.
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

    /// Orders a start that the ledger has just shown, or records it again.
    pub(crate) fn start_recorded(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let resend_after = self.options.limits.resend_after;
        let Some(local) = self.local(task) else { return };
        let is_lost = local.placed_at.is_some_and(|at| now >= at + resend_after);
        let incarnation = local.incarnation;
        let checkpoint = local.ledger.checkpoint;
        let shown = (local.ledger.incarnation, local.ledger.vm);
        let Some(worker) = self.roster.get_mut(key) else { return };
        let vm = worker.id;
        let Some(allocation) = worker.allocations.get_mut(&task) else { return };
        if allocation.state != AllocationState::AwaitingRecord {
            return;
        }
        if shown != (incarnation, Some(vm)) {
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
            local.placed_at = Some(now);
        }
        self.outbox.placed.push(Placement { task, incarnation, vm });
    }

    pub(crate) fn is_unsent(&self, key: WorkerKey, task: TaskId) -> bool {
        let allocation = self.roster.get(key).and_then(|worker| worker.allocations.get(&task));
        allocation.is_some_and(|allocation| allocation.state.is_unsent())
    }

    /// Says why the first task in line found no room, with the nearest miss.
    ///
    /// The search looks at every worker, so it is made at most once a second for a job.
    fn note_no_capacity(&mut self, now: Instant, task: TaskId) {
        const MIN_INTERVAL_MS: u128 = 1_000;
        self.last_no_capacity_at = Some(now);
        let Some(size) = self.start_size(task) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_recent = job.wait_reason.as_ref().is_some_and(|wait| {
            let is_room = matches!(wait.reason, Reason::NotRunning(WaitReason::NoCapacity { .. }));
            is_room && now.since(wait.at).as_millis() < MIN_INTERVAL_MS
        });
        if is_recent {
            return;
        }
        let wait = WaitReason::NoCapacity { size, shortfall: self.smallest_shortfall(size) };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.set_wait_reason(now, wait);
        }
    }

    /// The open worker that lacks the least for `size`.
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

    /// The worker that would lack the least for `size` if it were empty.
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

/// What `room` lacks for `size`.
fn missing_resources(size: Resources, room: Resources) -> Resources {
    Resources {
        cpu_milli: size.cpu_milli.saturating_sub(room.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(room.memory_mib),
        accelerators: size.accelerators.saturating_sub(room.accelerators),
    }
}

/// A shortage in thousandths of what a worker holds, its parts summed.
fn relative_size(missing: Resources, whole: Resources) -> u64 {
    let part = |missing: u32, whole: u32| u64::from(missing) * 1000 / u64::from(whole.max(1));
    part(missing.cpu_milli, whole.cpu_milli)
        + part(missing.memory_mib, whole.memory_mib)
        + part(missing.accelerators, whole.accelerators)
}

/// Whether a start has to be in the ledger before it is ordered.
///
/// Restartable work starts at once and is recorded afterwards. Work that must not run again
/// when its fate is unknown is recorded first: else a new holder could not tell a task that
/// never started from one that ran on a VM which is gone. So is any incarnation but the one
/// after the last ended: a new holder takes that one for started, and would give the
/// number of a later one out a second time.
fn must_record_first(local: &LocalTask, is_restartable: bool) -> bool {
    !is_restartable || local.next_incarnation() != local.ledger.next_incarnation()
}
