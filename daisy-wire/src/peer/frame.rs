//! Encoding and decoding of frames: length, version, message.

use bincode::{Decode, Encode, config};

use crate::WireError;

/// The protocol version of the messages between entry VMs.
pub const VERSION: u16 = 1;

/// The maximum length of a message in bytes. A state of the design size is many times smaller;
/// a corrupt or hostile length field cannot make a process allocate more than this.
pub const MAX_FRAME: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;

/// Encodes `message` as a frame.
pub fn frame<T: Encode>(message: &T) -> Vec<u8> {
    let mut buf = vec![0; LENGTH_BYTES];
    buf.extend_from_slice(&VERSION.to_le_bytes());
    bincode::encode_into_std_write(message, &mut buf, config::standard())
        .expect("encoding plain data into memory cannot fail");
    let len = u32::try_from(buf.len() - LENGTH_BYTES).expect("messages are bounded by their types");
    buf[..LENGTH_BYTES].copy_from_slice(&len.to_le_bytes());
    buf
}

/// Splits a byte stream into frames and decodes their messages.
#[derive(Debug)]
pub struct FrameDecoder {
    buf: Vec<u8>,
    limit: usize,
}

impl FrameDecoder {
    /// Creates a decoder that rejects frames of more than `limit` bytes, or of more than
    /// [`MAX_FRAME`] bytes if that is less.
    pub fn new(limit: usize) -> FrameDecoder {
        FrameDecoder { buf: Vec::new(), limit: limit.min(MAX_FRAME) }
    }

    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether no part of a frame is buffered, so that the stream may end here.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Decodes the next message; `None` if its frame is not complete yet.
    ///
    /// # Errors
    ///
    /// If the frame is too long, has a newer version, or cannot be decoded. The stream cannot
    /// be used any further then.
    pub fn try_next<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let len = u32::from_le_bytes(*head) as usize;
        // Rejected by the length field alone, before any more of the frame is buffered.
        if len > self.limit {
            let reason = format!("frame of {len} bytes exceeds the limit of {}", self.limit);
            return Err(WireError::Field { field: "length", reason });
        }
        let end = LENGTH_BYTES + len;
        if self.buf.len() < end {
            return Ok(None);
        }
        let message = decode(&self.buf[LENGTH_BYTES..end])?;
        self.buf.drain(..end);
        Ok(Some(message))
    }

    /// Decodes the only message of a stream that has ended.
    ///
    /// # Errors
    ///
    /// As for [`FrameDecoder::try_next`], and if the frame is truncated or not the only one.
    pub fn only<T: Decode<()>>(mut self) -> Result<T, WireError> {
        let message = self.try_next()?;
        let message =
            message.ok_or_else(|| WireError::Malformed("message truncated".to_owned()))?;
        match self.is_empty() {
            true => Ok(message),
            false => Err(WireError::Malformed("unexpected bytes after the message".to_owned())),
        }
    }
}

fn decode<T: Decode<()>>(payload: &[u8]) -> Result<T, WireError> {
    let Some((version, rest)) = payload.split_first_chunk::<VERSION_BYTES>() else {
        return Err(WireError::Malformed("frame is too short for a version".to_owned()));
    };
    let found = u16::from_le_bytes(*version);
    if found > VERSION {
        return Err(WireError::Version { found, known: VERSION });
    }
    // The limit keeps a corrupt length inside the message from allocating too much memory.
    let limited = config::standard().with_limit::<MAX_FRAME>();
    let (message, used) = bincode::decode_from_slice(rest, limited)
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    match used == rest.len() {
        true => Ok(message),
        false => Err(WireError::Malformed("unexpected bytes after the message".to_owned())),
    }
}
