//! Random schedules of loss, delay, pauses, deaths and outages, from fixed seeds.

use std::time::Duration;

use daisy_model::DcId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::fleet::Fleet;

/// Seeds every run; a seed that found a fault is added here.
const SEEDS: [u64; 3] = [20_261, 4_242, 77];
/// Schedules for each seed.
const TESTS: u64 = 40;
/// Entry VMs of each of the two data centres.
const PER_DC: u32 = 4;

/// What happens to an entry VM, or to the log.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(u32),
    Kill(u32),
    CutFromLog(u32),
    LogDown,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy)]
struct Planned {
    fault: Fault,
    wait: Duration,
    lasts: Duration,
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    loss: u32,
    delay: Duration,
    faults: Vec<Planned>,
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
            let lasts = Duration::from_millis(u64::from(200 + below(8_000)));
            faults.push(Planned { fault, wait, lasts });
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

fn set(fleet: &mut Fleet, fault: Fault, on: bool) {
    match fault {
        Fault::Pause(vm) => fleet.nodes[vm as usize - 1].frozen = on,
        Fault::CutFromLog(vm) => fleet.nodes[vm as usize - 1].reaches_log = !on,
        Fault::LogDown => fleet.log_up = !on,
        Fault::Kill(vm) => fleet.nodes[vm as usize - 1].alive = false,
    }
}

fn play(schedule: &Schedule, faults: bool) -> Fleet {
    let mut fleet = Fleet::new(2, PER_DC, schedule.seed);
    let settled = |it: &Fleet| (0..2).all(|dc| it.holders(dc).len() == 1);
    fleet.until(Duration::from_secs(20), settled).expect("a quiet start");
    (fleet.loss, fleet.delay) = (schedule.loss, schedule.delay);
    for planned in schedule.faults.iter().filter(|_| faults) {
        fleet.run(planned.wait);
        set(&mut fleet, planned.fault, true);
        fleet.run(planned.lasts);
        set(&mut fleet, planned.fault, false);
    }
    fleet.run(Duration::from_secs(15));
    fleet
}

/// However the faults fall, each data centre that has an entry VM left comes back to one
/// holder, and no entry VM ever claims the workers of another data centre.
#[test]
fn one_holder_comes_back_after_any_faults() {
    check(|schedule| {
        let fleet = play(&schedule, true);
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

/// Each fault makes at most one change-over, and one more where two candidates claim at the
/// same time: claims do not race on and on.
#[test]
fn no_more_claims_than_faults_ask_for() {
    check(|schedule| play(&schedule, true).claims.len() <= 2 + 2 * schedule.faults.len());
}

/// Lost and late heartbeats alone, up to one in five and 150 ms, depose nobody.
#[test]
fn loss_and_delay_alone_depose_nobody() {
    check(|schedule| play(&schedule, false).claims.len() == 2);
}
