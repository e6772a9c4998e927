//! Following a topic of the platform's log.

use std::time::Duration;

use daisy_platform::{Store, StoreError, StoredRecord, Topic};
use tokio::time::sleep;

/// How long a call to the platform may take beyond the time that it is asked to wait.
///
/// Its answers take 4 ms, and up to 60 times as long on a slow day.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The same, for every second call to a platform that does not answer.
///
/// A call that was sent into a silence gets no answer when the silence ends: the next one does. The
/// others have the whole time, in case the platform is slow.
const CALL_TIMEOUT_LOST: Duration = Duration::from_millis(350);
/// Before a call that failed is made again.
const RETRY: Duration = Duration::from_millis(150);

/// A position in a topic that keeps the newest record of each key.
#[derive(Debug)]
pub(crate) struct Tail {
    store: Store,
    topic: Topic,
    /// Where to read on; `None` before the first read and after records were dropped unread.
    next: Option<u64>,
    /// Calls in a row that have failed.
    failures: u32,
}

/// What a read gave.
#[derive(Debug)]
pub(crate) struct Read {
    /// The records, oldest first.
    pub records: Vec<StoredRecord>,
    /// Whether there was nothing after them.
    pub at_end: bool,
}

impl Tail {
    /// A tail of `topic` that has read nothing.
    pub fn new(store: Store, topic: Topic) -> Tail {
        Tail { store, topic, next: None, failures: 0 }
    }

    /// Where to read on.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Reads what is new; waits up to `wait` for it. A failure is logged and takes a short pause.
    pub async fn try_read(&mut self, wait: Duration) -> Option<Read> {
        let (wait, timeout) = match self.failures {
            0 => (wait, CALL_TIMEOUT),
            it if it % 2 == 1 => (Duration::ZERO, CALL_TIMEOUT_LOST),
            _ => (Duration::ZERO, CALL_TIMEOUT),
        };
        let outcome = match self.next {
            None => self.store.newest(self.topic, timeout).await.map(|it| {
                self.next = Some(it.end);
                Read { records: it.records, at_end: true }
            }),
            Some(from) => {
                let page = self.store.read(self.topic, from, wait, timeout).await;
                page.map(|it| {
                    self.next = Some(it.next);
                    Read { records: it.records, at_end: it.next >= it.end }
                })
            }
        };
        match outcome {
            Ok(read) => {
                if std::mem::take(&mut self.failures) > 0 {
                    log::info!("event=log_regained topic={:?}", self.topic);
                }
                Some(read)
            }
            Err(e) => {
                if let StoreError::Expired(first) = &e {
                    log::warn!("event=log_gap topic={:?} first={first}", self.topic);
                    self.next = None;
                    return None;
                }
                self.failures += 1;
                if self.failures == 1 {
                    log::warn!("event=log_lost topic={:?} cause=\"{e}\"", self.topic);
                }
                sleep(RETRY).await;
                None
            }
        }
    }
}
