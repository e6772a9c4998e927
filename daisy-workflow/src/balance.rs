//! Balances load: selects the shard that runs a job, its own or one with more free capacity.
//!
//! A job's id determines the shard that is responsible for it. Long-running jobs differ much in
//! size and stay for long, so selecting shards by id alone fills them unevenly: with four fifths of
//! all processors reserved, some shards had no capacity left while others had a third free.

use std::time::Duration;

use daisy_admission::{CapacityPlan, CapacityReport};
use daisy_model::{Instant, Resources, SortedMap};

use crate::{JobKind, JobSpec, ShardId, StepSpec};

/// The number of free blocks that a shard publishes: more than the tasks that fail to find capacity
/// between two publications of loads.
pub const FREE_BLOCKS: usize = 16;

/// A shard's capacity and the demand for it, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// The processors of usable workers.
    pub capacity: u64,
    /// Reserved by long-running tasks, running or waiting.
    pub long_running: u64,
    /// Reserved by finite tasks, which end by themselves, running or waiting.
    pub finite: u64,
    /// What best-effort tasks could use, running or waiting.
    pub best_effort: u64,
    /// What the workers have besides long-running tasks, if the owner plans it.
    pub plan: Option<CapacityPlan>,
    /// The largest free blocks, in descending order: the capacity that a worker has left for
    /// long-running tasks once all its finite tasks have ended. A worker is reserved for a waiting
    /// long-running task until then.
    pub free_blocks: [Resources; FREE_BLOCKS],
}

/// What a job or task adds to the load of its shard; for a job, while its widest step runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    kind: JobKind,
    cpu: u64,
}

impl Demand {
    /// Returns the demand of one task of a long-running step.
    pub fn of_long_running_task(step: &StepSpec) -> Demand {
        Demand { kind: JobKind::LongRunning, cpu: u64::from(step.need.cpu_milli) }
    }

    /// Returns the demand of a job.
    pub fn of(spec: &JobSpec) -> Demand {
        let cpu = |it: &StepSpec| u64::from(it.count) * u64::from(it.need.cpu_milli);
        let widest = spec.steps.iter().map(cpu).max().unwrap_or_default();
        let kind = spec.kind();
        Demand { kind, cpu: widest }
    }
}

impl Load {
    /// Sets the free blocks to the first [`FREE_BLOCKS`] of these, filled up with empty ones.
    pub fn set_free_blocks(&mut self, mut free_blocks: Vec<Resources>) {
        free_blocks.resize(FREE_BLOCKS, Resources::ZERO);
        self.free_blocks.copy_from_slice(&free_blocks);
    }

    /// Returns the sum of the plans of all services; `None` without a report.
    pub fn sum_plans(reports: &[CapacityReport]) -> Option<CapacityPlan> {
        reports.iter().map(|it| it.plan).reduce(|a, b| CapacityPlan {
            spare_cpu: a.spare_cpu + b.spare_cpu,
            short_cpu: a.short_cpu + b.short_cpu,
            finite_cpu: a.finite_cpu + b.finite_cpu,
        })
    }

    /// Returns how many long-running tasks of the size `need` fit into the free blocks.
    fn task_slots(&self, need: Resources) -> u64 {
        self.free_blocks.iter().map(|it| u64::from(it.count_fitting(need))).sum()
    }

    /// Returns the load with this demand added.
    fn with_demand(self, demand: Demand) -> Load {
        let mut load = self;
        match demand.kind {
            JobKind::LongRunning => load.long_running += demand.cpu,
            JobKind::Finite => load.finite += demand.cpu,
            JobKind::BestEffort => load.best_effort += demand.cpu,
        }
        load
    }

    /// Returns how full the shard is for jobs of a kind; 1 is full.
    fn utilization(self, kind: JobKind) -> f64 {
        /// The share of their reservation that serving tasks use; best-effort tasks use the rest.
        const SERVING_CPU_USE: f64 = 0.55;
        let (long_running, finite, best_effort) =
            (self.long_running as f64, self.finite as f64, self.best_effort as f64);
        // What long-running tasks leave may be in blocks that no finite task fits into.
        if let (Some(plan), JobKind::Finite) = (self.plan, kind) {
            return finite / (plan.finite_cpu + plan.spare_cpu).max(1) as f64;
        }
        let demand_cpu = match kind {
            JobKind::LongRunning => long_running,
            JobKind::Finite => long_running + finite,
            JobKind::BestEffort => long_running * SERVING_CPU_USE + finite + best_effort,
        };
        demand_cpu / (self.capacity.max(1) as f64)
    }
}

/// The time after which loads show a transferred job: they are published every 0.4 s and read 0.2 s
/// later.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(800);

/// What an owner knows of the other shards.
#[derive(Debug, Clone, Default)]
pub struct OtherShards {
    loads: SortedMap<ShardId, Load>,
    /// Jobs and tasks that were transferred to other shards so recently that their loads don't
    /// include them.
    recent_transfers: Vec<(Instant, ShardId, Demand)>,
}

impl OtherShards {
    /// Sets the last published loads of the other shards.
    pub fn update(&mut self, loads: SortedMap<ShardId, Load>) {
        self.loads = loads;
    }

    /// Records that a job or task with this demand was transferred to `shard`.
    pub fn add_transfer(&mut self, now: Instant, shard: ShardId, demand: Demand) {
        self.recent_transfers.push((now, shard, demand));
    }

    /// Returns the shard that suits a job better than the shard with the load `own`, which already
    /// includes the job, if there is one.
    ///
    /// Loads are known with a delay, and all owners know the same loads: in a burst of jobs, each
    /// owner would delegate its jobs to the shard that was emptiest, which would then stay
    /// overloaded, as started jobs are not moved. So an owner assumes that all others send as much
    /// as it does.
    pub fn try_find_better_shard(
        &mut self,
        now: Instant,
        own: Load,
        demand: Demand,
    ) -> Option<ShardId> {
        /// By kind of job, the utilization below which a job stays in its shard: there are free
        /// blocks of any size.
        const LOW_UTILIZATION: [f64; 3] = [0.3, 0.8, 0.7];
        /// By kind of job, by how much lower the other shard's utilization must be: a long-running
        /// job is placed once and for long, while others start and end before loads are published.
        const IMPROVEMENT_MIN: [f64; 3] = [0.03, 0.06, 0.15];
        self.recent_transfers.retain(|(at, ..)| now.since(*at) < LOAD_REPORT_DELAY);
        let kind = demand.kind;
        let utilization = own.utilization(kind);
        if utilization < LOW_UTILIZATION[kind as usize] {
            return None;
        }
        let senders = self.loads.len().max(1) as u64;
        let projected = |(shard, load): (&ShardId, &Load)| {
            let transfers = self.recent_transfers.iter().filter(|(_, to, _)| to == shard);
            let add = |load: Load, (.., demand): &(Instant, ShardId, Demand)| {
                load.with_demand(Demand { cpu: demand.cpu * senders, ..*demand })
            };
            let load = transfers.fold(*load, add).with_demand(demand);
            (*shard, load.utilization(kind))
        };
        let others = self.loads.iter().filter(|(_, load)| load.capacity > 0).map(projected);
        let (shard, best) = others.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        (best + IMPROVEMENT_MIN[kind as usize] < utilization).then_some(shard)
    }

    /// Returns the shard other than `own` whose free blocks fit the most long-running tasks of the
    /// size `need`, if any fits one. Recent transfers are counted as in
    /// [`try_find_better_shard`](OtherShards::try_find_better_shard).
    pub fn try_find_capacity(
        &mut self,
        now: Instant,
        own: ShardId,
        need: Resources,
    ) -> Option<ShardId> {
        self.recent_transfers.retain(|(at, ..)| now.since(*at) < LOAD_REPORT_DELAY);
        let senders = self.loads.len().max(1) as u64;
        let free_slots = |(shard, load): (&ShardId, &Load)| {
            let long_running = |it: &&(Instant, ShardId, Demand)| {
                it.1 == *shard && it.2.kind == JobKind::LongRunning
            };
            let sent: u64 =
                self.recent_transfers.iter().filter(long_running).map(|(.., it)| it.cpu).sum();
            let sent = sent.div_ceil(u64::from(need.cpu_milli.max(1))) * senders;
            (*shard, load.task_slots(need).saturating_sub(sent))
        };
        let others = self.loads.iter().filter(|(shard, _)| **shard != own).map(free_slots);
        let (shard, most) = others.max_by_key(|(_, slots)| *slots)?;
        (most > 0).then_some(shard)
    }
}
