//! What is learned about finite work.

use std::time::Duration;

use daisy_admission::{FiniteLoad, OfferedLoad};
use daisy_model::{Instant, Resources};

const START: Instant = Instant(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn cores(cores: u32) -> Resources {
    Resources { cpu_milli: cores * 1_000, memory_mib: cores * 2_000, accelerators: 0 }
}

/// Returns the load of a step of ten tasks of one core and one second, every second for ten seconds.
fn steady_load() -> (Instant, FiniteLoad) {
    let mut load = FiniteLoad::new(START);
    let mut now = START;
    for _ in 0..10 {
        load.step_arrived(now, cores(1), 10, SECOND);
        now = now + SECOND;
    }
    (now, load)
}

#[test]
fn a_steady_load_uses_its_rate_times_its_duration() {
    let (now, load) = steady_load();

    let offered = load.offered(now);

    assert_eq!(offered, OfferedLoad { cpu_milli: 10_000, variance: 100 });
    assert_eq!(load.concurrent_tasks(now, 1.0).len(), 10);
}

#[test]
fn tasks_that_take_twice_as_long_as_estimated_use_twice_as_much() {
    let (now, mut load) = steady_load();

    for _ in 0..2_000 {
        load.task_ended(SECOND, 2 * SECOND);
    }

    let cpu_milli = load.offered(now).cpu_milli;
    assert!((19_000..=20_500).contains(&cpu_milli), "{cpu_milli}");
}

#[test]
fn work_that_arrived_long_ago_is_no_load() {
    let (now, mut load) = steady_load();
    let later = now + 11 * SECOND;

    load.expire(later);

    assert_eq!(load.offered(later), OfferedLoad::default());
}

#[test]
fn the_first_job_does_not_count_as_a_burst() {
    let mut load = FiniteLoad::new(START);

    load.step_arrived(START, cores(1), 10, SECOND);

    let cpu_milli = load.offered(START + Duration::from_millis(10)).cpu_milli;
    assert_eq!(cpu_milli, 5_000);
}

#[test]
fn large_tasks_are_listed_before_small_ones() {
    let (now, mut load) = steady_load();
    load.step_arrived(now, cores(30), 10, SECOND);

    let tasks = load.concurrent_tasks(now, 1.0);

    assert_eq!(tasks.first(), Some(&cores(30)));
    assert!(tasks.is_sorted_by_key(|it| std::cmp::Reverse(it.cpu_milli)));
}

#[test]
fn peaks_of_many_shards_level_out() {
    let load = OfferedLoad { cpu_milli: 10_000, variance: 25 };

    let (one, nine) = (load.peak_factor(1), load.peak_factor(9));

    assert!((1.8..1.9).contains(&one), "{one}");
    assert!((1.25..1.3).contains(&nine), "{nine}");
    assert_eq!(OfferedLoad::default().peak_factor(1), 1.0);
}
