//! Group commit of submissions and cancellations.

use daisy_platform::{Guard, Store, StoreError, Topic};
use tokio::sync::{mpsc, oneshot};

use std::time::Duration;

use daisy_model::Instant;

use crate::clock;

/// How long an append may take. On the platform's slow days it takes up to 0.4 s; a caller waits
/// for 3 s, so that an answer that was lost leaves time for a few more tries.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Records of one append. A submission has at most some 10 KB, and the platform takes 2 MB.
const BATCH_MAX: usize = 100;
/// Appends under way at one time, so that one that hangs does not hold up the others.
const UNDER_WAY_MAX: usize = 4;

/// How long after an append that went unanswered the next may be tried: until then callers are
/// told at once that nothing was stored, instead of waiting for the same silence.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// Whether the log answers appends.
#[derive(Debug, Clone, Default)]
struct Reach(std::sync::Arc<std::sync::Mutex<Option<Instant>>>);

impl Reach {
    fn note(&self, now: Instant, outcome: &Result<(), StoreError>) {
        let mut lost_at = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match outcome {
            Err(StoreError::Unknown(_)) => *lost_at = Some(now),
            _ => *lost_at = None,
        }
    }

    /// One call in each [`PROBE_EVERY`] finds the log reachable, so that its return shows.
    fn is_lost(&self) -> bool {
        let now = clock::now();
        let mut lost_at = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match *lost_at {
            Some(at) if now.since(at) < PROBE_EVERY => true,
            Some(_) => {
                *lost_at = Some(now);
                false
            }
            None => false,
        }
    }
}

type Waiter = (String, Vec<u8>, oneshot::Sender<Result<(), StoreError>>);

/// Hands records to the task that appends them in batches.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    tx: mpsc::Sender<Waiter>,
    reach: Reach,
}

impl Appender {
    /// Starts the task.
    pub fn start(store: Store) -> Appender {
        /// Requests that wait for an append; more than a small VM has connections.
        const WAITING_MAX: usize = 4_096;
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        let reach = Reach::default();
        tokio::spawn(run(store, rx, reach.clone()));
        Appender { tx, reach }
    }

    /// Whether the last appends went unanswered, so that the next one is not worth waiting for.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_lost()
    }

    /// Appends a record; the outcome is that of the append that held it.
    pub async fn append(&self, key: String, value: Vec<u8>) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        if self.tx.try_send((key, value, tx)).is_err() {
            return Err(StoreError::NotDone("too many appends wait".to_owned()));
        }
        match rx.await {
            Ok(outcome) => outcome,
            Err(_) => Err(StoreError::Unknown("the process stops".to_owned())),
        }
    }
}

async fn run(store: Store, mut rx: mpsc::Receiver<Waiter>, reach: Reach) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(UNDER_WAY_MAX));
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH_MAX).await > 0 {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let store = store.clone();
        let reach = reach.clone();
        let batch = std::mem::take(&mut batch);
        tokio::spawn(async move {
            append(&store, batch, &reach).await;
            drop(slot);
        });
    }
}

async fn append(store: &Store, batch: Vec<Waiter>, reach: &Reach) {
    let mut records = Vec::with_capacity(batch.len());
    let mut waiters = Vec::with_capacity(batch.len());
    for (key, value, tx) in batch {
        records.push((key, value));
        waiters.push(tx);
    }
    let outcome = store.append(Topic::Jobs, &records, Guard::Free, TIMEOUT).await;
    let outcome = outcome.map(|_| ());
    reach.note(clock::now(), &outcome);
    for tx in waiters {
        // A caller that has left needs no answer.
        let _ = tx.send(outcome.clone());
    }
}
