//! Which blocks of free capacity finite work needs, and what is left for long-running tasks.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, Resources};

use crate::OfferedLoad;

/// What a shard's workers have besides their long-running tasks, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CapacityPlan {
    /// What more long-running tasks could reserve while the finite work keeps what it needs.
    pub spare_cpu: u64,
    /// What finite work lacks, as no worker has a block for it.
    pub short_cpu: u64,
    /// What finite work has: its tasks that fit. With what is spare, this is what it could use.
    pub finite_cpu: u64,
}

/// Plans which worker holds which of the finite tasks that run at one time, and returns what is
/// left.
///
/// `blocks` has for each worker what its long-running tasks leave; `finite` holds the largest task
/// first. Each task takes the smallest block that fits, so that large blocks remain. Of what
/// remains only whole multiples of `long_running`, the usual size of a long-running task, are
/// spare; all of it if that is zero, as no long-running task was seen yet.
pub fn plan_capacity(
    mut blocks: Vec<Resources>,
    finite: &[Resources],
    long_running: Resources,
) -> CapacityPlan {
    let mut plan = CapacityPlan::default();
    for need in finite {
        let fitting = blocks.iter_mut().filter(|it| need.fits(**it));
        match fitting.min_by_key(|it| (it.cpu_milli, it.memory_mib)) {
            Some(block) => {
                *block = block.try_sub(*need).unwrap_or(Resources::ZERO);
                plan.finite_cpu += u64::from(need.cpu_milli);
            }
            None => plan.short_cpu += u64::from(need.cpu_milli),
        }
    }
    let usable = |block: &Resources| match long_running.cpu_milli {
        0 => u64::from(block.cpu_milli),
        cpu => u64::from(block.count_fitting(long_running)) * u64::from(cpu),
    };
    plan.spare_cpu = blocks.iter().map(usable).sum();
    plan
}

/// What the owner of a shard tells all entry VMs about the capacity of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityReport {
    /// The service whose workers are meant.
    pub service: Arc<str>,
    /// The finite work that arrives at the shard.
    pub offered: OfferedLoad,
    /// What its workers have besides their long-running tasks.
    pub plan: CapacityPlan,
    /// What long-running tasks of cancelled jobs have freed each second, in thousandths of a core.
    pub freed_cpu_per_s: u64,
}

/// The sum of the reports of all shards about one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetCapacity {
    /// The finite work that arrives.
    pub offered: OfferedLoad,
    /// What the workers have besides their long-running tasks.
    pub plan: CapacityPlan,
    /// What long-running tasks of cancelled jobs have freed each second, in thousandths of a core.
    pub freed_cpu_per_s: u64,
    /// The age of the oldest report.
    pub age: Duration,
}

impl FleetCapacity {
    /// Adds up one report of each shard, each with the time at which it was read. Returns `None` if
    /// a shard has no report on the service: its owner is lost, or runs a build without reports.
    pub fn try_sum<'a>(
        now: Instant,
        reports: impl Iterator<Item = Option<(Instant, &'a CapacityReport)>>,
    ) -> Option<FleetCapacity> {
        let mut sum = FleetCapacity::default();
        for report in reports {
            let (read_at, it) = report?;
            sum.offered = sum.offered + it.offered;
            sum.plan.spare_cpu += it.plan.spare_cpu;
            sum.plan.short_cpu += it.plan.short_cpu;
            sum.plan.finite_cpu += it.plan.finite_cpu;
            sum.freed_cpu_per_s += it.freed_cpu_per_s;
            sum.age = sum.age.max(now.since(read_at));
        }
        Some(sum)
    }
}
