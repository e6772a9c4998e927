//! What followers read from a reader's cache.

use std::time::Duration;

use bytes::Bytes;
use daisy_model::Instant;
use daisy_relay::{Batch, RecordCache, StoredRecord};

const NOW: Instant = Instant(1_000_000);
const ALL: usize = usize::MAX;

fn record(offset: u64, key: &str, value: &'static str) -> StoredRecord {
    StoredRecord { offset, key: key.to_owned(), value: Bytes::from(value) }
}

/// Returns a cache with the records 10 to 13, where 13 removes the key of 10, read up to the log's
/// end now.
fn cache() -> RecordCache {
    let mut cache = RecordCache::default();
    cache.restart(&[record(3, "a", "old"), record(9, "b", "1")], 10);
    cache.extend(&[record(10, "c", "1"), record(11, "b", "2")], 10, 12);
    cache.extend(&[record(12, "d", "1"), record(13, "c", "")], 12, 14);
    cache.reached_end(NOW);
    cache
}

fn offsets(batch: &Batch) -> Vec<u64> {
    batch.records.iter().map(|it| it.offset).collect()
}

#[test]
fn a_follower_gets_the_records_from_its_offset_on() {
    let batch = cache().read(NOW + Duration::from_millis(30), Some(11), ALL).expect("records");

    assert_eq!(offsets(&batch), [11, 12, 13]);
    assert_eq!((batch.is_snapshot, batch.next), (false, 14));
    assert_eq!(batch.age, Some(Duration::from_millis(30)));
}

#[test]
fn a_follower_that_is_far_behind_gets_the_newest_record_of_each_key() {
    let batch = cache().read(NOW, Some(9), ALL).expect("records");

    assert_eq!(offsets(&batch), [3, 11, 12]);
    assert_eq!((batch.is_snapshot, batch.next), (true, 14));
}

/// Guards against a follower that treats an answer which holds a part of the records as recent.
#[test]
fn a_part_of_the_records_is_not_known_to_be_all() {
    let batch = cache().read(NOW, Some(10), 1).expect("records");

    assert_eq!(offsets(&batch), [10]);
    assert_eq!((batch.next, batch.age), (11, None));
}

#[test]
fn a_follower_of_some_keys_gets_only_these_and_knows_that_it_has_all() {
    let cache = cache();
    let is_wanted = |key: &str| key == "b" || key == "d";

    let whole = cache.read_matching(NOW, Some(10), ALL, is_wanted).expect("records");
    let part = cache.read_matching(NOW, Some(10), 1, is_wanted).expect("records");
    let snapshot = cache.read_matching(NOW, None, ALL, is_wanted).expect("records");

    assert_eq!((offsets(&whole), whole.next), (vec![11, 12], 14));
    assert!(whole.age.is_some());
    assert_eq!((offsets(&part), part.next, part.age), (vec![11], 12, None));
    assert_eq!((offsets(&snapshot), snapshot.next), (vec![11, 12], 14));
}

/// Guards against a follower that goes back, or holds its records for recent, after it has changed
/// to a reader that has read less than itself.
#[test]
fn a_follower_that_is_ahead_of_its_reader_keeps_its_offset() {
    let batch = cache().read(NOW, Some(20), ALL).expect("an answer");

    assert_eq!((offsets(&batch), batch.next, batch.age), (vec![], 20, None));
}

/// Guards against followers that miss the records which their reader has missed.
#[test]
fn a_cache_whose_records_have_a_gap_answers_nothing() {
    let mut cache = cache();

    cache.extend(&[record(16, "e", "1")], 16, 17);

    assert_eq!(cache.read(NOW, Some(14), ALL), None);
}

#[test]
fn a_reader_that_keeps_a_minute_of_records_drops_older_ones() {
    let mut cache = RecordCache::default();
    cache.restart(&[], 0);
    for at in 0..100_000 {
        cache.extend(&[record(at, "a", "1")], at, at + 1);
    }

    let batch = cache.read(NOW, Some(0), ALL).expect("records");

    assert_eq!((batch.is_snapshot, offsets(&batch)), (true, vec![99_999]));
}

/// Followers that change between readers, each at an offset of its own, know in the end what the log
/// holds, and never go back.
#[test]
fn followers_that_change_their_reader_never_go_back() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut caches = [RecordCache::default(), RecordCache::default()];
        caches.iter_mut().for_each(|it| it.restart(&[], 0));
        let mut log: Vec<StoredRecord> = Vec::new();
        let mut known = vec![None; 4];
        let mut next = None;
        let mut last = 0;
        for _ in 0..200 {
            let offset = log.len() as u64;
            let key = ["a", "b", "c", "d"][rng.usize(..4)];
            log.push(record(offset, key, if rng.u8(..4) == 0 { "" } else { "1" }));
            let cache = &mut caches[rng.usize(..2)];
            let from = cache.end().expect("a cache that was restarted");
            cache.extend(&log[from as usize..], from, log.len() as u64);
            if let Some(batch) = caches[rng.usize(..2)].read(NOW, next, 200) {
                if batch.is_snapshot {
                    known = vec![None; 4];
                }
                for it in batch.records {
                    known[usize::from(it.key.as_bytes()[0] - b'a')] =
                        (!it.value.is_empty()).then_some(it.offset);
                }
                assert!(batch.next >= last, "seed {seed}");
                last = batch.next;
                next = Some(batch.next);
            }
        }
        let end = log.len() as u64;
        let from = caches[0].end().expect("a cache that was restarted");
        caches[0].extend(&log[from as usize..], from, end);
        while next != Some(end) {
            let batch = caches[0].read(NOW, next, 200).expect("records");
            for it in batch.records {
                known[usize::from(it.key.as_bytes()[0] - b'a')] =
                    (!it.value.is_empty()).then_some(it.offset);
            }
            next = Some(batch.next);
        }
        let newest = |key: &str| {
            let of_key = log.iter().rev().find(|it| it.key == key);
            of_key.filter(|it| !it.value.is_empty()).map(|it| it.offset)
        };
        let expected: Vec<_> = ["a", "b", "c", "d"].map(newest).into();
        assert_eq!(known, expected, "seed {seed}");
    }
}
