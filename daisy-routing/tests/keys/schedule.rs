//! Schedules of faults drawn at random: whatever happens, a key runs at most once.

use std::time::Duration;

use daisy_model::{DcId, VmId};
use quickcheck::{Arbitrary, Gen};

use crate::world::{STEP, World, key};

/// Worlds that found a fault, with the entry VMs of a data centre; they stay.
const FOUND: [(u64, u32); 10] = [
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
/// Worlds of each size.
const WORLDS: u64 = 40;
/// Steps of one world: 60 s.
const STEPS: u32 = 600;
/// Entry VMs are not killed, frozen or stopped below this number in all.
const MIN_NODES: usize = 3;
/// How long after its first attempt a caller repeats, well within the retry window.
const REPEATS: Duration = Duration::from_secs(12);

/// What may happen in a step.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Freeze,
    Thaw,
    Join,
    Leave,
    CutPair,
    CutDc,
    Heal,
    Calm,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let faults = [
            Fault::Kill,
            Fault::Freeze,
            Fault::Thaw,
            Fault::Thaw,
            Fault::Join,
            Fault::Join,
            Fault::Leave,
            Fault::CutPair,
            Fault::CutDc,
            Fault::Heal,
            Fault::Heal,
            Fault::Calm,
        ];
        *g.choose(&faults).unwrap()
    }
}

fn pick(world: &mut World, wanted: impl Fn(&crate::world::Node) -> bool) -> Option<VmId> {
    let vms: Vec<VmId> = world.nodes.iter().filter(|n| wanted(n)).map(|n| n.vm).collect();
    (!vms.is_empty()).then(|| vms[world.rng.usize(..vms.len())])
}

fn apply(world: &mut World, fault: Fault) {
    let up = world.nodes.iter().filter(|node| node.alive && !node.leaving).count();
    let victim = pick(world, |node| node.alive && !node.frozen && !node.leaving);
    match (fault, victim) {
        (Fault::Kill, Some(vm)) if up > MIN_NODES => world.kill(vm),
        (Fault::Freeze, Some(vm)) => world.node(vm).frozen = true,
        (Fault::Leave, Some(vm)) if up > MIN_NODES => world.leave(vm),
        (Fault::Thaw, _) => {
            if let Some(vm) = pick(world, |node| node.frozen) {
                world.node(vm).frozen = false;
            }
        }
        (Fault::Join, _) if up < 12 => {
            let dc = DcId(world.rng.u16(..3));
            world.join(dc);
        }
        (Fault::CutPair, Some(vm)) => {
            let other = pick(world, |node| node.vm != vm);
            world.cuts.extend(other.map(|other| (vm, other)));
        }
        (Fault::CutDc, _) => {
            let dc = DcId(world.rng.u16(..3));
            let (inside, outside): (Vec<_>, Vec<_>) =
                world.nodes.iter().partition(|node| node.dc == dc);
            let pairs = inside.iter().flat_map(|a| outside.iter().map(move |b| (a.vm, b.vm)));
            world.cuts = pairs.collect();
        }
        (Fault::Heal, _) => world.cuts.clear(),
        _ => {}
    }
}

/// Leaving entry VMs end some time after they have handed over.
fn end_leavers(world: &mut World) {
    let leavers: Vec<VmId> =
        world.nodes.iter().filter(|n| n.alive && n.leaving).map(|n| n.vm).collect();
    for vm in leavers {
        if world.rng.u8(..10) == 0 {
            world.kill(vm);
        }
    }
}

/// A first attempt that is held up on its way.
///
/// Its caller closes its connection before it repeats, so it can only come through an entry VM
/// that was there when it was sent.
struct Late {
    number: u32,
    at: u32,
    vm: VmId,
}

fn play(seed: u64, per_dc: u32) -> (u32, u32) {
    let mut g = Gen::from_size_and_seed(10, seed);
    let mut world = World::new(seed, per_dc);
    world.loss = *g.choose(&[0, 5, 20]).unwrap();
    world.speed = *g.choose(&[100, 50, 20]).unwrap();
    let mut keys: Vec<(u32, u32)> = Vec::new();
    let mut late: Vec<Late> = Vec::new();
    for step in 0..STEPS {
        if step % 5 == 0 {
            let fault =
                if bool::arbitrary(&mut g) { Fault::Calm } else { Fault::arbitrary(&mut g) };
            apply(&mut world, fault);
        }
        end_leavers(&mut world);
        if step % 7 == 0 {
            let number = keys.len() as u32;
            keys.push((number, step));
            // Some first attempts are lost before they reach an entry VM, some come late.
            match world.rng.u8(..4) {
                0 => {}
                1 => {
                    let vm = pick(&mut world, |node| node.alive);
                    let at = step + world.rng.u32(1..100);
                    late.extend(vm.map(|vm| Late { number, at, vm }));
                }
                _ => call(&mut world, number, false),
            }
        }
        for Late { number, vm, .. } in late.iter().filter(|late| late.at == step) {
            if world.node(*vm).alive {
                world.call(*vm, key(*number), false);
            }
        }
        let recent = keys.iter().filter(|(_, begun)| STEP * (step - begun) < REPEATS);
        let recent: Vec<u32> = recent.map(|(number, _)| *number).collect();
        for number in recent {
            if world.rng.u8(..30) == 0 {
                call(&mut world, number, true);
            }
        }
        world.step();
    }
    world.pass(Duration::from_secs(8));
    let most = keys.iter().map(|(number, _)| world.runs_of(&key(*number))).max().unwrap_or(0);
    let ran = keys.iter().filter(|(number, _)| world.runs_of(&key(*number)) > 0).count();
    (most, ran as u32)
}

fn call(world: &mut World, number: u32, repeated: bool) {
    if let Some(vm) = pick(world, |node| node.alive) {
        world.call(vm, key(number), repeated);
    }
}

/// A buyer gets two boxes, and no single failure explains it: entry VMs die, freeze, wake, stop,
/// join, lose messages and each other, in any order, while she repeats her order everywhere.
#[test]
fn no_schedule_runs_a_key_twice() {
    let mut ran = 0;
    let worlds = (0..WORLDS).flat_map(|seed| [(seed, 1), (seed, 2), (seed, 3)]);
    for (seed, per_dc) in worlds.chain(FOUND) {
        let (most, some) = play(seed, per_dc);
        assert!(most <= 1, "seed {seed}, {per_dc} a data centre: a key ran {most} times");
        ran += some;
    }
    // The schedules must leave enough running to say anything.
    assert!(ran > 2_000, "{ran}");
}
