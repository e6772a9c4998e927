//! Passes bytes on and counts them.

use std::{
    net::SocketAddr,
    ops::Add,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Bytes over any number of relays.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Bytes so far.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// From whoever opened the connections.
    pub sent: u64,
    /// To whoever opened the connections.
    pub received: u64,
}

impl Add for Traffic {
    type Output = Traffic;

    fn add(self, rhs: Traffic) -> Traffic {
        Traffic { sent: self.sent + rhs.sent, received: self.received + rhs.received }
    }
}

impl Counter {
    /// Bytes so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Relays connections to `to`; what is sent there counts as sent.
///
/// # Errors
///
/// If no port can be taken.
pub async fn start(to: SocketAddr, counter: Arc<Counter>) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                let Ok(to) = TcpStream::connect(to).await else { return };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                let (from_read, from_write) = from.into_split();
                let (to_read, to_write) = to.into_split();
                tokio::join!(
                    pass(from_read, to_write, &counter.sent),
                    pass(to_read, from_write, &counter.received),
                );
            });
        }
    });
    Ok(address)
}

async fn pass<R, W>(mut from: R, mut to: W, count: &AtomicU64)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buf = vec![0; 16 << 10];
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        count.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
    // The other side learns that this one has ended; if it is gone already, so much the better.
    let _ = to.shutdown().await;
}
