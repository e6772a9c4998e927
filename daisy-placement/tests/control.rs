//! Batch work beside services: throttled first, evicted last, and only what interferes.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Objective, Usage, VmId};
use daisy_placement::{
    Ceiling, Interference, JobFamily, Throttle, ThrottleControl, ThrottleRule, UsageSignal,
};
use util::{World, batch, service, size, task};

/// Has worker 1 report the slowdown of its services, in thousandths.
fn report_slowdown(world: &mut World, slowdown: u32) {
    let worker = world.worker(1);
    let usage = worker.running.iter().map(|it| Usage { task: it.task, used: it.size, slowdown });
    worker.usage = usage.collect();
}

/// A batch job slows the checkout down, and the reports arrive seconds later. The job is
/// throttled, and evicted only if that does not help; otherwise callers would wait ever longer.
#[test]
fn a_noisy_neighbour_is_throttled_before_it_is_evicted() {
    let mut world = World::new(1, size(16, 64));
    world.create(service("shop", 1, size(2, 2)));
    world.create(batch("renders", 1, size(4, 4)));
    world.run(Duration::from_secs(3));

    report_slowdown(&mut world, 3_000);
    world.run(Duration::from_secs(12));
    let share = world.worker(1).running.iter().map(|it| it.share).min();
    let while_limited = world.worker(1).ended_by_order;
    world.run(Duration::from_secs(120));

    assert!(share < Some(1_000), "{share:?}");
    assert_eq!(while_limited, 0);
    assert!(world.worker(1).ended_by_order > 0);
    assert_eq!(world.workers_running(task(0, 0)), [VmId(1)], "the service itself stays");
}

/// A family was noisy once, and while it is throttled it shows nothing new. Without a rise of
/// the share it would stay throttled for ever.
#[test]
fn throttling_ends_when_services_are_undisturbed() {
    let mut world = World::new(1, size(16, 64));
    world.create(service("shop", 1, size(2, 2)));
    world.create(batch("renders", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    report_slowdown(&mut world, 3_000);
    world.run(Duration::from_secs(10));

    report_slowdown(&mut world, 1_000);
    world.run(Duration::from_secs(2_400));

    let shares: Vec<u32> = world.worker(1).running.iter().map(|it| it.share).collect();
    assert!(shares.iter().all(|share| *share >= 960), "{shares:?}");
}

/// A burst of noise is reported late, and reports from before a cut arrive for seconds after it.
/// If each of them cut the share again, batch work would fall to the lowest share for each
/// burst.
#[test]
fn reports_from_before_a_cut_do_not_cut_the_share_again() {
    let mut throttle = Throttle::default();
    let bad = UsageSignal { slowdown: 2_000, cpu_use: 500, max_cpu_use: 800 };

    let shares: Vec<u32> = (0..4)
        .map(|at| throttle.step(Instant::from_millis(10_000 + at * 2_000), ThrottleRule::Aimd, bad))
        .collect();

    assert_eq!(shares, [600, 600, 600, 600]);
}

/// The share of a worker that reports often must not rise faster than that of another worker.
#[test]
fn the_share_rises_with_time_and_not_with_the_number_of_reports() {
    let bad = UsageSignal { slowdown: 2_000, cpu_use: 500, max_cpu_use: 800 };
    let good = UsageSignal { slowdown: 1_000, ..bad };
    let share_after = |reports: u64| {
        let mut throttle = Throttle::default();
        throttle.step(Instant::from_millis(10_000), ThrottleRule::Aimd, bad);
        for at in 1..=reports {
            throttle.step(
                Instant::from_millis(10_000 + at * 8_000 / reports),
                ThrottleRule::Aimd,
                good,
            );
        }
        throttle.share()
    };

    assert_eq!((share_after(1), share_after(8)), (700, 700));
}

#[test]
fn a_longer_backlog_raises_the_highest_share_of_noisy_work() {
    let beaulac = ThrottleControl::of(&Objective { tail: 800, throughput: 150, evictions: 50 });
    let confeitaria = ThrottleControl::of(&Objective { tail: 950, throughput: 40, evictions: 10 });

    let shares =
        |control: ThrottleControl| [0.0, 3.0, 8.0].map(|backlog| control.ceiling.share(backlog));

    assert_eq!(shares(beaulac), [200, 500, 1000]);
    assert_eq!(shares(confeitaria), [200, 200, 350]);
    assert_eq!(Ceiling::Fixed(300).share(9.0), 300);
}

#[test]
fn a_noisy_family_is_distinguished_from_its_quiet_neighbours() {
    let (shop, quiet, noisy) = (JobFamily(1), JobFamily(2), JobFamily(3));
    let mut learnt = Interference::default();
    let mut rng = fastrand::Rng::with_seed(3);

    for _ in 0..2_000 {
        let (quiets, noisies) = (rng.u32(0..5), rng.u32(0..3));
        let slowdown = 1_000 + noisies * 120 + quiets * 2 + rng.u32(0..20);
        learnt.learn(shop, &[(quiet, quiets as f32), (noisy, noisies as f32)], slowdown);
    }

    let found = (learnt.slowdown_of_one(shop, quiet), learnt.slowdown_of_one(shop, noisy));
    assert!(found.0 < 20.0 && (100.0..150.0).contains(&found.1), "{found:?}");
}

/// Jobs come and go for months; what is learnt about each must not accumulate.
#[test]
fn the_number_of_learnt_pairs_is_bounded() {
    let mut learnt = Interference::default();

    for at in 0..20_000_u32 {
        let neighbours = [(JobFamily((at % 900) as u16), 1.0), (JobFamily((at % 77) as u16), 1.0)];
        learnt.learn(JobFamily((at % 40) as u16), &neighbours, 1_500);
    }

    assert!(learnt.len() <= Interference::MAX_PAIRS, "{} pairs", learnt.len());
}
