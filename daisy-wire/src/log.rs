//! Entries of the platform's log: bincode under a version and a checksum.
//!
//! An entry is a version (2 bytes, little endian), a checksum of version and body (8 bytes,
//! little endian) and the body. Version and checksum keep their place in all versions.

mod command;
mod record;

use bincode::config::{self, Config};
use daisy_ledger::Batch;

use crate::WireError;

pub use self::record::BatchWire;

pub(crate) use self::{
    command::{ChangeWire, JobSpecWire, PolicyWire, ResourcesWire, WorkClassWire, name},
    record::ExitWire,
};

/// The newest version of entries that this build reads, and the one that it writes.
pub const VERSION: u16 = 1;

/// The longest entry in bytes: what the platform takes in one append.
pub const MAX_LEN: usize = 1 << 20;

const HEADER_LEN: usize = 10;

/// The body's encoding: integers of variable length, and no length above [`MAX_LEN`], so that
/// a corrupt length allocates no memory.
fn body_config() -> impl Config {
    config::standard().with_limit::<{ 64 * MAX_LEN }>()
}

/// The bytes of `batch`.
///
/// Fails on a batch that is longer than [`MAX_LEN`].
pub fn encode(batch: &Batch) -> Result<Vec<u8>, WireError> {
    let buf = encode_framed(BatchWire::from(batch))?;
    if buf.len() > MAX_LEN { Err(too_long(buf.len())) } else { Ok(buf) }
}

/// The batch that `bytes` hold.
///
/// A reader passes over an entry that is [`Malformed`](WireError::Malformed) or holds a bad
/// [`Field`](WireError::Field), after reading it from the platform a second time: all readers
/// then pass over it alike. It stops at an entry of a newer [`Version`](WireError::Version):
/// newer processes take that entry in, so passing over it would make their states differ.
pub fn decode(bytes: &[u8]) -> Result<Batch, WireError> {
    if bytes.len() > MAX_LEN {
        return Err(too_long(bytes.len()));
    }
    decode_framed::<BatchWire>(bytes)?.try_into()
}

/// Encodes `value` under a version and a checksum.
pub(crate) fn encode_framed<T: bincode::Encode>(value: T) -> Result<Vec<u8>, WireError> {
    let body = bincode::encode_to_vec(value, body_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    let mut buf = Vec::with_capacity(HEADER_LEN + body.len());
    buf.extend_from_slice(&VERSION.to_le_bytes());
    buf.extend_from_slice(&checksum(VERSION, &body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

/// Decodes what [`encode_framed`] wrote.
pub(crate) fn decode_framed<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, WireError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err(WireError::Malformed(format!("{} bytes are too short", bytes.len())));
    };
    let version = u16::from_le_bytes([header[0], header[1]]);
    let found = header[2..].try_into().map(u64::from_le_bytes).unwrap_or_default();
    if found != checksum(version, body) {
        return Err(WireError::Malformed("checksum does not match".to_owned()));
    }
    if version > VERSION {
        return Err(WireError::Version { found: version, known: VERSION });
    }
    decode_body(body)
}

/// Decodes all of `body`; bytes left over are an error.
fn decode_body<T: bincode::Decode<()>>(body: &[u8]) -> Result<T, WireError> {
    let (value, used) = bincode::decode_from_slice(body, body_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if used != body.len() {
        return Err(WireError::Malformed(format!("{} bytes left over", body.len() - used)));
    }
    Ok(value)
}

/// 64-bit FNV-1a of the version and the body: guards against damage, not against forgery.
fn checksum(version: u16, body: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = version.to_le_bytes().into_iter().chain(body.iter().copied());
    bytes.fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn too_long(len: usize) -> WireError {
    WireError::Malformed(format!("{len} bytes are more than {MAX_LEN}"))
}
