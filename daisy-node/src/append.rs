//! Group commit of submissions and cancellations.

use daisy_platform::{Guard, Store, StoreError, Topic};
use tokio::sync::{mpsc, oneshot};

use std::time::Duration;

/// How long an append may take. On the platform's slow days it takes up to 0.4 s; a caller waits
/// for 3 s, so that an answer that was lost leaves time for a few more tries.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Records of one append. A submission has at most some 10 KB, and the platform takes 2 MB.
const BATCH_MAX: usize = 100;
/// Appends under way at one time, so that one that hangs does not hold up the others.
const UNDER_WAY_MAX: usize = 4;

type Waiter = (String, Vec<u8>, oneshot::Sender<Result<(), StoreError>>);

/// Hands records to the task that appends them in batches.
#[derive(Debug, Clone)]
pub(crate) struct Appender(mpsc::Sender<Waiter>);

impl Appender {
    /// Starts the task.
    pub fn start(store: Store) -> Appender {
        /// Requests that wait for an append; more than a small VM has connections.
        const WAITING_MAX: usize = 4_096;
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        tokio::spawn(run(store, rx));
        Appender(tx)
    }

    /// Appends a record; the outcome is that of the append that held it.
    pub async fn append(&self, key: String, value: Vec<u8>) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        if self.0.try_send((key, value, tx)).is_err() {
            return Err(StoreError::NotDone("too many appends wait".to_owned()));
        }
        match rx.await {
            Ok(outcome) => outcome,
            Err(_) => Err(StoreError::Unknown("the process stops".to_owned())),
        }
    }
}

async fn run(store: Store, mut rx: mpsc::Receiver<Waiter>) {
    let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(UNDER_WAY_MAX));
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH_MAX).await > 0 {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let store = store.clone();
        let batch = std::mem::take(&mut batch);
        tokio::spawn(async move {
            append(&store, batch).await;
            drop(slot);
        });
    }
}

async fn append(store: &Store, batch: Vec<Waiter>) {
    let mut records = Vec::with_capacity(batch.len());
    let mut waiters = Vec::with_capacity(batch.len());
    for (key, value, tx) in batch {
        records.push((key, value));
        waiters.push(tx);
    }
    let outcome = store.append(Topic::Jobs, &records, Guard::Free, TIMEOUT).await;
    let outcome = outcome.map(|_| ());
    for tx in waiters {
        // A caller that has left needs no answer.
        let _ = tx.send(outcome.clone());
    }
}
