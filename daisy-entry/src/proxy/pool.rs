//! Connections to backend servers, with a limit for each server.
//!
//! The pooled client of hyper-util limits idle connections only and hides whether a request was
//! written. A backend server accepts a fixed number of connections from all entry VMs together, and
//! `not-run` requires proof that nothing was written, so this pool is built on hyper's own client.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use daisy_model::SortedMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::proxy::body::RequestBody;

/// Why no connection could be obtained; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(super) enum PoolError {
    /// This entry VM has reached its limit of connections to the backend server.
    #[error("all {limit} connections in use")]
    Full {
        /// The limit.
        limit: u32,
    },
    /// The backend server does not accept connections.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke before it was used.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// All connections of this entry VM to backend servers.
#[derive(Debug, Default)]
pub(super) struct Pool {
    backends: Mutex<SortedMap<SocketAddr, Arc<BackendConnections>>>,
}

#[derive(Debug, Default)]
struct BackendConnections {
    state: Mutex<BackendConnectionState>,
}

#[derive(Debug, Default)]
struct BackendConnectionState {
    open: u32,
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    tx: SendRequest<RequestBody>,
}

/// Counts one open connection until its driver task ends.
#[derive(Debug)]
struct OpenConnection {
    backend: Arc<BackendConnections>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.backend.state).open -= 1;
    }
}

/// A connection in use by one request; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct PooledConnection {
    backend: Arc<BackendConnections>,
    /// Where requests are sent.
    pub(super) tx: SendRequest<RequestBody>,
}

impl PooledConnection {
    /// Returns the connection to the pool; only allowed after a complete answer.
    pub(super) fn release(self) {
        let PooledConnection { backend, tx } = self;
        if !tx.is_closed() {
            lock(&backend.state).idle.push(IdleConnection { tx });
        }
    }
}

impl Pool {
    /// Returns a connection to `address`, of which at most `limit` are open at a time.
    pub(super) async fn acquire(
        &self,
        address: SocketAddr,
        limit: u32,
    ) -> Result<PooledConnection, PoolError> {
        let backend = Arc::clone(lock(&self.backends).get_or_insert_with(address, Arc::default));
        while let Some(IdleConnection { mut tx }) = pop_idle(&backend) {
            if tx.ready().await.is_ok() {
                return Ok(PooledConnection { backend, tx });
            }
        }
        let open =
            BackendConnections::try_open(&backend, limit).ok_or(PoolError::Full { limit })?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("event=backend_connection address={address} error={err:?}");
            }
            drop(open);
        });
        Ok(PooledConnection { backend, tx })
    }

    /// Closes idle connections to backend servers for which `keep` returns false.
    pub(super) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        lock(&self.backends).retain(|address, backend| {
            let mut state = lock(&backend.state);
            state.idle.retain(|conn| !conn.tx.is_closed());
            if !keep(address) {
                state.idle.clear();
            }
            keep(address) || state.open > 0
        });
    }
}

impl BackendConnections {
    fn try_open(backend: &Arc<BackendConnections>, limit: u32) -> Option<OpenConnection> {
        let mut state = lock(&backend.state);
        if state.open >= limit {
            return None;
        }
        state.open += 1;
        Some(OpenConnection { backend: Arc::clone(backend) })
    }
}

fn pop_idle(backend: &BackendConnections) -> Option<IdleConnection> {
    lock(&backend.state).idle.pop()
}

/// Locks `mutex`; the guarded data is consistent between statements, so poisoning is ignored.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
