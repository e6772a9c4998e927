//! Group commit of submissions and cancellations.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use daisy_model::{Instant, SortedMap};
use daisy_platform::{Guard, Store, StoreError, Topic};
use daisy_workflow::{LogHealth, SendDecision, ShardId};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant as Deadline, sleep, timeout_at},
};

use crate::{clock, shared::Shared};

/// Records of one append. A submission has at most some 10 KB, and the platform takes 2 MB.
const BATCH_MAX: usize = 100;
/// Between looks at records that wait while the log hangs.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A record that waits for its append.
#[derive(Debug)]
struct Waiter {
    shard: ShardId,
    key: String,
    value: Vec<u8>,
    since: Instant,
    /// Whether it was sent before, without an answer.
    again: bool,
    /// Set by whoever comes first: the task that sends it, or its caller, who has left.
    claimed: Arc<AtomicBool>,
    tx: oneshot::Sender<Result<(), StoreError>>,
}

/// Hands records to the task that appends them in batches.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    tx: mpsc::Sender<Waiter>,
    log: Log,
}

impl Appender {
    /// Starts the task.
    pub fn start(store: Store, shared: Shared) -> Appender {
        /// Requests that wait for an append; more than a small VM has connections.
        const WAITING_MAX: usize = 4_096;
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        let log = Log { store, shared, silences: Arc::default(), freed: Arc::default() };
        tokio::spawn(run(rx, log.clone()));
        Appender { tx, log }
    }

    /// Whether the partition of `shard` has fallen silent, so that the next append is not worth
    /// waiting for.
    pub fn is_cut_off(&self, shard: ShardId) -> bool {
        let now = clock::now();
        let silent = self.log.silence(now, shard, |it| it.is_unresponsive(now));
        if silent {
            self.log.ask_if_due(now, shard);
        }
        silent
    }

    /// Appends a record by `deadline`; the outcome is that of the append that held it. `again` says
    /// that it was sent before and may be stored already.
    pub async fn append(
        &self,
        shard: ShardId,
        key: String,
        value: Vec<u8>,
        again: bool,
        deadline: Deadline,
    ) -> Result<(), StoreError> {
        let (tx, rx) = oneshot::channel();
        let claimed = Arc::new(AtomicBool::new(false));
        let since = clock::now();
        let waiter = Waiter { shard, key, value, since, again, claimed: claimed.clone(), tx };
        if self.tx.try_send(waiter).is_err() {
            return Err(StoreError::NotDone("too many appends wait".to_owned()));
        }
        match timeout_at(deadline, rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(StoreError::Unknown("the process stops".to_owned())),
            Err(_) if !claimed.swap(true, Ordering::AcqRel) => {
                Err(StoreError::NotDone("its turn did not come before the deadline".to_owned()))
            }
            Err(_) => Err(StoreError::Unknown("the caller's deadline".to_owned())),
        }
    }
}

/// How the log answers, shared between appends. A part of its partitions may be silent, so each
/// shard's has its own.
#[derive(Debug, Clone)]
struct Log {
    store: Store,
    shared: Shared,
    silences: Arc<Mutex<SortedMap<ShardId, LogHealth>>>,
    freed: Arc<Notify>,
}

impl Log {
    /// What `f` gives for the partition of `shard`, of which all is known that was read by `now`.
    fn silence<T>(&self, now: Instant, shard: ShardId, f: impl FnOnce(&mut LogHealth) -> T) -> T {
        let (read, recovered_at) = {
            let known = self.shared.lock();
            (known.states_read.map(|(at, _)| at), known.reach.recovered_at())
        };
        let mut silences = self.silences.lock().unwrap_or_else(PoisonError::into_inner);
        let silence = silences.get_or_insert_with(shard, LogHealth::default);
        silence.other_partition_read_answered(
            read.unwrap_or_default().min(now),
            recovered_at.min(now),
        );
        f(silence)
    }

    /// The shards that have had a record.
    fn shards(&self) -> Vec<ShardId> {
        let silences = self.silences.lock().unwrap_or_else(PoisonError::into_inner);
        silences.iter().map(|(shard, _)| *shard).collect()
    }

    /// Whether some partition has left an append unanswered.
    fn has_unconfirmed_append(&self) -> bool {
        let silences = self.silences.lock().unwrap_or_else(PoisonError::into_inner);
        silences.iter().any(|(_, it)| it.has_unconfirmed_append())
    }

    /// Asks whether the partition of `shard` answers, if that is not known and was not asked just
    /// before. Two at one time, as one answer may be lost.
    fn ask_if_due(&self, now: Instant, shard: ShardId) {
        let due = self.silence(now, shard, |it| {
            let due = it.try_probe(now);
            due.inspect(|_| it.begin_probe(now))
        });
        let Some(timeout) = due else { return };
        for _ in 0..2 {
            let log = self.clone();
            tokio::spawn(async move {
                let end = log.store.end(Topic::Jobs(shard.0), timeout).await;
                if !matches!(end, Err(StoreError::Unknown(_))) {
                    let now = clock::now();
                    log.silence(now, shard, |it| it.read_answered(now));
                    log.freed.notify_one();
                }
            });
        }
    }

    fn end(&self, shard: ShardId, began: Instant, outcome: &Result<(), StoreError>) {
        let now = clock::now();
        let answered = !matches!(outcome, Err(StoreError::Unknown(_)));
        self.silence(now, shard, |it| it.append_ended(now, began, answered));
        self.freed.notify_one();
    }
}

async fn run(mut rx: mpsc::Receiver<Waiter>, log: Log) {
    let mut waiting: Vec<Waiter> = Vec::new();
    loop {
        // What comes while earlier appends are under way gathers and goes out together.
        tokio::select! {
            it = rx.recv() => match it {
                Some(it) => waiting.push(it),
                None => return,
            },
            () = log.freed.notified() => {}
            () = sleep(LOOK_EVERY), if !waiting.is_empty() || log.has_unconfirmed_append() => {}
        }
        while let Ok(it) = rx.try_recv() {
            waiting.push(it);
        }
        let now = clock::now();
        reject_hopeless(now, &log, &mut waiting);
        for shard in log.shards() {
            let Some((batch, timeout)) = try_batch(now, &log, shard, &mut waiting) else {
                let unsure = log.silence(now, shard, |it| it.has_unconfirmed_append());
                if unsure || waiting.iter().any(|it| it.shard == shard) {
                    log.ask_if_due(now, shard);
                }
                continue;
            };
            let log = log.clone();
            tokio::spawn(async move {
                let outcome = append(&log.store, shard, batch, timeout).await;
                log.end(shard, now, &outcome);
            });
        }
    }
}

/// Answers those whose records were never sent and had better not be.
fn reject_hopeless(now: Instant, log: &Log, waiting: &mut Vec<Waiter>) {
    let hopeless = |it: &mut Waiter| {
        !it.again && log.silence(now, it.shard, |silence| silence.should_reject(now, it.since))
    };
    for it in waiting.extract_if(.., hopeless) {
        let why = "the log does not answer, and nothing was sent to it";
        // A caller that has left needs no answer.
        let _ = it.tx.send(Err(StoreError::NotDone(why.to_owned())));
    }
}

/// The records to be appended next to the partition of `shard`, and how long that may take.
fn try_batch(
    now: Instant,
    log: &Log,
    shard: ShardId,
    waiting: &mut Vec<Waiter>,
) -> Option<(Vec<Waiter>, Duration)> {
    let (timeout, all) = match log.silence(now, shard, |it| it.next_send(now)) {
        SendDecision::All(timeout) => (timeout, true),
        SendDecision::RetriesOnly(timeout) => (timeout, false),
        SendDecision::Probe(_) | SendDecision::Wait => return None,
    };
    let mut left = BATCH_MAX;
    let goes = |it: &mut Waiter| {
        let goes = left > 0 && it.shard == shard && (all || it.again);
        left -= usize::from(goes);
        goes
    };
    // What a caller has claimed who has left is not sent.
    let here = |it: &Waiter| !it.claimed.swap(true, Ordering::AcqRel);
    let batch: Vec<Waiter> = waiting.extract_if(.., goes).filter(here).collect();
    if batch.is_empty() {
        return None;
    }
    log.silence(now, shard, |it| it.begin_append(now));
    Some((batch, timeout))
}

async fn append(
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
