//! Work leaves VMs that are leaving or drained.

use std::time::Duration;

use daisy_model::{Instant, JobId, Order, TaskId};

use crate::{
    holder::Holder,
    reason::Reason,
    task::Phase,
    worker::{AllocationState, Availability, Removal, WorkerKey},
};

/// Requests stop going to a replica this long before it is stopped.
///
/// The users ask that a leaving backend server gets nothing new after a few seconds; what
/// is in flight then has as long again to end.
const QUIET: Duration = Duration::from_secs(5);

impl Holder {
    /// Takes what may leave off VMs that take no more work.
    ///
    /// Batch work that may be evicted goes at once. A service's replicas go one at a time,
    /// each only when there is room for it elsewhere: it is taken out of the routes first,
    /// then stopped, then started anew. To start the new one before the old one is stopped
    /// would be kinder, but they are one task, and no task runs in two places.
    pub(crate) fn evacuate(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get(key) else { continue };
            if worker.availability == Availability::Draining && worker.is_responsive {
                let is_leaving = worker.leaving;
                self.evacuate_worker(now, key, is_leaving);
            }
        }
    }

    fn evacuate_worker(&mut self, now: Instant, key: WorkerKey, is_leaving: bool) {
        let Some(worker) = self.roster.get(key) else { return };
        let running = worker
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.state == AllocationState::Running);
        let to_move: Vec<(TaskId, bool, Removal)> = running
            .filter(|(_, allocation)| {
                allocation.class.evict || allocation.class.service && is_leaving
            })
            .map(|(task, allocation)| (*task, allocation.class.service, allocation.removal))
            .collect();
        for (task, is_service, removal) in to_move {
            match removal {
                Removal::Ordered => {}
                Removal::Unrouted { stop_at } if now < stop_at => {}
                Removal::Unrouted { .. } => self.move_off(now, key, task),
                Removal::NotPlanned if is_service => self.unroute(now, key, task),
                Removal::NotPlanned => self.move_off(now, key, task),
            }
        }
    }

    /// Takes a replica out of the routes, if its service can do without it for a moment.
    fn unroute(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        if !self.are_all_replicas_running(task.job) {
            return;
        }
        let Some(size) = self.local(task).map(|local| local.ledger.size) else { return };
        let mut found = Vec::new();
        self.roster.find(size, 1, &mut found);
        if found.is_empty() {
            return;
        }
        if let Some(allocation) = self.worker_mut(key).and_then(|it| it.allocations.get_mut(&task))
        {
            allocation.removal = Removal::Unrouted { stop_at: now + QUIET };
        }
    }

    /// Whether every replica that this data centre has of a service runs and stays.
    fn are_all_replicas_running(&self, job: JobId) -> bool {
        let Some(view) = self.jobs.get(&job) else { return false };
        view.tasks.iter().enumerate().all(|(index, local)| match local.phase {
            Phase::Running { worker } => {
                let task = TaskId { job, index: index as u32 };
                let allocation = self.roster.get(worker).and_then(|it| it.allocations.get(&task));
                allocation.is_some_and(|allocation| allocation.removal == Removal::NotPlanned)
            }
            Phase::NotOurs => true,
            _ => false,
        })
    }

    fn move_off(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.label.clone()) else { return };
        self.note(now, task, Reason::Evacuated { vm });
        self.checkpoint(key, task);
    }

    /// Orders a task to be checkpointed and stopped; it is resumed once that is recorded.
    pub(crate) fn checkpoint(&mut self, key: WorkerKey, task: TaskId) {
        self.order_removal(key, task, |incarnation| Order::Checkpoint { task, incarnation });
    }
}
