//! Random sequences of faults: a key runs at most once, whatever happens.

use std::time::Duration;

use daisy_model::{DcId, VmId};
use quickcheck::{Arbitrary, Gen};

use crate::simulation::{STEP, Simulation, key};

/// Seeds that found a fault, with the number of entry VMs in each data centre; they are kept as
/// regression tests.
const REGRESSION_SEEDS: [(u64, u32); 10] = [
    (16, 3),
    (27, 3),
    (227, 1),
    (133, 2),
    (819, 2),
    (19, 1),
    (1230, 3),
    (1594, 1),
    (3161, 3),
    (11343, 3),
];
/// Number of seeds for each number of entry VMs.
const SEEDS_PER_SIZE: u64 = 40;
/// Number of steps of one run: 60 s.
const STEPS_PER_RUN: u32 = 600;
/// Entry VMs are not killed or stopped while at most this many are in service.
const MIN_NODES: usize = 3;
/// How long after its first attempt a caller sends repeats, well within the retry window.
const REPEAT_PERIOD: Duration = Duration::from_secs(12);

/// A fault that may occur in a step.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Freeze,
    Resume,
    Join,
    Leave,
    CutPair,
    CutDc,
    Heal,
    /// No fault.
    Skip,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let faults = [
            Fault::Kill,
            Fault::Freeze,
            Fault::Resume,
            Fault::Resume,
            Fault::Join,
            Fault::Join,
            Fault::Leave,
            Fault::CutPair,
            Fault::CutDc,
            Fault::Heal,
            Fault::Heal,
            Fault::Skip,
        ];
        *g.choose(&faults).unwrap()
    }
}

fn pick_node(
    sim: &mut Simulation,
    is_eligible: impl Fn(&crate::simulation::Node) -> bool,
) -> Option<VmId> {
    let vms: Vec<VmId> = sim.nodes.iter().filter(|n| is_eligible(n)).map(|n| n.vm).collect();
    (!vms.is_empty()).then(|| vms[sim.rng.usize(..vms.len())])
}

fn apply_fault(sim: &mut Simulation, fault: Fault) {
    let up = sim.nodes.iter().filter(|node| node.alive && !node.leaving).count();
    let victim = pick_node(sim, |node| node.alive && !node.frozen && !node.leaving);
    match (fault, victim) {
        (Fault::Kill, Some(vm)) if up > MIN_NODES => sim.kill(vm),
        (Fault::Freeze, Some(vm)) => sim.node(vm).frozen = true,
        (Fault::Leave, Some(vm)) if up > MIN_NODES => sim.stop_planned(vm),
        (Fault::Resume, _) => {
            if let Some(vm) = pick_node(sim, |node| node.frozen) {
                sim.node(vm).frozen = false;
            }
        }
        (Fault::Join, _) if up < 12 => {
            let dc = DcId(sim.rng.u16(..3));
            sim.join(dc);
        }
        (Fault::CutPair, Some(vm)) => {
            let other = pick_node(sim, |node| node.vm != vm);
            sim.cuts.extend(other.map(|other| (vm, other)));
        }
        (Fault::CutDc, _) => {
            let dc = DcId(sim.rng.u16(..3));
            let (inside, outside): (Vec<_>, Vec<_>) =
                sim.nodes.iter().partition(|node| node.dc == dc);
            let pairs = inside.iter().flat_map(|a| outside.iter().map(move |b| (a.vm, b.vm)));
            sim.cuts = pairs.collect();
        }
        (Fault::Heal, _) => sim.cuts.clear(),
        _ => {}
    }
}

/// Ends leaving entry VMs some time after they have handed over.
fn stop_leaving_nodes(sim: &mut Simulation) {
    let leaving_nodes: Vec<VmId> =
        sim.nodes.iter().filter(|n| n.alive && n.leaving).map(|n| n.vm).collect();
    for vm in leaving_nodes {
        if sim.rng.u8(..10) == 0 {
            sim.kill(vm);
        }
    }
}

/// A first attempt that is delayed on its way.
///
/// Its caller closes its connection before it sends a repeat, so the attempt can only arrive
/// through an entry VM that was already running when it was sent.
struct DelayedAttempt {
    number: u32,
    at: u32,
    vm: VmId,
}

/// How the callers of a run send a first attempt again that they were told has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resending {
    /// Not at all.
    Never,
    /// As the same attempt, as long as they have sent no repeat.
    AsFirst,
}

/// The newest first attempt of a key whose caller may send it again.
struct FirstAttempt {
    number: u32,
    attempt: usize,
}

/// Sends first attempts again whose callers were told that they have not run.
fn resend_first_attempts(sim: &mut Simulation, firsts: &mut [FirstAttempt]) {
    for first in firsts {
        if sim.told_not_run[first.attempt]
            && sim.rng.u8(..5) == 0
            && let Some(vm) = pick_node(sim, |node| node.alive)
        {
            first.attempt = sim.send_attempt(vm, key(first.number), false);
        }
    }
}

fn run_random_faults(seed: u64, per_dc: u32, resending: Resending) -> (u32, u32) {
    let mut g = Gen::from_size_and_seed(10, seed);
    let mut firsts: Vec<FirstAttempt> = Vec::new();
    let mut sim = Simulation::new(seed, per_dc);
    sim.loss_percent = *g.choose(&[0, 5, 20]).unwrap();
    sim.delivery_percent = *g.choose(&[100, 50, 20]).unwrap();
    let mut keys: Vec<(u32, u32)> = Vec::new();
    let mut delayed: Vec<DelayedAttempt> = Vec::new();
    for step in 0..STEPS_PER_RUN {
        if step % 5 == 0 {
            let fault =
                if bool::arbitrary(&mut g) { Fault::Skip } else { Fault::arbitrary(&mut g) };
            apply_fault(&mut sim, fault);
        }
        stop_leaving_nodes(&mut sim);
        if step % 7 == 0 {
            let number = keys.len() as u32;
            keys.push((number, step));
            // Some first attempts are lost before they reach an entry VM, some arrive late.
            match sim.rng.u8(..4) {
                0 => {}
                1 => {
                    let vm = pick_node(&mut sim, |node| node.alive);
                    let at = step + sim.rng.u32(1..100);
                    delayed.extend(vm.map(|vm| DelayedAttempt { number, at, vm }));
                }
                _ => {
                    let attempt = send_attempt(&mut sim, number, false);
                    firsts.extend(attempt.map(|attempt| FirstAttempt { number, attempt }));
                }
            }
        }
        if resending == Resending::AsFirst {
            resend_first_attempts(&mut sim, &mut firsts);
        }
        for DelayedAttempt { number, vm, .. } in delayed.iter().filter(|attempt| attempt.at == step)
        {
            if sim.node(*vm).alive {
                sim.send_attempt(*vm, key(*number), false);
            }
        }
        let recent =
            keys.iter().filter(|(_, started_at)| STEP * (step - started_at) < REPEAT_PERIOD);
        let recent: Vec<u32> = recent.map(|(number, _)| *number).collect();
        for number in recent {
            if sim.rng.u8(..30) == 0 {
                firsts.retain(|it| it.number != number);
                send_attempt(&mut sim, number, true);
            }
        }
        sim.advance_one_step();
    }
    sim.advance(Duration::from_secs(8));
    let most_runs = keys.iter().map(|(number, _)| sim.run_count(&key(*number))).max().unwrap_or(0);
    let ran = keys.iter().filter(|(number, _)| sim.run_count(&key(*number)) > 0).count();
    (most_runs, ran as u32)
}

fn send_attempt(sim: &mut Simulation, number: u32, repeated: bool) -> Option<usize> {
    let vm = pick_node(sim, |node| node.alive)?;
    Some(sim.send_attempt(vm, key(number), repeated))
}

/// Guards against an order that runs twice through a combination of faults, none of which explains
/// it alone: entry VMs are killed, freeze, resume, stop, join, lose messages and are partitioned in
/// any order, while the caller repeats its order everywhere.
#[test]
fn no_sequence_of_faults_runs_a_key_twice() {
    let mut ran = 0;
    let seeds = (0..SEEDS_PER_SIZE).flat_map(|seed| [(seed, 1), (seed, 2), (seed, 3)]);
    for (seed, per_dc) in seeds.chain(REGRESSION_SEEDS) {
        let (most_runs, ran_keys) = run_random_faults(seed, per_dc, Resending::Never);
        assert!(
            most_runs <= 1,
            "seed {seed}, {per_dc} entry VMs in each data centre: a key ran {most_runs} times"
        );
        ran += ran_keys;
    }
    // Enough keys must run for the test to be meaningful.
    assert!(ran > 2_000, "only {ran} keys ran");
}

/// Guards against an order that runs twice because a first attempt that was rejected is sent again
/// as the same attempt, past the fences that it has set.
#[test]
fn no_first_attempt_that_is_sent_again_runs_twice() {
    let seeds = (0..SEEDS_PER_SIZE).flat_map(|seed| [(seed, 1), (seed, 2), (seed, 3)]);
    for (seed, per_dc) in seeds {
        let (most_runs, _) = run_random_faults(seed, per_dc, Resending::AsFirst);
        assert!(
            most_runs <= 1,
            "seed {seed}, {per_dc} entry VMs in each data centre: a key ran {most_runs} times"
        );
    }
}
