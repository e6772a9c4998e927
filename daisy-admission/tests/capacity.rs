//! Which blocks finite work needs.

use std::time::Duration;

use daisy_admission::{CapacityPlan, CapacityReport, FleetCapacity, OfferedLoad, plan_capacity};
use daisy_model::{Instant, Resources};

const NOW: Instant = Instant(5_000_000);

fn cores(cores: u32) -> Resources {
    Resources { cpu_milli: cores * 1_000, memory_mib: cores * 2_000, accelerators: 0 }
}

fn report(spare_cpu: u64) -> CapacityReport {
    CapacityReport {
        service: "s".into(),
        offered: OfferedLoad { cpu_milli: 1_000, variance: 2 },
        plan: CapacityPlan { spare_cpu, short_cpu: 0, finite_cpu: 1_000 },
        freed_cpu_per_s: 500,
    }
}

#[test]
fn pieces_too_small_for_any_task_are_no_capacity() {
    let blocks = vec![cores(10); 100];

    let plan = plan_capacity(blocks, &[cores(11), cores(11)], cores(13));

    assert_eq!(plan, CapacityPlan { spare_cpu: 0, short_cpu: 22_000, finite_cpu: 0 });
}

#[test]
fn finite_tasks_take_the_smallest_block_that_fits() {
    let blocks = vec![cores(64), cores(12)];

    let plan = plan_capacity(blocks, &[cores(11)], cores(13));

    assert_eq!(plan, CapacityPlan { spare_cpu: 52_000, short_cpu: 0, finite_cpu: 11_000 });
}

/// Guards against rejecting all long-running jobs of a fleet that has not run any.
#[test]
fn all_free_capacity_is_spare_until_a_long_running_task_was_seen() {
    let plan = plan_capacity(vec![cores(10)], &[cores(3)], Resources::ZERO);

    assert_eq!(plan, CapacityPlan { spare_cpu: 7_000, short_cpu: 0, finite_cpu: 3_000 });
}

#[test]
fn a_block_without_memory_holds_no_task() {
    let without_memory = Resources { memory_mib: 1_000, ..cores(64) };

    let plan = plan_capacity(vec![without_memory], &[cores(11)], cores(13));

    assert_eq!(plan, CapacityPlan { spare_cpu: 0, short_cpu: 11_000, finite_cpu: 0 });
}

#[test]
fn reports_of_all_shards_are_added_up() {
    let old = Instant(NOW.0 - 300_000);
    let (a, b) = (report(2_000), report(3_000));

    let sum = FleetCapacity::try_sum(NOW, [Some((NOW, &a)), Some((old, &b))].into_iter());

    let sum = sum.expect("both shards report");
    assert_eq!(sum.plan.spare_cpu, 5_000);
    assert_eq!(sum.offered, OfferedLoad { cpu_milli: 2_000, variance: 4 });
    assert_eq!(sum.age, Duration::from_millis(300));
}

/// Guards against a decision by the capacity of some shards while another has no owner.
#[test]
fn a_shard_without_a_report_leaves_the_capacity_unknown() {
    let a = report(2_000);

    assert_eq!(FleetCapacity::try_sum(NOW, [Some((NOW, &a)), None].into_iter()), None);
}
