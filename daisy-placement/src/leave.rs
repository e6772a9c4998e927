//! Work leaves VMs that are leaving or drained.

use std::time::Duration;

use daisy_model::{Instant, JobId, Order, TaskId};

use crate::{
    holder::Holder,
    reason::Reason,
    task::Phase,
    worker::{Ending, Hold, Standing, WorkerKey},
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
    pub(crate) fn leave(&mut self, now: Instant) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get(key) else { continue };
            if worker.standing == Standing::Draining && worker.answers {
                let is_leaving = worker.leaving;
                self.leave_worker(now, key, is_leaving);
            }
        }
    }

    fn leave_worker(&mut self, now: Instant, key: WorkerKey, is_leaving: bool) {
        let Some(worker) = self.roster.get(key) else { return };
        let running = worker.held.iter().filter(|(_, held)| held.hold == Hold::Running);
        let going: Vec<(TaskId, bool, Ending)> = running
            .filter(|(_, held)| held.class.evict || held.class.service && is_leaving)
            .map(|(task, held)| (*task, held.class.service, held.ending))
            .collect();
        for (task, is_service, ending) in going {
            match ending {
                Ending::Ordered => {}
                Ending::Quiet { until } if now < until => {}
                Ending::Quiet { .. } => self.move_off(now, key, task),
                Ending::No if is_service => self.quieten(now, key, task),
                Ending::No => self.move_off(now, key, task),
            }
        }
    }

    /// Takes a replica out of the routes, if its service can do without it for a moment.
    fn quieten(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        if !self.is_whole(task.job) {
            return;
        }
        let Some(size) = self.local(task).map(|local| local.ledger.size) else { return };
        let mut found = Vec::new();
        self.roster.find(size, 1, &mut found);
        if found.is_empty() {
            return;
        }
        if let Some(held) = self.worker_mut(key).and_then(|it| it.held.get_mut(&task)) {
            held.ending = Ending::Quiet { until: now + QUIET };
        }
    }

    /// Whether every replica that this data centre has of a service runs and stays.
    fn is_whole(&self, job: JobId) -> bool {
        let Some(view) = self.jobs.get(&job) else { return false };
        view.tasks.iter().enumerate().all(|(index, local)| match local.phase {
            Phase::Running { worker } => {
                let task = TaskId { job, index: index as u32 };
                let held = self.roster.get(worker).and_then(|it| it.held.get(&task));
                held.is_some_and(|held| held.ending == Ending::No)
            }
            Phase::Elsewhere => true,
            _ => false,
        })
    }

    fn move_off(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(vm) = self.roster.get(key).map(|worker| worker.label.clone()) else { return };
        self.note(now, task, Reason::Moves { vm });
        self.checkpoint(key, task);
    }

    /// Orders a task to be checkpointed and stopped; it is resumed once that is recorded.
    pub(crate) fn checkpoint(&mut self, key: WorkerKey, task: TaskId) {
        self.order_end(key, task, |incarnation| Order::Checkpoint { task, incarnation });
    }
}
