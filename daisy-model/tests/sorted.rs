//! The sorted vector behaves like a map.

use std::collections::BTreeMap;

use daisy_model::SortedMap;
use quickcheck::{Gen, QuickCheck};

const SIZE: usize = 100;
const SEED: u64 = 0x5eed_0001;

fn fixed() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn a_sorted_map_behaves_like_a_btree_map() {
    fn property(steps: Vec<(u8, Option<u16>)>) -> bool {
        let mut map = SortedMap::new();
        let mut reference = BTreeMap::new();
        for (key, value) in steps {
            let same = match value {
                Some(value) => map.insert(key, value) == reference.insert(key, value),
                None => map.remove(&key) == reference.remove(&key),
            };
            if !same {
                return false;
            }
        }
        map.iter().eq(reference.iter())
    }

    fixed().quickcheck(property as fn(Vec<(u8, Option<u16>)>) -> bool);
}

#[test]
fn ranges_are_half_open() {
    fn property(keys: Vec<u8>, from: u8, to: u8) -> bool {
        let map: SortedMap<u8, ()> = keys.iter().map(|&key| (key, ())).collect();

        let found: Vec<u8> = map.range(&from, &to).map(|(&key, ())| key).collect();

        let mut expected: Vec<u8> =
            keys.into_iter().filter(|key| (from..to).contains(key)).collect();
        expected.sort_unstable();
        expected.dedup();
        found == expected
    }

    fixed().quickcheck(property as fn(Vec<u8>, u8, u8) -> bool);
}
