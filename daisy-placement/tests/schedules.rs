//! Random schedules of two or more holders with workers that enforce the platform's rules.

mod util;

use quickcheck::{Gen, QuickCheck, TestResult};
use util::Chaos;

/// Calls, answers and appends are lost, late and duplicated; holders pause, are replaced and
/// resume; VMs fail; the log is unreachable; jobs are cancelled while they start and end. No
/// task may run in two places or be started or resumed twice, no VM may exceed its capacity, and
/// all work must end once the faults have ended.
#[test]
fn no_random_schedule_exceeds_capacity_or_runs_a_task_twice() {
    fn keeps_the_rules(seed: u64) -> TestResult {
        let mut chaos = Chaos::new(seed);
        match chaos.run(600).and_then(|()| chaos.settle()) {
            Ok(()) => TestResult::passed(),
            Err(fault) => TestResult::error(format!("seed {seed}: {fault}")),
        }
    }
    let rng = Gen::new(64);
    QuickCheck::new().rng(rng).tests(60).quickcheck(keeps_the_rules as fn(u64) -> TestResult);
}

/// Fixed seeds, so that every run covers the same schedules besides the random ones.
#[test]
fn schedules_of_fixed_seeds_keep_the_rules() {
    for seed in 0..60 {
        let mut chaos = Chaos::new(seed);
        let result = chaos.run(600).and_then(|()| chaos.settle());
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}
