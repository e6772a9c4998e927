//! Snapshots of the state: in the log against the end of its retention, and between peers.

mod restore;
mod state;

use daisy_ledger::{Record, State};

pub use self::{
    restore::{NoSnapshot, Restore},
    state::StateWire,
};
use crate::{
    WireError,
    log::{decode_framed, encode_framed},
};

/// The bytes of `state`; equal states have equal bytes.
pub fn encode(state: &State) -> Result<Vec<u8>, WireError> {
    encode_framed(StateWire::from(state))
}

/// The state that `bytes` hold.
pub fn decode(bytes: &[u8]) -> Result<State, WireError> {
    decode_framed::<StateWire>(bytes)?.try_into()
}

/// The records that put a snapshot of `state` into the log, of at most `part_bytes` bytes each.
///
/// Parts are appended in order by one sender; parts of others may stand between them.
pub fn write(state: &State, part_bytes: usize) -> Result<Vec<Record>, WireError> {
    let bytes = encode(state)?;
    let chunks = bytes.chunks(part_bytes.max(1));
    let parts = chunks.len() as u32;
    let records = chunks.zip(0..).map(|(chunk, part)| Record::Snapshot {
        through: state.next,
        part,
        parts,
        bytes: chunk.to_vec(),
    });
    Ok(records.collect())
}
