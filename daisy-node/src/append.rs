//! Group commit of submissions and cancellations.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisy_model::{Instant, SortedMap};
use daisy_platform::{Guard, Store, StoreError, Topic};
use daisy_workflow::ShardId;
use futures::future::join_all;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::clock;

/// The shortest and the longest time that an append may take before its outcome counts as unknown.
///
/// A caller waits for 3 s: where answers are lost, half a second leaves time for five tries. On
/// the platform's slow days an append takes 0.4 s, and 1.1 s behind those of all other VMs.
const TIMEOUT_MIN: Duration = Duration::from_millis(500);
const TIMEOUT_MAX: Duration = Duration::from_millis(1_700);
/// The timeout, in times of what appends took of late.
const TIMEOUT_FACTOR: u32 = 6;
/// Records of one append. A submission has at most some 10 KB, and the platform takes 2 MB.
const BATCH_MAX: usize = 100;
/// Appends under way at one time, so that one that hangs does not hold up the others.
const UNDER_WAY_MAX: usize = 2;
/// Appends that take longer than this go one at a time: the platform takes them one after the
/// other, so more of them under way only make its queue longer.
const SLOW: Duration = Duration::from_millis(80);
/// How long nothing may be answered, while appends are made, before the log counts as silent:
/// longer than an append takes on the platform's slow days.
const SILENT: Duration = Duration::from_millis(1_200);
/// How often an append is tried while the log is silent; callers in between are told at once that
/// nothing was stored, instead of waiting for the same silence.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// A record that waits for its append.
#[derive(Debug)]
struct Waiter {
    shard: ShardId,
    key: String,
    value: Vec<u8>,
    tx: oneshot::Sender<Result<(), StoreError>>,
}

/// Hands records to the task that appends them in batches.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    tx: mpsc::Sender<Waiter>,
    pace: Pace,
}

impl Appender {
    /// Starts the task.
    pub fn start(store: Store) -> Appender {
        /// Requests that wait for an append; more than a small VM has connections.
        const WAITING_MAX: usize = 4_096;
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        let pace = Pace::default();
        tokio::spawn(run(store, rx, pace.clone()));
        Appender { tx, pace }
    }

    /// Whether the last appends went unanswered, so that the next one is not worth waiting for.
    pub fn is_cut_off(&self) -> bool {
        self.pace.lock().is_lost(clock::now())
    }

    /// Appends a record; the outcome is that of the append that held it.
    pub async fn append(
        &self,
        shard: ShardId,
        key: String,
        value: Vec<u8>,
    ) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        if self.tx.try_send(Waiter { shard, key, value, tx }).is_err() {
            return Err(StoreError::NotDone("too many appends wait".to_owned()));
        }
        match rx.await {
            Ok(outcome) => outcome,
            Err(_) => Err(StoreError::Unknown("the process stops".to_owned())),
        }
    }
}

/// How the log takes appends, shared between them.
#[derive(Debug, Clone, Default)]
struct Pace {
    state: Arc<Mutex<PaceState>>,
    freed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct PaceState {
    /// What appends took of late; one that went unanswered counts with its timeout.
    took: Duration,
    under_way: usize,
    /// When the first append began that went unanswered, if none was answered since.
    unanswered_since: Option<Instant>,
    probed_at: Instant,
}

impl Pace {
    fn lock(&self) -> MutexGuard<'_, PaceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until another append may begin, and gives its timeout.
    async fn begin(&self) -> Duration {
        loop {
            let freed = self.freed.notified();
            if let Some(timeout) = self.lock().try_begin() {
                return timeout;
            }
            freed.await;
        }
    }

    fn end(&self, took: Duration, outcome: &Result<(), StoreError>) {
        self.lock().end(clock::now(), took, outcome);
        self.freed.notify_one();
    }
}

impl PaceState {
    fn try_begin(&mut self) -> Option<Duration> {
        let most = if self.took > SLOW { 1 } else { UNDER_WAY_MAX };
        if self.under_way >= most {
            return None;
        }
        self.under_way += 1;
        Some((self.took * TIMEOUT_FACTOR).clamp(TIMEOUT_MIN, TIMEOUT_MAX))
    }

    fn end(&mut self, now: Instant, took: Duration, outcome: &Result<(), StoreError>) {
        self.under_way -= 1;
        self.took = (self.took + took) / 2;
        self.unanswered_since = match outcome {
            Err(StoreError::Unknown(_)) => self.unanswered_since.or(Some(now - took)),
            _ => None,
        };
    }

    /// One call in each [`PROBE_EVERY`] finds the log reachable, so that its return shows.
    fn is_lost(&mut self, now: Instant) -> bool {
        if self.unanswered_since.is_none_or(|at| now.since(at) < SILENT) {
            return false;
        }
        let probe = now.since(self.probed_at) >= PROBE_EVERY;
        if probe {
            self.probed_at = now;
        }
        !probe
    }
}

async fn run(store: Store, mut rx: mpsc::Receiver<Waiter>, pace: Pace) {
    let mut batch = Vec::new();
    loop {
        // What comes while earlier appends are under way gathers and goes out together.
        let timeout = pace.begin().await;
        if rx.recv_many(&mut batch, BATCH_MAX).await == 0 {
            return;
        }
        let store = store.clone();
        let batch = std::mem::take(&mut batch);
        let pace = pace.clone();
        tokio::spawn(async move {
            let began = clock::now();
            let outcome = append(&store, batch, timeout).await;
            pace.end(clock::now().since(began), &outcome);
        });
    }
}

/// Appends records of several shards at the same time; the outcome is that of any append that was
/// answered, as it tells whether the log is there.
async fn append(store: &Store, batch: Vec<Waiter>, timeout: Duration) -> Result<(), StoreError> {
    let mut shards: SortedMap<ShardId, Vec<Waiter>> = SortedMap::new();
    for it in batch {
        shards.get_or_insert_with(it.shard, Vec::new).push(it);
    }
    let mut appends = Vec::with_capacity(shards.len());
    for (shard, waiters) in shards.iter_mut() {
        appends.push(append_to(store, *shard, std::mem::take(waiters), timeout));
    }
    let outcomes = join_all(appends).await;
    let unanswered = |it: &Result<(), StoreError>| matches!(it, Err(StoreError::Unknown(_)));
    let mut first = Ok(());
    for it in outcomes {
        if !unanswered(&it) {
            return it;
        }
        first = it;
    }
    first
}

async fn append_to(
    store: &Store,
    shard: ShardId,
    batch: Vec<Waiter>,
    timeout: Duration,
) -> Result<(), StoreError> {
    let mut records = Vec::with_capacity(batch.len());
    let mut waiters = Vec::with_capacity(batch.len());
    for Waiter { key, value, tx, .. } in batch {
        records.push((key, value));
        waiters.push(tx);
    }
    let outcome = store.append(Topic::Jobs(shard.0), &records, Guard::Free, timeout).await;
    let outcome = outcome.map(|_| ());
    for tx in waiters {
        // A caller that has left needs no answer.
        let _ = tx.send(outcome.clone());
    }
    outcome
}
