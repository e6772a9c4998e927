//! Resources are exact: what overflows or goes below zero is refused.

use daisy_model::Resources;
use quickcheck::{Gen, QuickCheck};

const SIZE: usize = 100;
const SEED: u64 = 0x5eed_0002;

fn resources(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators }
}

#[test]
fn a_sum_taken_apart_gives_its_parts() {
    fn property(a: (u32, u32, u32), b: (u32, u32, u32)) -> bool {
        let (a, b) = (resources(a.0, a.1, a.2), resources(b.0, b.1, b.2));
        match a.try_add(b) {
            Some(sum) => sum.try_sub(b) == Some(a) && a.fits(sum),
            None => true,
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn((u32, u32, u32), (u32, u32, u32)) -> bool);
}

#[test]
fn one_missing_part_is_enough_not_to_fit() {
    let room = resources(1_000, 512, 0);

    assert!(resources(1_000, 512, 0).fits(room));
    assert!(!resources(1_001, 0, 0).fits(room));
    assert!(!resources(0, 513, 0).fits(room));
    assert!(!resources(0, 0, 1).fits(room));
}

#[test]
fn overflow_is_refused() {
    let most = resources(u32::MAX, 0, 0);

    assert_eq!(most.try_add(resources(1, 0, 0)), None);
    assert_eq!(most.try_mul(2), None);
}

#[test]
fn the_scarcest_part_says_how_many_times_a_need_fits() {
    let room = Resources { cpu_milli: 12_000, memory_mib: 1_000, accelerators: 0 };
    let need = Resources { cpu_milli: 3_000, memory_mib: 400, accelerators: 0 };

    assert_eq!(room.count_fitting(need), 2);
    assert_eq!(room.count_fitting(Resources { memory_mib: 0, ..need }), 4);
    assert_eq!(room.count_fitting(Resources { accelerators: 1, ..need }), 0);
}
