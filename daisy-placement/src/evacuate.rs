//! Evacuation of VMs that are leaving or drained.

use std::time::Duration;

use daisy_model::{Instant, JobId, Order, TaskId};

use crate::{
    holder::Holder,
    reason::Reason,
    task::Phase,
    worker::{AllocationState, Availability, Removal, WorkerKey},
};

/// How long a replica gets no requests before it is stopped.
///
/// A leaving backend server must get no new request after a few seconds; requests in flight then
/// have equally long to finish.
const UNROUTED_DURATION: Duration = Duration::from_secs(5);

impl Holder {
    /// Moves tasks off VMs that take no more work, as far as they may be moved.
    ///
    /// Batch tasks that may be evicted are checkpointed at once. The replicas of a service move
    /// one at a time, and only when another worker has capacity: a replica is first taken out of
    /// the routes, then stopped, then started elsewhere. Starting the new replica before
    /// stopping the old one would avoid the gap, but both are the same task, and no task may run
    /// in two places.
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
                allocation.class.may_evict || allocation.class.is_service && is_leaving
            })
            .map(|(task, allocation)| (*task, allocation.class.is_service, allocation.removal))
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

    /// Takes a replica out of the routes if its service can run without it for a moment.
    fn unroute(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        if !self.are_all_replicas_running(task.job) {
            return;
        }
        let Some(size) = self.local(task).map(|local| local.ledger.size) else { return };
        let mut found = Vec::new();
        self.roster.find_candidates(size, 1, &mut found);
        if found.is_empty() {
            return;
        }
        if let Some(allocation) = self.worker_mut(key).and_then(|it| it.allocations.get_mut(&task))
        {
            allocation.removal = Removal::Unrouted { stop_at: now + UNROUTED_DURATION };
        }
    }

    /// Whether all replicas of a service in this data centre run and none is being removed.
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

    /// Orders a task to be checkpointed and stopped; it resumes once the ledger shows its end.
    pub(crate) fn checkpoint(&mut self, key: WorkerKey, task: TaskId) {
        self.order_removal(key, task, |incarnation| Order::Checkpoint { task, incarnation });
    }
}
