//! The stream that forwards the log's records within a data centre.

use bincode::{Decode, Encode};
use daisy_model::Offset;

/// Requests all records from an offset on, including those appended later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct RecordsRequest {
    /// The offset of the first record to send.
    pub offset: u64,
}

/// A message of the record stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordStreamMessage {
    /// The state up to an offset, sent if the sender no longer has the records before it.
    Snapshot {
        /// The offset of the first record that the state does not include.
        next: Offset,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// Consecutive records.
    Records {
        /// The offset of the first record.
        first: Offset,
        /// The bytes of each record, as in the log.
        bodies: Vec<Vec<u8>>,
    },
}

/// See [`RecordStreamMessage`].
#[derive(Debug, Encode, Decode)]
pub enum RecordStreamMessageWire {
    /// See [`RecordStreamMessage::Snapshot`].
    Snapshot {
        /// The offset of the first record that the state does not include.
        next: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// See [`RecordStreamMessage::Records`].
    Records {
        /// The offset of the first record.
        first: u64,
        /// The bytes of each record.
        bodies: Vec<Vec<u8>>,
    },
}

impl From<RecordStreamMessage> for RecordStreamMessageWire {
    fn from(message: RecordStreamMessage) -> RecordStreamMessageWire {
        match message {
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
    fn from(message: RecordStreamMessageWire) -> RecordStreamMessage {
        match message {
            RecordStreamMessageWire::Snapshot { next, bytes } => {
                RecordStreamMessage::Snapshot { next: Offset(next), bytes }
            }
            RecordStreamMessageWire::Records { first, bodies } => {
                RecordStreamMessage::Records { first: Offset(first), bodies }
            }
        }
    }
}
