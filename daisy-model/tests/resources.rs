//! Arithmetic on resources is exact: an overflow or a negative part gives `None`.

use daisy_model::Resources;
use quickcheck::{Gen, QuickCheck};

const SIZE: usize = 100;
const SEED: u64 = 0x5eed_0002;

fn resources(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators }
}

#[test]
fn subtracting_one_summand_from_a_sum_gives_the_other() {
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
fn resources_do_not_fit_if_one_part_is_too_large() {
    let available = resources(1_000, 512, 0);

    assert!(resources(1_000, 512, 0).fits(available));
    assert!(!resources(1_001, 0, 0).fits(available));
    assert!(!resources(0, 513, 0).fits(available));
    assert!(!resources(0, 0, 1).fits(available));
}

#[test]
fn sums_and_products_that_overflow_are_none() {
    let most = resources(u32::MAX, 0, 0);

    assert_eq!(most.try_add(resources(1, 0, 0)), None);
    assert_eq!(most.try_mul(2), None);
}

#[test]
fn the_scarcest_part_limits_how_often_a_need_fits() {
    let available = Resources { cpu_milli: 12_000, memory_mib: 1_000, accelerators: 0 };
    let need = Resources { cpu_milli: 3_000, memory_mib: 400, accelerators: 0 };

    assert_eq!(available.count_fitting(need), 2);
    assert_eq!(available.count_fitting(Resources { memory_mib: 0, ..need }), 4);
    assert_eq!(available.count_fitting(Resources { accelerators: 1, ..need }), 0);
}
