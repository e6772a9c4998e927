//! Sends and receives framed messages on h2 streams.

use std::future::poll_fn;

use bincode::{Decode, Encode};
use bytes::Bytes;
use daisy_wire::{
    WireError,
    peer::{FrameDecoder, frame},
};
use h2::{RecvStream, SendStream};

/// Why a stream between peers failed.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection or the stream broke.
    #[error(transparent)]
    H2(#[from] h2::Error),
    /// The received data does not decode.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The stream ended in the middle of a message, or before one.
    #[error("the stream is cut off")]
    Cut,
}

/// Receives messages.
#[derive(Debug)]
pub struct Receiver {
    stream: RecvStream,
    frames: FrameDecoder,
}

impl Receiver {
    /// Creates a receiver that rejects messages of more than `limit` bytes.
    pub fn new(stream: RecvStream, limit: usize) -> Receiver {
        Receiver { stream, frames: FrameDecoder::new(limit) }
    }

    /// Returns the next message, or `None` at the regular end of the stream.
    ///
    /// # Errors
    ///
    /// If the stream broke, ended within a message, or holds something that does not decode.
    pub async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>, StreamError> {
        loop {
            if let Some(message) = self.frames.try_next()? {
                return Ok(Some(message));
            }
            match self.stream.data().await {
                Some(bytes) => {
                    let bytes = bytes?;
                    self.frames.push(&bytes);
                    self.stream.flow_control().release_capacity(bytes.len())?;
                }
                None if self.frames.is_empty() => return Ok(None),
                None => return Err(StreamError::Cut),
            }
        }
    }

    /// Returns the only message of a stream.
    ///
    /// # Errors
    ///
    /// As for [`Receiver::next`], and if the stream ends before a message.
    pub async fn only<T: Decode<()>>(&mut self) -> Result<T, StreamError> {
        self.next().await?.ok_or(StreamError::Cut)
    }
}

/// Sends messages.
#[derive(Debug)]
pub struct Sender {
    stream: SendStream<Bytes>,
}

impl Sender {
    /// Creates a sender on `stream`.
    pub fn new(stream: SendStream<Bytes>) -> Sender {
        Sender { stream }
    }

    /// Sends a message as fast as the peer's flow control allows.
    ///
    /// # Errors
    ///
    /// If the stream broke, or the peer closed it.
    pub async fn send<T: Encode>(&mut self, message: &T, last: bool) -> Result<(), StreamError> {
        let mut rest = Bytes::from(frame(message));
        while !rest.is_empty() {
            self.stream.reserve_capacity(rest.len());
            let granted = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted = granted.ok_or(StreamError::Cut)??;
            let part = rest.split_to(granted.min(rest.len()));
            self.stream.send_data(part, last && rest.is_empty())?;
        }
        Ok(())
    }

    /// Ends the stream.
    pub fn finish(&mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }
}
