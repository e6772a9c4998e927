//! Relays connections and counts their bytes.

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

/// Counts the bytes of any number of relays.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Bytes counted so far.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Bytes from the side that opened the connections.
    pub sent: u64,
    /// Bytes to the side that opened the connections.
    pub received: u64,
}

impl Add for Traffic {
    type Output = Traffic;

    fn add(self, rhs: Traffic) -> Traffic {
        Traffic { sent: self.sent + rhs.sent, received: self.received + rhs.received }
    }
}

impl Counter {
    /// Returns the bytes counted so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// Starts a relay to `to` and returns its address. Bytes towards `to` are counted as sent.
///
/// # Errors
///
/// If no port can be opened.
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
                    copy_counted(from_read, to_write, &counter.sent),
                    copy_counted(to_read, from_write, &counter.received),
                );
            });
        }
    });
    Ok(address)
}

/// Copies bytes until one side ends the connection, and adds them to `count`.
async fn copy_counted<R, W>(mut from: R, mut to: W, count: &AtomicU64)
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
    // Tells the other side that this one has ended; an error means that it is closed already.
    let _ = to.shutdown().await;
}
