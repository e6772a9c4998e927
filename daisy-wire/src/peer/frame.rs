//! Frames: length, version, message.

use bincode::{Decode, Encode, config};

use crate::WireError;

/// The version of the messages between entry VMs.
pub const VERSION: u16 = 1;

/// The longest message, in bytes: a state of the design size fits many times over, and a
/// broken or hostile length field cannot make a process reserve more.
pub const MAX_FRAME: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;

/// The frame that carries `message`.
pub fn frame<T: Encode>(message: &T) -> Vec<u8> {
    let mut buf = vec![0; LENGTH_BYTES];
    buf.extend_from_slice(&VERSION.to_le_bytes());
    bincode::encode_into_std_write(message, &mut buf, config::standard())
        .expect("encoding plain data into memory cannot fail");
    let len = u32::try_from(buf.len() - LENGTH_BYTES).expect("messages are bounded by their types");
    buf[..LENGTH_BYTES].copy_from_slice(&len.to_le_bytes());
    buf
}

/// Takes frames out of a stream of bytes.
#[derive(Debug)]
pub struct FrameDecoder {
    buf: Vec<u8>,
    limit: usize,
}

impl FrameDecoder {
    /// Refuses frames of more than `limit` bytes.
    pub fn new(limit: usize) -> FrameDecoder {
        FrameDecoder { buf: Vec::new(), limit: limit.min(MAX_FRAME) }
    }

    /// Takes the next bytes of the stream in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether the stream may end here: no part of a frame is left.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// The next whole message; `None` until more bytes have come.
    ///
    /// # Errors
    ///
    /// If the frame is too long, was written by a newer version or does not decode. The
    /// stream is of no further use then.
    pub fn try_next<T: Decode<()>>(&mut self) -> Result<Option<T>, WireError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let len = u32::from_le_bytes(*head) as usize;
        // Refused by its length field alone, before anything is kept for it.
        if len > self.limit {
            let reason = format!("{len} bytes, at most {} are taken", self.limit);
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

    /// The only message of a stream that has ended.
    ///
    /// # Errors
    ///
    /// As for [`FrameDecoder::try_next`], and if the stream was cut off or has more than one frame.
    pub fn only<T: Decode<()>>(mut self) -> Result<T, WireError> {
        let message = self.try_next()?;
        let message =
            message.ok_or_else(|| WireError::Malformed("the message is cut off".to_owned()))?;
        match self.is_empty() {
            true => Ok(message),
            false => Err(WireError::Malformed("bytes after the message".to_owned())),
        }
    }
}

fn decode<T: Decode<()>>(payload: &[u8]) -> Result<T, WireError> {
    let Some((version, rest)) = payload.split_first_chunk::<VERSION_BYTES>() else {
        return Err(WireError::Malformed("no version".to_owned()));
    };
    let found = u16::from_le_bytes(*version);
    if found > VERSION {
        return Err(WireError::Version { found, known: VERSION });
    }
    // The limit keeps a broken count inside the message from reserving memory.
    let limited = config::standard().with_limit::<MAX_FRAME>();
    let (message, used) = bincode::decode_from_slice(rest, limited)
        .map_err(|e| WireError::Malformed(e.to_string()))?;
    match used == rest.len() {
        true => Ok(message),
        false => Err(WireError::Malformed("bytes after the message".to_owned())),
    }
}
