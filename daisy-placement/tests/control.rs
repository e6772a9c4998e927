//! Batch work beside services: limited first, evicted last, and only what disturbs.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Objective, Usage, VmId};
use daisy_placement::{
    Ceiling, Interference, JobFamily, Throttle, ThrottleControl, ThrottleRule, UsageSignal,
};
use util::{World, batch, service, size, task};

/// Tells the holder that the service on worker 1 takes so many thousandths of its time.
fn slow_down(world: &mut World, slowdown: u32) {
    let worker = world.worker(1);
    let usage = worker.running.iter().map(|it| Usage { task: it.task, used: it.size, slowdown });
    worker.usage = usage.collect();
}

/// A batch job disturbs the checkout; the reports of it come seconds later.
/// Callers would wait on and on; the job is limited, and only if that does not help evicted.
#[test]
fn a_disturbing_neighbour_is_limited_before_it_is_evicted() {
    let mut world = World::new(1, size(16, 64));
    world.create(service("shop", 1, size(2, 2)));
    world.create(batch("renders", 1, size(4, 4)));
    world.run(Duration::from_secs(3));

    slow_down(&mut world, 3_000);
    world.run(Duration::from_secs(12));
    let share = world.worker(1).running.iter().map(|it| it.share).min();
    let while_limited = world.worker(1).taken_off;
    world.run(Duration::from_secs(120));

    assert!(share < Some(1_000), "{share:?}");
    assert_eq!(while_limited, 0);
    assert!(world.worker(1).taken_off > 0);
    assert_eq!(world.places(task(0, 0)), [VmId(1)], "the service itself stays");
}

/// A kind was noisy once; at its limit it shows nothing of itself any more.
/// Users would see it crawl for ever.
#[test]
fn the_limit_is_lifted_when_services_are_well() {
    let mut world = World::new(1, size(16, 64));
    world.create(service("shop", 1, size(2, 2)));
    world.create(batch("renders", 1, size(4, 4)));
    world.run(Duration::from_secs(3));
    slow_down(&mut world, 3_000);
    world.run(Duration::from_secs(10));

    slow_down(&mut world, 1_000);
    world.run(Duration::from_secs(2_400));

    let shares: Vec<u32> = world.worker(1).running.iter().map(|it| it.share).collect();
    assert!(shares.iter().all(|share| *share >= 960), "{shares:?}");
}

/// A wave of noise is reported late; reports of the time before a cut go on for seconds.
/// Batch work would be cut to the floor for each wave, if each report cut it again.
#[test]
fn reports_of_the_time_before_a_cut_do_not_cut_again() {
    let mut throttle = Throttle::default();
    let bad = UsageSignal { slowdown: 2_000, cpu_use: 500, max_cpu_use: 800 };

    let shares: Vec<u32> = (0..4)
        .map(|at| throttle.step(Instant::from_millis(10_000 + at * 2_000), ThrottleRule::Aimd, bad))
        .collect();

    assert_eq!(shares, [600, 600, 600, 600]);
}

/// A worker that reports often must not get its limit lifted sooner than one that does not.
#[test]
fn a_limit_rises_with_time_and_not_with_reports() {
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
fn a_longer_backlog_raises_the_ceiling_of_noisy_work() {
    let beaulac = ThrottleControl::of(&Objective { tail: 800, throughput: 150, evictions: 50 });
    let confeitaria = ThrottleControl::of(&Objective { tail: 950, throughput: 40, evictions: 10 });

    let shares =
        |control: ThrottleControl| [0.0, 3.0, 8.0].map(|backlog| control.ceiling.share(backlog));

    assert_eq!(shares(beaulac), [200, 500, 1000]);
    assert_eq!(shares(confeitaria), [200, 200, 350]);
    assert_eq!(Ceiling::Fixed(300).share(9.0), 300);
}

#[test]
fn the_noisy_kind_is_told_from_its_quiet_neighbours() {
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

/// Jobs come and go for months; what was learnt of each must not pile up.
#[test]
fn what_is_learnt_of_pairs_is_bounded() {
    let mut learnt = Interference::default();

    for at in 0..20_000_u32 {
        let kinds = [(JobFamily((at % 900) as u16), 1.0), (JobFamily((at % 77) as u16), 1.0)];
        learnt.learn(JobFamily((at % 40) as u16), &kinds, 1_500);
    }

    assert!(learnt.len() <= Interference::MAX_PAIRS, "{} pairs", learnt.len());
}
