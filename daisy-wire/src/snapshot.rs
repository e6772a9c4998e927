//! Snapshots of the state: appended to the log, whose older records expire, and exchanged
//! between peers.

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

/// Encodes `state`; equal states have equal encodings.
pub fn encode(state: &State) -> Result<Vec<u8>, WireError> {
    encode_framed(StateWire::from(state))
}

/// Decodes a state.
pub fn decode(bytes: &[u8]) -> Result<State, WireError> {
    decode_framed::<StateWire>(bytes)?.try_into()
}

/// Returns the records of a snapshot of `state` for the log, each with at most `part_bytes`
/// bytes of it.
///
/// One sender must append all parts in order; records of other senders may come between them.
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
