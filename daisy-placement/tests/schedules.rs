//! Random schedules of two and more holders over workers that keep the platform's rules.

mod util;

use quickcheck::{Gen, QuickCheck, TestResult};
use util::Chaos;

/// Calls, answers and appends are lost, late and doubled; holders freeze, are replaced and
/// wake; VMs die; the log is cut off; jobs are cancelled while they start and end.
/// A user would see a task in two places, started or resumed twice, or a VM over its size;
/// or, once the faults end, work that is never done.
#[test]
fn no_schedule_breaks_capacity_or_runs_work_twice() {
    fn holds(seed: u64) -> TestResult {
        let mut chaos = Chaos::new(seed);
        match chaos.run(600).and_then(|()| chaos.settle()) {
            Ok(()) => TestResult::passed(),
            Err(fault) => TestResult::error(format!("seed {seed}: {fault}")),
        }
    }
    let rng = Gen::new(64);
    QuickCheck::new().rng(rng).tests(60).quickcheck(holds as fn(u64) -> TestResult);
}

/// Fixed seeds, so that every run covers the same ground besides what is drawn anew.
#[test]
fn fixed_schedules_hold() {
    for seed in 0..60 {
        let mut chaos = Chaos::new(seed);
        let result = chaos.run(600).and_then(|()| chaos.settle());
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}
