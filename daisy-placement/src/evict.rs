//! Urgent work takes room from work that may be evicted.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{Instant, JobId, Priority, Resources, TaskId};

use crate::{
    holder::Holder,
    reason::Reason,
    worker::{Ending, Hold, Standing, Worker, WorkerKey},
};

/// Between two searches for victims; each looks at every task of the data centre.
const SEARCH_PERIOD: Duration = Duration::from_millis(20);
/// How long room is waited for before the task goes back in line.
const AWAIT: Duration = Duration::from_secs(10);
/// The most tasks evicted for one start.
const MOST_VICTIMS: usize = 8;

/// Who would have to go for a task to fit.
#[derive(Debug)]
struct Plan {
    key: WorkerKey,
    victims: Vec<TaskId>,
}

impl Holder {
    /// Makes room for an urgent task and keeps it, or says that there is none to be made.
    pub(crate) fn try_evict(&mut self, now: Instant, id: JobId, index: u32) -> Option<()> {
        let job = self.jobs.get(&id)?;
        if !job.is_urgent() || self.evict_at.is_some_and(|at| now < at) {
            return None;
        }
        self.evict_at = Some(now + SEARCH_PERIOD);
        let priority = job.spec.priority;
        let task = TaskId { job: id, index };
        let size = self.start_size(task)?;
        let plan = self.plan(priority, size)?;
        let vm = self.roster.get(plan.key)?.label.clone();
        for victim in plan.victims {
            let reason = Reason::Evicted { vm: vm.clone(), winner: task };
            self.note(now, victim, reason);
            self.checkpoint(plan.key, victim);
        }
        self.leave_line(task);
        self.start(now, plan.key, task, Hold::Awaiting);
        Some(())
    }

    /// The worker with the fewest, then the least important, victims.
    fn plan(&self, priority: Priority, size: Resources) -> Option<Plan> {
        let plans = self.roster.iter().filter_map(|(key, worker)| {
            let victims = try_victims(worker, priority, size)?;
            Some(Plan { key, victims })
        });
        plans.min_by_key(|plan| plan.victims.len())
    }

    /// Starts what has waited for victims to go, now that the worker says they have.
    pub(crate) fn promote(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.roster.get(key) else { return };
        let awaiting: Vec<TaskId> = worker
            .held
            .iter()
            .filter(|(_, held)| held.hold == Hold::Awaiting)
            .map(|(task, _)| *task)
            .collect();
        for task in awaiting {
            self.promote_one(now, key, task);
        }
    }

    fn promote_one(&mut self, now: Instant, key: WorkerKey, task: TaskId) {
        let Some(worker) = self.roster.get(key) else { return };
        let Some(held) = worker.held.get(&task).copied() else { return };
        // Only what the worker itself no longer reports has left: until then the room is
        // taken twice in our books, and nothing is ordered.
        let others = worker.taken_but_awaiting();
        let fits = others.try_add(held.size).is_some_and(|sum| sum.fits(worker.capacity));
        let is_late = now >= held.since + AWAIT;
        if !fits && !is_late {
            return;
        }
        if let Some(worker) = self.worker_mut(key) {
            worker.let_go(task);
        }
        if fits {
            self.take_back_number(task);
            self.start(now, key, task, Hold::Queued);
        } else {
            self.take_back(now, task);
        }
    }
}

/// The tasks that would have to go, or `None` if that is not enough or not allowed.
fn try_victims(worker: &Worker, priority: Priority, size: Resources) -> Option<Vec<TaskId>> {
    let is_usable = worker.answers && worker.standing == Standing::Live && worker.faults.is_open();
    let is_taken = worker.held.iter().any(|(_, held)| held.hold == Hold::Awaiting);
    if !is_usable || is_taken || !size.fits(worker.capacity) {
        return None;
    }
    let mut able: Vec<(Priority, Reverse<u32>, TaskId, Resources)> = worker
        .held
        .iter()
        .filter(|(_, held)| held.hold == Hold::Running && held.ending == Ending::No)
        .filter(|(_, held)| held.class.evict && held.class.priority < priority)
        .map(|(task, held)| (held.class.priority, Reverse(held.size.cpu_milli), *task, held.size))
        .collect();
    able.sort_unstable_by_key(|(priority, cpu, task, _)| (*priority, *cpu, *task));
    let mut free = worker.free();
    let mut victims = Vec::new();
    for (_, _, task, freed) in able {
        if size.fits(free) || victims.len() == MOST_VICTIMS {
            break;
        }
        free = free.try_add(freed)?;
        victims.push(task);
    }
    size.fits(free).then_some(victims)
}
