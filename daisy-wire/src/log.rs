//! Encoding of the platform's log entries: bincode with a version and a checksum in front.
//!
//! An entry consists of a version (2 bytes, little endian), a checksum of version and body
//! (8 bytes, little endian), and the body. The version and the checksum stay at the same
//! position in all versions.

mod command;
mod record;

use bincode::config::{self, Config};
use daisy_ledger::Batch;

use crate::WireError;

pub use self::record::BatchWire;

pub(crate) use self::{
    command::{ChangeWire, JobSpecWire, PolicyWire, ResourcesWire, WorkClassWire, parse_name},
    record::ExitWire,
};

/// The newest entry version that this build can read, and the version that it writes.
pub const VERSION: u16 = 1;

/// The maximum length of an entry in bytes: the platform's limit for one append.
pub const MAX_LEN: usize = 1 << 20;

const HEADER_LEN: usize = 10;

/// Returns the encoding of the body: variable-length integers, and a limit on the decoded size
/// (64 times [`MAX_LEN`]), so that a corrupt length field cannot allocate much memory.
fn body_config() -> impl Config {
    config::standard().with_limit::<{ 64 * MAX_LEN }>()
}

/// Encodes `batch`.
///
/// # Errors
///
/// If the encoded batch is longer than [`MAX_LEN`].
pub fn encode(batch: &Batch) -> Result<Vec<u8>, WireError> {
    let buf = encode_framed(BatchWire::from(batch))?;
    if buf.len() > MAX_LEN { Err(too_long(buf.len())) } else { Ok(buf) }
}

/// Decodes a batch.
///
/// A reader skips an entry that is [`Malformed`](WireError::Malformed) or has an invalid
/// [`Field`](WireError::Field), but only after it has read the entry from the platform a second
/// time, so that all readers skip the same entries. It stops at an entry of a newer
/// [`Version`](WireError::Version): newer processes apply that entry, so if this reader skipped
/// it, their states would differ.
pub fn decode(bytes: &[u8]) -> Result<Batch, WireError> {
    if bytes.len() > MAX_LEN {
        return Err(too_long(bytes.len()));
    }
    decode_framed::<BatchWire>(bytes)?.try_into()
}

/// Encodes `value` with the version and the checksum in front.
pub(crate) fn encode_framed<T: bincode::Encode>(value: T) -> Result<Vec<u8>, WireError> {
    let body = bincode::encode_to_vec(value, body_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    let mut buf = Vec::with_capacity(HEADER_LEN + body.len());
    buf.extend_from_slice(&VERSION.to_le_bytes());
    buf.extend_from_slice(&checksum(VERSION, &body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

/// Decodes a value that was encoded with [`encode_framed`].
pub(crate) fn decode_framed<T: bincode::Decode<()>>(bytes: &[u8]) -> Result<T, WireError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err(WireError::Malformed(format!(
            "entry of {} bytes is shorter than its header",
            bytes.len()
        )));
    };
    let version = u16::from_le_bytes([header[0], header[1]]);
    let stored_checksum = header[2..].try_into().map(u64::from_le_bytes).unwrap_or_default();
    if stored_checksum != checksum(version, body) {
        return Err(WireError::Malformed("checksum does not match".to_owned()));
    }
    if version > VERSION {
        return Err(WireError::Version { found: version, known: VERSION });
    }
    decode_body(body)
}

/// Decodes `body`; bytes after the value are an error.
fn decode_body<T: bincode::Decode<()>>(body: &[u8]) -> Result<T, WireError> {
    let (value, used) = bincode::decode_from_slice(body, body_config())
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    if used != body.len() {
        return Err(WireError::Malformed(format!("{} bytes after the value", body.len() - used)));
    }
    Ok(value)
}

/// Returns the 64-bit FNV-1a hash of the version and the body. It detects corruption, not
/// forgery.
fn checksum(version: u16, body: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = version.to_le_bytes().into_iter().chain(body.iter().copied());
    bytes.fold(BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

fn too_long(len: usize) -> WireError {
    WireError::Malformed(format!("entry of {len} bytes exceeds the limit of {MAX_LEN}"))
}
