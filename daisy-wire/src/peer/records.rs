//! The log's records, passed on within a data centre.

use bincode::{Decode, Encode};
use daisy_model::Offset;

/// Asks for all records from an offset on, as they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct RecordsRequest {
    /// The first offset wanted.
    pub offset: u64,
}

/// One message of the stream of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordStreamMessage {
    /// The state up to an offset, where its records are no longer at hand.
    Snapshot {
        /// The offset of the next record.
        next: Offset,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// Consecutive records.
    Records {
        /// The offset of the first.
        first: Offset,
        /// The bytes of each, as in the log.
        bodies: Vec<Vec<u8>>,
    },
}

/// See [`RecordStreamMessage`].
#[derive(Debug, Encode, Decode)]
pub enum RecordStreamMessageWire {
    /// See [`RecordStreamMessage::Snapshot`].
    Snapshot {
        /// The offset of the next record.
        next: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// See [`RecordStreamMessage::Records`].
    Records {
        /// The offset of the first.
        first: u64,
        /// The bytes of each.
        bodies: Vec<Vec<u8>>,
    },
}

impl From<RecordStreamMessage> for RecordStreamMessageWire {
    fn from(pushed: RecordStreamMessage) -> RecordStreamMessageWire {
        match pushed {
            RecordStreamMessage::Snapshot { next, bytes } => {
                RecordStreamMessageWire::Snapshot { next: next.0, bytes }
            }
            RecordStreamMessage::Records { first, bodies } => {
                RecordStreamMessageWire::Records { first: first.0, bodies }
            }
        }
    }
}

impl From<RecordStreamMessageWire> for RecordStreamMessage {
    fn from(pushed: RecordStreamMessageWire) -> RecordStreamMessage {
        match pushed {
            RecordStreamMessageWire::Snapshot { next, bytes } => {
                RecordStreamMessage::Snapshot { next: Offset(next), bytes }
            }
            RecordStreamMessageWire::Records { first, bodies } => {
                RecordStreamMessage::Records { first: Offset(first), bodies }
            }
        }
    }
}
