//! The open connections of callers, and which of them is closed when there are too many.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use daisy_model::SortedMap;
use tokio::sync::Notify;

/// Counts open connections up to a limit. Beyond it, each new connection closes the one that has
/// waited longest for its caller.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    state: Arc<Mutex<State>>,
    max: usize,
    /// Notified when a connection has ended.
    ended: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    /// Connections that wait for a request, or for the rest of one, in the order in which they
    /// began to wait.
    waiting: SortedMap<u64, Arc<Closing>>,
    waits: u64,
}

/// Tells a connection to close.
#[derive(Debug, Default)]
struct Closing {
    requested: Notify,
    is_closed: AtomicBool,
}

/// An open connection; ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Connections,
    closing: Arc<Closing>,
    /// The number of its current wait, or of its last one.
    wait: AtomicU64,
}

impl Connections {
    /// Returns a counter of at most `max` open connections.
    pub fn new(max: usize) -> Connections {
        Connections { state: Arc::default(), max, ended: Arc::default() }
    }

    /// Counts a new connection, which waits for a request. If too many are open, closes the one that
    /// has waited longest; if all are being served, returns once one has ended.
    pub async fn open(&self) -> Connection {
        loop {
            let ended = self.ended.notified();
            if let Some(it) = self.try_open() {
                return it;
            }
            ended.await;
        }
    }

    fn try_open(&self) -> Option<Connection> {
        let mut state = self.lock();
        if state.open >= self.max {
            let longest = state.waiting.iter().next().map(|(number, _)| *number)?;
            let closing = state.waiting.remove(&longest)?;
            closing.is_closed.store(true, Ordering::Release);
            closing.requested.notify_one();
            state.open -= 1;
        }
        state.open += 1;
        drop(state);
        let connections = self.clone();
        let it = Connection { connections, closing: Arc::default(), wait: AtomicU64::new(0) };
        it.begin_wait();
        Some(it)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Notes that the connection waits for its caller from now on, and may be closed. The last wait
    /// has not ended if its request was rejected unread.
    pub fn begin_wait(&self) {
        let mut state = self.connections.lock();
        if self.closing.is_closed.load(Ordering::Acquire) {
            return;
        }
        state.waiting.remove(&self.wait.load(Ordering::Acquire));
        state.waits += 1;
        let number = state.waits;
        state.waiting.insert(number, self.closing.clone());
        self.wait.store(number, Ordering::Release);
    }

    /// Notes that a request has arrived as a whole. Returns false if the connection is being closed.
    pub fn end_wait(&self) -> bool {
        self.connections.lock().waiting.remove(&self.wait.load(Ordering::Acquire)).is_some()
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closing.requested.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.waiting.remove(&self.wait.load(Ordering::Acquire));
        if !self.closing.is_closed.load(Ordering::Acquire) {
            state.open -= 1;
            self.connections.ended.notify_one();
        }
    }
}
