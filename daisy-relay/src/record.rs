//! Records as the log stores them.

use bytes::Bytes;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record's offset in the log.
    pub offset: u64,
    /// The record's key.
    pub key: String,
    /// The record's value; empty if the record removes its key.
    pub value: Bytes,
}
