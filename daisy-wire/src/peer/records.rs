//! The log's records, passed on within a data centre.

use bincode::{Decode, Encode};
use daisy_model::Offset;

/// Asks for all records from an offset on, as they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct RecordsFrom {
    /// The first offset wanted.
    pub offset: u64,
}

/// One message of the stream of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pushed {
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

/// See [`Pushed`].
#[derive(Debug, Encode, Decode)]
pub enum PushedWire {
    /// See [`Pushed::Snapshot`].
    Snapshot {
        /// The offset of the next record.
        next: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// See [`Pushed::Records`].
    Records {
        /// The offset of the first.
        first: u64,
        /// The bytes of each.
        bodies: Vec<Vec<u8>>,
    },
}

impl From<Pushed> for PushedWire {
    fn from(pushed: Pushed) -> PushedWire {
        match pushed {
            Pushed::Snapshot { next, bytes } => PushedWire::Snapshot { next: next.0, bytes },
            Pushed::Records { first, bodies } => PushedWire::Records { first: first.0, bodies },
        }
    }
}

impl From<PushedWire> for Pushed {
    fn from(pushed: PushedWire) -> Pushed {
        match pushed {
            PushedWire::Snapshot { next, bytes } => Pushed::Snapshot { next: Offset(next), bytes },
            PushedWire::Records { first, bodies } => {
                Pushed::Records { first: Offset(first), bodies }
            }
        }
    }
}
