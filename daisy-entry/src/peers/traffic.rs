//! Counts the bytes on the connections to peers, HTTP/2 frames included.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes sent to and received from all peers; clones share the totals.
#[derive(Debug, Clone, Default)]
pub(crate) struct Traffic {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Traffic {
    /// Returns the bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Wraps a socket so that its bytes are counted.
    pub fn count(&self, socket: TcpStream) -> CountedSocket {
        CountedSocket { socket, traffic: self.clone() }
    }
}

/// A socket whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: TcpStream,
    traffic: Traffic,
}

impl CountedSocket {
    fn count_written(&self, outcome: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = outcome {
            self.traffic.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        outcome
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let outcome = Pin::new(&mut self.socket).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.traffic.received.fetch_add(bytes as u64, Ordering::Relaxed);
        outcome
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.count_written(outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.count_written(outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
