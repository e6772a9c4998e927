//! Random schedules of loss, delay, pauses, killed processes and outages, from fixed seeds.

use std::time::Duration;

use daisy_model::DcId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::fleet::Fleet;

/// The seeds of every run; a seed that found a fault is added here.
const SEEDS: [u64; 3] = [20_261, 4_242, 77];
/// The number of schedules for each seed.
const TESTS: u64 = 40;
/// The number of entry VMs in each of the two data centres.
const PER_DC: u32 = 4;

/// A fault of an entry VM or of the log.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(u32),
    Kill(u32),
    CutFromLog(u32),
    LogDown,
}

/// A fault, the wait before it and its duration.
#[derive(Debug, Clone, Copy)]
struct PlannedFault {
    fault: Fault,
    wait: Duration,
    duration: Duration,
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    loss: u32,
    delay: Duration,
    faults: Vec<PlannedFault>,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        let seed = u64::arbitrary(g);
        let mut below = |bound: u32| u32::arbitrary(g) % bound;
        let mut faults = Vec::new();
        for _ in 0..1 + below(5) {
            let vm = 1 + below(2 * PER_DC);
            let fault = match below(4) {
                0 => Fault::Pause(vm),
                1 => Fault::Kill(vm),
                2 => Fault::CutFromLog(vm),
                _ => Fault::LogDown,
            };
            let wait = Duration::from_millis(u64::from(below(4_000)));
            let duration = Duration::from_millis(u64::from(200 + below(8_000)));
            faults.push(PlannedFault { fault, wait, duration });
        }
        let loss = below(200);
        let delay = Duration::from_millis(u64::from(1 + below(150)));
        Schedule { seed, loss, delay, faults }
    }
}

fn check(property: fn(Schedule) -> bool) {
    for seed in SEEDS {
        let random = Gen::from_size_and_seed(32, seed);
        QuickCheck::new().rng(random).tests(TESTS).quickcheck(property);
    }
}

fn apply_fault(fleet: &mut Fleet, fault: Fault, on: bool) {
    match fault {
        Fault::Pause(vm) => fleet.nodes[vm as usize - 1].is_paused = on,
        Fault::CutFromLog(vm) => fleet.nodes[vm as usize - 1].can_reach_log = !on,
        Fault::LogDown => fleet.is_log_up = !on,
        Fault::Kill(vm) => fleet.nodes[vm as usize - 1].alive = false,
    }
}

fn run_schedule(schedule: &Schedule, faults: bool) -> Fleet {
    let mut fleet = Fleet::new(2, PER_DC, schedule.seed);
    let started_fleet = |it: &Fleet| (0..2).all(|dc| it.holders(dc).len() == 1);
    fleet.run_until(Duration::from_secs(20), started_fleet).expect("an undisturbed start");
    (fleet.loss, fleet.delay) = (schedule.loss, schedule.delay);
    for planned in schedule.faults.iter().filter(|_| faults) {
        fleet.run(planned.wait);
        apply_fault(&mut fleet, planned.fault, true);
        fleet.run(planned.duration);
        apply_fault(&mut fleet, planned.fault, false);
    }
    fleet.run(Duration::from_secs(15));
    fleet
}

/// After any faults, each data centre that has a live entry VM gets exactly one holder again, and
/// no entry VM ever claims the workers of another data centre.
#[test]
fn each_data_centre_has_one_holder_after_any_faults() {
    check(|schedule| {
        let fleet = run_schedule(&schedule, true);
        let own = |dc: u16| (u32::from(dc) * PER_DC + 1)..=(u32::from(dc + 1) * PER_DC);
        let foreign = fleet.claims.iter().any(|it| !own(it.dc.0).contains(&it.vm.0));
        let held = (0..2).all(|dc| {
            let mut left = fleet.nodes.iter().filter(|it| it.alive);
            let left = left.any(|it| it.membership.options().dc == DcId(dc));
            fleet.holders(dc).len() == usize::from(left)
        });
        held && !foreign
    });
}

/// Each fault causes at most one changeover, and one more where two candidates claim at the same
/// time: candidates must not replace each other again and again.
#[test]
fn at_most_two_claims_are_made_per_fault() {
    check(|schedule| run_schedule(&schedule, true).claims.len() <= 2 + 2 * schedule.faults.len());
}

/// Loss of up to one heartbeat in five and delays of up to 150 ms alone must not replace a holder.
#[test]
fn loss_and_delay_alone_cause_no_further_claim() {
    check(|schedule| run_schedule(&schedule, false).claims.len() == 2);
}
