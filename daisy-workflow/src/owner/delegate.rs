//! Delegates whole jobs to shards with more free capacity.
//!
//! The owner of a job's own shard decides, once, before any task of the job was started. It records
//! the decision and only then writes the job to the other shard's submissions; from then on it
//! never runs the job itself. Writing a job twice has no additional effect, so the next owner
//! writes all delegated jobs again.

use std::time::Duration;

use daisy_model::{Instant, Resources};

use super::{
    Owner,
    message::{Action, Note},
    placement::is_at_step_limit,
    worker::Worker,
};
use crate::{Demand, FREE_BLOCKS, Job, JobId, JobState, Load, Record, StepSpec, TaskId, TaskState};

/// How long a new owner may take to discover its workers: the time to read the list from a slow
/// platform.
pub(super) const WORKER_DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Interval between checks of waiting jobs that have not started.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Owner {
    /// Returns the shard's capacity, the demand on it, and its free blocks for the tasks of other
    /// shards.
    pub fn load(&self, now: Instant) -> Load {
        let mut load = self.demand(now);
        load.set_free_blocks(self.free_blocks(now));
        load
    }

    /// Returns the free block of each worker for long-running tasks, after all finite tasks have
    /// ended and this shard's waiting long-running tasks are placed; the largest first.
    fn free_blocks(&self, now: Instant) -> Vec<Resources> {
        let (capacities, _) = self.eventual_free_capacity(now);
        let blocks: Vec<Resources> = capacities.into_iter().map(|(_, free)| free).collect();
        largest_first(blocks)
    }

    /// Returns the capacity left on each worker for long-running tasks, after all finite tasks have
    /// ended and this shard's waiting long-running tasks are placed, together with the waiting
    /// tasks that fit.
    pub(super) fn eventual_free_capacity(
        &self,
        now: Instant,
    ) -> (Vec<(&Worker, Resources)>, Vec<TaskId>) {
        let candidates = self.workers.iter().filter(|(_, it)| self.accepts_long_running(now, it));
        let mut capacities: Vec<(&Worker, Resources)> =
            candidates.map(|(_, it)| (it, it.eventual_free())).collect();
        let mut placed = Vec::new();
        for (task, _) in self.waiting_since.iter() {
            let Some(job) = self.ledger.job(task.job) else { continue };
            let Some(step) = job.spec.step_of(*task) else { continue };
            let service = self.service(&job.spec);
            let fitting = capacities.iter_mut().filter(|(worker, free)| {
                worker.suits(&service, step)
                    && step.allocation().fits(*free)
                    && !is_at_step_limit(step, worker, *task)
            });
            if let Some((_, free)) = fitting.min_by_key(|(_, free)| free.cpu_milli) {
                *free = free.try_sub(step.allocation()).unwrap_or(Resources::ZERO);
                placed.push(*task);
            }
        }
        (capacities, placed)
    }

    /// Whether a task of `step` must stay in this shard: it needs a label, which shards do not
    /// publish, and a worker of this shard has it.
    pub(super) fn is_bound_to_shard(&self, step: &StepSpec) -> bool {
        let Some(label) = &step.required_label else { return false };
        self.workers.iter().any(|(_, it)| it.listed && it.has_label(label))
    }

    /// Returns the shard's capacity and the demand on it.
    fn demand(&self, now: Instant) -> Load {
        let mut load = Load::default();
        let counts = |it: &Worker| {
            it.listed
                && it.ready
                && it.renewal_failures == 0
                && self.evacuations.allows_placement(now, &it.data_centre)
        };
        for (_, worker) in self.workers.iter().filter(|(_, it)| counts(it)) {
            load.capacity += u64::from(worker.capacity.cpu_milli);
        }
        load.plan = self.last_plan();
        for (id, _) in self.active.iter() {
            self.add_job(now, *id, &mut load);
        }
        load
    }

    /// Adds a job's current demand: its running tasks, and the waiting tasks of steps that are
    /// ready or long-running.
    fn add_job(&self, now: Instant, id: JobId, load: &mut Load) {
        let Some(job) = self.ledger.job(id) else { return };
        if !matches!(job.state(), JobState::Queued | JobState::Running) {
            return;
        }
        let ready = self.ready_steps(now, id);
        for (k, steps) in job.progress.occurrences.iter().enumerate() {
            for (s, (tasks, step)) in steps.iter().zip(&job.spec.steps).enumerate() {
                let is_ready =
                    ready.iter().any(|it| it.occurrence as usize == k && usize::from(it.step) == s);
                let adds_demand = |it: &&TaskState| {
                    !it.done
                        && !it.on_other_shard
                        && (is_ready || step.long_running || !it.copies.is_empty())
                };
                let count = tasks.iter().filter(adds_demand).count() as u64;
                let cpu = count * u64::from(step.need.cpu_milli);
                match (step.long_running, step.best_effort) {
                    (true, _) => load.long_running += cpu,
                    (false, true) => load.best_effort += cpu,
                    (false, false) => load.finite += cpu,
                }
            }
        }
    }

    /// Delegates a job to another shard that has more capacity, unless the job has begun or came
    /// from another shard.
    pub(super) fn try_delegate(&mut self, now: Instant, id: JobId) {
        if self.settings.layout.shards < 2
            || self.settings.layout.shard_of_job(id) != self.settings.shard
        {
            return;
        }
        let Some(job) = self.ledger.job(id) else { return };
        if !job.is_untouched() || job.delegated.is_some() {
            return;
        }
        if job.spec.steps.iter().any(|it| self.is_bound_to_shard(it)) {
            return;
        }
        let demand = Demand::of(&job.spec);
        let own = self.demand(now);
        // A new owner that has not read the list of workers yet would appear to have no capacity.
        if own.capacity == 0 && now.since(self.began_at) < WORKER_DISCOVERY_TIME {
            return;
        }
        let Some(to) = self.other_shards.try_find_better_shard(now, own, demand) else { return };
        self.other_shards.add_transfer(now, to, demand);
        if let Some(job) = self.ledger.job_mut(id) {
            job.delegate(to);
        }
        self.active.remove(&id);
        self.delegating.push(id);
        self.actions.push(Action::Note(Note::JobDelegated { job: id, to }));
    }

    /// Checks whether jobs and tasks that could not be placed here fit in another shard by now.
    pub(super) fn rebalance(&mut self, now: Instant) {
        if now.since(self.rebalanced_at) < CHECK_INTERVAL {
            return;
        }
        self.rebalanced_at = now;
        self.update_waiting_since(now);
        if self.settings.layout.shards < 2 {
            return;
        }
        let queued = |id: &JobId| self.ledger.job(*id).is_some_and(crate::Job::is_untouched);
        let waiting: Vec<JobId> = self.active.iter().map(|(id, _)| *id).filter(queued).collect();
        for id in waiting {
            self.try_delegate(now, id);
        }
        self.transfer_waiting_tasks(now);
    }

    /// Writes a job, and its cancellation if there is one, to the shard that it was delegated to.
    pub(super) fn forward_job(&mut self, id: JobId) {
        let Some(job) = self.ledger.job(id) else { return };
        let Some(to) = job.delegated else { return };
        let spec = (*job.spec).clone();
        let cancelled = job.cancelled;
        self.actions.push(Action::Forward(to, Record::Submitted(id, spec)));
        if cancelled {
            self.actions.push(Action::Forward(to, Record::Cancelled(id)));
        }
    }

    /// Writes all delegated jobs again: a new owner does not know which ones its predecessor has
    /// written.
    pub(super) fn forward_all_jobs(&mut self) {
        let delegated = self.ledger.jobs().filter(|(_, it)| it.delegated.is_some());
        let ids: Vec<JobId> = delegated.map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| self.forward_job(id));
    }

    pub(super) fn forward_cancel(&mut self, id: JobId) {
        // While the delegation is not recorded, the job was not written to the other shard either;
        // the job and its cancellation are written once the delegation is recorded.
        if let Some(to) = self.ledger.job(id).and_then(|it| it.delegated)
            && !self.delegating.contains(&id)
            && self.in_flight.as_ref().is_none_or(|it| !it.delegated.contains(&id))
        {
            self.actions.push(Action::Forward(to, Record::Cancelled(id)));
        }
        let shards = self.ledger.job(id).map(Job::transferred_to).unwrap_or_default();
        let forwards = shards.into_iter().map(|to| Action::Forward(to, Record::Cancelled(id)));
        self.actions.extend(forwards);
    }
}

/// Sorts free blocks in the order of publication: the largest first, by the scarcer of processors
/// and memory; a few blocks with accelerators precede all others.
fn largest_first(mut blocks: Vec<Resources>) -> Vec<Resources> {
    /// Maximum number of blocks with accelerators that precede all others.
    const WITH_ACCELERATORS: usize = FREE_BLOCKS / 4;
    let most = blocks.iter().fold(Resources::ZERO, |most, it| Resources {
        cpu_milli: most.cpu_milli.max(it.cpu_milli),
        memory_mib: most.memory_mib.max(it.memory_mib),
        accelerators: 0,
    });
    let permille = |part: u32, of: u32| u64::from(part) * 1_000 / u64::from(of.max(1));
    let scarcest = |it: &Resources| {
        let cpu = permille(it.cpu_milli, most.cpu_milli);
        cpu.min(permille(it.memory_mib, most.memory_mib))
    };
    blocks.sort_by_key(|it| std::cmp::Reverse(scarcest(it)));
    let mut first = Vec::new();
    let mut others = Vec::with_capacity(blocks.len());
    for it in blocks {
        match it.accelerators > 0 && first.len() < WITH_ACCELERATORS {
            true => first.push(it),
            false => others.push(it),
        }
    }
    first.extend(others);
    first
}
