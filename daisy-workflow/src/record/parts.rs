//! Records that are longer than the log stores in one piece.
//!
//! How long a record is depends on what callers submit: the number of tasks, and the length of
//! images and checkpoints. A value that is too long is stored in parts under several keys: the first
//! part under the record's own key, the others under keys with a number. Each part tells the digest
//! of the whole value, so that parts of different values are never joined. The parts of a value are
//! appended by one call, so the log has all of them or none.

use std::{
    borrow::Cow,
    hash::{DefaultHasher, Hash, Hasher},
};

use bincode::{Decode, Encode};
use daisy_model::SortedMap;

use super::{RecordError, decode_unframed, encode_unframed};

/// The version of a part of a value. Builds that cannot join parts reject it, as a job whose
/// progress is not read would be started again.
const PART_VERSION: u8 = 2;
/// Separates a key from the number of the part; occurs in no key of a record.
const PART_SEPARATOR: char = '~';
/// The most bytes of a part's value besides its piece of the whole: the version and the numbers of
/// [`PartWire`] at their longest.
pub(super) const PART_OVERHEAD: usize = 1 + 9 + 3 + 9;

/// The key and the value of a record as the log stores it.
pub type EncodedRecord = (String, Vec<u8>);

/// The number of parts that the log has of each record that was ever stored in several.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartCounts(SortedMap<String, u16>);

impl PartCounts {
    /// Returns what has to be appended for a record: the record itself or its parts, and records
    /// without a value that remove earlier parts.
    pub fn split(&mut self, (key, value): EncodedRecord, value_max: usize) -> Vec<EncodedRecord> {
        let earlier = self.0.get(&key).copied().unwrap_or(1);
        let mut records = match value.len() <= value_max {
            true => vec![(key.clone(), value)],
            false => parts(&key, &value, value_max),
        };
        let count = records.len() as u16;
        records.extend((count..earlier).map(|at| (part_key(&key, at), Vec::new())));
        match count {
            1 => drop(self.0.remove(&key)),
            _ => drop(self.0.insert(key, count)),
        }
        records
    }
}

#[derive(Debug, Encode, Decode)]
struct PartWire {
    digest: u64,
    /// The number of the value's parts.
    count: u16,
    piece: Vec<u8>,
}

fn parts(key: &str, value: &[u8], value_max: usize) -> Vec<EncodedRecord> {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    let digest = hasher.finish();
    let pieces = value.chunks(value_max);
    let count = pieces.len() as u16;
    let part = |(at, piece): (u16, &[u8])| {
        let mut bytes = vec![PART_VERSION];
        bytes.extend(encode_unframed(PartWire { digest, count, piece: piece.to_vec() }));
        (part_key(key, at), bytes)
    };
    (0u16..).zip(pieces).map(part).collect()
}

fn part_key(key: &str, at: u16) -> String {
    match at {
        0 => key.to_owned(),
        at => format!("{key}{PART_SEPARATOR}{at}"),
    }
}

/// Returns the key of the record, and the number of the part.
fn split_part_key(key: &str) -> (&str, u16) {
    let numbered = key.rsplit_once(PART_SEPARATOR);
    let numbered = numbered.and_then(|(key, at)| Some((key, at.parse().ok()?)));
    numbered.unwrap_or((key, 0))
}

/// What was read of a record that is stored in parts.
#[derive(Debug, Clone, Default)]
struct StoredParts {
    /// The digest and the number of parts of the newest value, if that has several.
    newest: Option<(u64, u16)>,
    /// The digest of the value that each part belongs to, and its piece of that value.
    pieces: SortedMap<u16, (u64, Vec<u8>)>,
}

impl StoredParts {
    /// Returns the newest value, once all its parts were read.
    fn try_join(&self) -> Option<Vec<u8>> {
        let (digest, count) = self.newest?;
        let mut value = Vec::new();
        for at in 0..count {
            let (_, piece) = self.pieces.get(&at).filter(|(of, _)| *of == digest)?;
            value.extend_from_slice(piece);
        }
        Some(value)
    }
}

/// A whole record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinedRecord<'a> {
    /// The record's key.
    pub key: &'a str,
    /// The record's value; empty if the record was removed.
    pub value: Cow<'a, [u8]>,
}

/// Joins the parts of records as they are read, in any order and also repeatedly.
#[derive(Debug, Clone, Default)]
pub struct PartJoiner(SortedMap<String, StoredParts>);

impl PartJoiner {
    /// Processes a record of the log. Returns a whole record, or `None` if the record is a part and
    /// others are missing.
    ///
    /// # Errors
    ///
    /// If the record is a part that cannot be decoded.
    pub fn add<'a>(
        &mut self,
        key: &'a str,
        value: &'a [u8],
    ) -> Result<Option<JoinedRecord<'a>>, RecordError> {
        let (record_key, at) = split_part_key(key);
        if value.first() != Some(&PART_VERSION) {
            if let Some(it) = self.0.get_mut(&record_key.to_owned()) {
                match at {
                    0 => it.newest = None,
                    at => drop(it.pieces.remove(&at)),
                }
            }
            return Ok((at == 0).then_some(JoinedRecord { key, value: Cow::Borrowed(value) }));
        }
        let (PartWire { digest, count, piece }, _) = decode_unframed(&value[1..])?;
        let stored = self.0.get_or_insert_with(record_key.to_owned(), StoredParts::default);
        stored.pieces.insert(at, (digest, piece));
        if at == 0 {
            stored.newest = Some((digest, count));
        }
        let joined = stored.try_join();
        Ok(joined.map(|value| JoinedRecord { key: record_key, value: Cow::Owned(value) }))
    }

    /// Returns whether parts of the newest value of any record are missing.
    pub fn is_incomplete(&self) -> bool {
        self.0.iter().any(|(_, it)| it.newest.is_some() && it.try_join().is_none())
    }

    /// Returns the number of parts that the log has of each record.
    pub fn part_counts(&self) -> PartCounts {
        let last = |it: &StoredParts| it.pieces.iter().map(|(at, _)| *at).max();
        let counts = self.0.iter().filter_map(|(key, it)| Some((key.clone(), last(it)? + 1)));
        PartCounts(counts.filter(|(_, count)| *count > 1).collect())
    }
}
