//! A connection that can send an answer twice.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Orders that the next answer on one connection is sent twice.
#[derive(Debug, Clone, Default)]
pub(crate) struct RepeatSwitch {
    armed: Arc<AtomicBool>,
}

impl RepeatSwitch {
    /// Orders that the bytes written until the next flush are sent twice.
    pub(crate) fn arm(&self) {
        self.armed.store(true, Ordering::Release);
    }
}

/// A TCP stream that sends the bytes written between [`RepeatSwitch::arm`] and the next flush twice.
#[derive(Debug)]
pub(crate) struct RepeatIo {
    stream: TcpStream,
    repeat: RepeatSwitch,
    /// Copies of the bytes written since the switch was armed.
    bytes_to_repeat: Vec<u8>,
}

impl RepeatIo {
    /// Wraps `stream`.
    pub(crate) fn new(stream: TcpStream, repeat: RepeatSwitch) -> RepeatIo {
        RepeatIo { stream, repeat, bytes_to_repeat: Vec::new() }
    }
}

impl AsyncRead for RepeatIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for RepeatIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        if self.repeat.armed.load(Ordering::Acquire) {
            self.bytes_to_repeat.extend_from_slice(&buf[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while !this.bytes_to_repeat.is_empty() {
            this.repeat.armed.store(false, Ordering::Release);
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, &this.bytes_to_repeat))?;
            this.bytes_to_repeat.drain(..written);
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
