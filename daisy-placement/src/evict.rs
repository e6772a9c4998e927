//! Eviction: urgent work takes capacity from tasks that may be evicted.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{Instant, JobId, Priority, Resources, TaskId};

use crate::{
    holder::Holder,
    reason::Reason,
    worker::{AllocationState, Availability, Removal, Worker, WorkerKey},
};

/// The interval between two searches for victims; each search visits every task of the data
/// centre.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// How long capacity is awaited before the task returns to the queue.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(10);
/// The most tasks evicted for one start.
const MAX_VICTIMS: usize = 8;

/// A worker and the tasks to evict there so that a task fits.
#[derive(Debug)]
struct EvictionPlan {
    key: WorkerKey,
    victims: Vec<TaskId>,
}

impl Holder {
    /// Evicts tasks for an urgent task and reserves their capacity for it. Returns `None` if
    /// eviction is not possible now.
    pub(crate) fn try_evict(&mut self, now: Instant, id: JobId, index: u32) -> Option<()> {
        let job = self.jobs.get(&id)?;
        if !job.is_urgent() || self.next_eviction_search_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_eviction_search_at = Some(now + SEARCH_INTERVAL);
        let priority = job.spec.priority;
        let task = TaskId { job: id, index };
        let size = self.start_size(task)?;
        let eviction_plan = self.eviction_plan(priority, size)?;
        let vm = self.roster.get(eviction_plan.key)?.label.clone();
        for victim in eviction_plan.victims {
            let reason = Reason::Evicted { vm: vm.clone(), evicted_for: task };
            self.note(now, victim, reason);
            self.checkpoint(eviction_plan.key, victim);
        }
        self.remove_from_queue(task);
        self.start(now, eviction_plan.key, task, AllocationState::AwaitingEviction);
        Some(())
    }

    /// Returns the plan with the fewest victims.
    fn eviction_plan(&self, priority: Priority, size: Resources) -> Option<EvictionPlan> {
        let plans = self.roster.iter().filter_map(|(key, worker)| {
            let victims = try_victims(worker, priority, size)?;
            Some(EvictionPlan { key, victims })
        });
        plans.min_by_key(|eviction_plan| eviction_plan.victims.len())
    }

    /// Starts the tasks whose victims have ended according to the worker.
    pub(crate) fn start_awaiting(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key) else { return };
        let awaiting: Vec<TaskId> = worker
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.state == AllocationState::AwaitingEviction)
            .map(|(task, _)| *task)
            .collect();
        for task in awaiting {
            self.start_or_give_up(now, key, task);
        }
    }

    fn start_or_give_up(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(worker) = self.roster.get(key) else { return };
        let Some(allocation) = worker.allocations.get(&task).copied() else { return };
        // A victim has ended only when the worker no longer reports it. Until then the capacity
        // is allocated twice in the holder's accounts, and nothing is ordered.
        let others = worker.allocated_without_awaiting();
        let fits = others.try_add(allocation.size).is_some_and(|sum| sum.fits(worker.capacity));
        let has_timed_out = now >= allocation.since + EVICTION_TIMEOUT;
        if !fits && !has_timed_out {
            return;
        }
        if let Some(worker) = self.worker_mut(key) {
            worker.release(task);
        }
        if fits {
            self.reuse_incarnation(task);
            self.start(now, key, task, AllocationState::Queued);
        } else {
            self.undo_start(now, task);
        }
    }
}

/// Returns the tasks to evict, least important first, or `None` if evicting them is not allowed
/// or does not free enough capacity.
fn try_victims(worker: &Worker, priority: Priority, size: Resources) -> Option<Vec<TaskId>> {
    let is_usable = worker.is_responsive
        && worker.availability == Availability::Live
        && worker.faults.accepts_tasks();
    let has_pending_eviction = worker
        .allocations
        .iter()
        .any(|(_, allocation)| allocation.state == AllocationState::AwaitingEviction);
    if !is_usable || has_pending_eviction || !size.fits(worker.capacity) {
        return None;
    }
    let mut evictable: Vec<(Priority, Reverse<u32>, TaskId, Resources)> = worker
        .allocations
        .iter()
        .filter(|(_, allocation)| {
            allocation.state == AllocationState::Running
                && allocation.removal == Removal::NotPlanned
        })
        .filter(|(_, allocation)| {
            allocation.class.may_evict && allocation.class.priority < priority
        })
        .map(|(task, allocation)| {
            (allocation.class.priority, Reverse(allocation.size.cpu_milli), *task, allocation.size)
        })
        .collect();
    evictable.sort_unstable_by_key(|(priority, cpu, task, _)| (*priority, *cpu, *task));
    let mut free = worker.free();
    let mut victims = Vec::new();
    for (_, _, task, freed) in evictable {
        if size.fits(free) || victims.len() == MAX_VICTIMS {
            break;
        }
        free = free.try_add(freed)?;
        victims.push(task);
    }
    size.fits(free).then_some(victims)
}
