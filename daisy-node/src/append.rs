//! Appends callers' submissions and cancellations to the log in batches.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use daisy_model::{Instant, SortedMap};
use daisy_platform::{Guard, LogClient, LogError, Topic};
use daisy_workflow::{LogHealth, RecordLimits, SendDecision, ShardId};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{Instant as Deadline, sleep, timeout_at},
};

use crate::{clock, shared::Shared};

/// The most records in one append.
const MAX_BATCH_RECORDS: usize = 100;
/// The interval at which waiting records are checked while the log does not answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A record that waits to be appended.
#[derive(Debug)]
struct WaitingRecord {
    shard: ShardId,
    key: String,
    value: Vec<u8>,
    queued_at: Instant,
    /// Whether the record was sent before without an answer, and may be stored already.
    maybe_stored: bool,
    /// Set when the record is taken to be sent or when its caller's deadline passes, whichever
    /// comes first. If the deadline comes first, the record is not sent.
    is_sent_or_expired: Arc<AtomicBool>,
    tx: oneshot::Sender<Result<(), LogError>>,
}

/// Passes records to the task that appends them in batches.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    tx: mpsc::Sender<WaitingRecord>,
    log: LogState,
}

impl Appender {
    /// Starts the task that appends the records.
    pub fn start(log_client: LogClient, shared: Shared, limits: RecordLimits) -> Appender {
        /// The most requests that wait for an append; more than a small VM has connections.
        const MAX_WAITING: usize = 4_096;
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        let log = LogState {
            log_client,
            shared,
            limits,
            partition_health: Arc::default(),
            health_changed: Arc::default(),
        };
        tokio::spawn(run(rx, log.clone()));
        Appender { tx, log }
    }

    /// Returns whether the log can store a record.
    pub fn can_store(&self, key: &str, value: &[u8]) -> bool {
        self.log.limits.fits(key, value)
    }

    /// Returns whether the partition of `shard` does not answer, so that an append to it should not
    /// be awaited. If so, also probes the partition when a probe is due.
    pub fn is_unresponsive(&self, shard: ShardId) -> bool {
        let now = clock::now();
        let is_unresponsive = self.log.with_health(now, shard, |it| it.is_unresponsive(now));
        if is_unresponsive {
            self.log.probe_if_due(now, shard);
        }
        is_unresponsive
    }

    /// Appends a record by `deadline`, and returns the outcome of the append that contained it.
    /// `maybe_stored` says that the record was sent before and may be stored already.
    pub async fn append(
        &self,
        shard: ShardId,
        key: String,
        value: Vec<u8>,
        maybe_stored: bool,
        deadline: Deadline,
    ) -> Result<(), LogError> {
        let (tx, rx) = oneshot::channel();
        let is_sent_or_expired = Arc::new(AtomicBool::new(false));
        let queued_at = clock::now();
        let record = WaitingRecord {
            shard,
            key,
            value,
            queued_at,
            maybe_stored,
            is_sent_or_expired: is_sent_or_expired.clone(),
            tx,
        };
        if self.tx.try_send(record).is_err() {
            return Err(LogError::NoEffect("too many records wait to be appended".to_owned()));
        }
        match timeout_at(deadline, rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(LogError::OutcomeUnknown("the process is stopping".to_owned())),
            Err(_) if !is_sent_or_expired.swap(true, Ordering::AcqRel) => {
                Err(LogError::NoEffect("the record was not sent before the deadline".to_owned()))
            }
            Err(_) => Err(LogError::OutcomeUnknown("the caller's deadline has passed".to_owned())),
        }
    }
}

/// The log's client and the health of the log's partitions, shared between appends. Some partitions
/// may not answer while others do, so there is one health for each shard.
#[derive(Debug, Clone)]
struct LogState {
    log_client: LogClient,
    shared: Shared,
    limits: RecordLimits,
    partition_health: Arc<Mutex<SortedMap<ShardId, LogHealth>>>,
    /// Notified when the health of a partition has changed.
    health_changed: Arc<Notify>,
}

impl LogState {
    /// Calls `f` with the health of the partition of `shard`, after passing it the last answered
    /// read of the topic of states and the last recovery of these reads, both up to `now`.
    fn with_health<T>(
        &self,
        now: Instant,
        shard: ShardId,
        f: impl FnOnce(&mut LogHealth) -> T,
    ) -> T {
        let (read_at, recovered_at) = {
            let node = self.shared.lock();
            (node.states_caught_up.map(|(at, _)| at), node.states_reachability.recovered_at())
        };
        let mut partitions = self.partition_health.lock().unwrap_or_else(PoisonError::into_inner);
        let health = partitions.get_or_insert_with(shard, LogHealth::default);
        health.other_partition_read_answered(
            read_at.unwrap_or_default().min(now),
            recovered_at.min(now),
        );
        f(health)
    }

    /// Returns the shards whose partitions have been used.
    fn shards(&self) -> Vec<ShardId> {
        let partitions = self.partition_health.lock().unwrap_or_else(PoisonError::into_inner);
        partitions.iter().map(|(shard, _)| *shard).collect()
    }

    /// Returns whether an append to some partition is still unanswered.
    fn has_unconfirmed_append(&self) -> bool {
        let partitions = self.partition_health.lock().unwrap_or_else(PoisonError::into_inner);
        partitions.iter().any(|(_, it)| it.has_unconfirmed_append())
    }

    /// Probes the partition of `shard` if it is not known to answer and the last probe was not sent
    /// just before. A probe is two calls at the same time, as one answer may be lost.
    fn probe_if_due(&self, now: Instant, shard: ShardId) {
        let probe_timeout = self.with_health(now, shard, |it| {
            let timeout = it.try_probe(now);
            timeout.inspect(|_| it.begin_probe(now))
        });
        let Some(timeout) = probe_timeout else { return };
        for _ in 0..2 {
            let log = self.clone();
            tokio::spawn(async move {
                let outcome = log.log_client.end_offset(Topic::Jobs(shard.0), timeout).await;
                if !matches!(outcome, Err(LogError::OutcomeUnknown(_))) {
                    let now = clock::now();
                    log.with_health(now, shard, |it| it.read_answered(now));
                    log.health_changed.notify_one();
                }
            });
        }
    }

    /// Updates the health of the partition of `shard` with the outcome of an append.
    fn append_ended(&self, shard: ShardId, began: Instant, outcome: &Result<(), LogError>) {
        let now = clock::now();
        let answered = !matches!(outcome, Err(LogError::OutcomeUnknown(_)));
        self.with_health(now, shard, |it| it.append_ended(now, began, answered));
        self.health_changed.notify_one();
    }
}

/// Appends the records that arrive, until the channel is closed.
async fn run(mut rx: mpsc::Receiver<WaitingRecord>, log: LogState) {
    let mut waiting: Vec<WaitingRecord> = Vec::new();
    loop {
        // Records that arrive while earlier appends are under way are sent together.
        tokio::select! {
            it = rx.recv() => match it {
                Some(it) => waiting.push(it),
                None => return,
            },
            () = log.health_changed.notified() => {}
            () = sleep(CHECK_INTERVAL), if !waiting.is_empty() || log.has_unconfirmed_append() => {}
        }
        while let Ok(it) = rx.try_recv() {
            waiting.push(it);
        }
        let now = clock::now();
        reject_unsent(now, &log, &mut waiting);
        for shard in log.shards() {
            let Some((batch, timeout)) = try_batch(now, &log, shard, &mut waiting) else {
                let is_unconfirmed = log.with_health(now, shard, |it| it.has_unconfirmed_append());
                if is_unconfirmed || waiting.iter().any(|it| it.shard == shard) {
                    log.probe_if_due(now, shard);
                }
                continue;
            };
            let log = log.clone();
            tokio::spawn(async move {
                let outcome = append_batch(&log.log_client, shard, batch, timeout).await;
                log.append_ended(shard, now, &outcome);
            });
        }
    }
}

/// Rejects the records that were never sent and, as their partition does not answer, should not be
/// sent any more.
fn reject_unsent(now: Instant, log: &LogState, waiting: &mut Vec<WaitingRecord>) {
    let should_reject = |it: &mut WaitingRecord| {
        !it.maybe_stored
            && log.with_health(now, it.shard, |health| health.should_reject(now, it.queued_at))
    };
    for it in waiting.extract_if(.., should_reject) {
        let cause = "the log does not answer, and the record was not sent";
        // Sending fails if the caller has stopped waiting; it then needs no answer.
        let _ = it.tx.send(Err(LogError::NoEffect(cause.to_owned())));
    }
}

/// Removes from `waiting` the records of the next append to the partition of `shard`. Returns them
/// with the append's timeout, or `None` if nothing should be appended now.
fn try_batch(
    now: Instant,
    log: &LogState,
    shard: ShardId,
    waiting: &mut Vec<WaitingRecord>,
) -> Option<(Vec<WaitingRecord>, Duration)> {
    let (timeout, includes_new) = match log.with_health(now, shard, |it| it.next_send(now)) {
        SendDecision::All(timeout) => (timeout, true),
        SendDecision::RetriesOnly(timeout) => (timeout, false),
        SendDecision::Probe(_) | SendDecision::Wait => return None,
    };
    let (mut remaining, mut remaining_bytes) = (MAX_BATCH_RECORDS, log.limits.call_bytes);
    let is_chosen = |it: &mut WaitingRecord| {
        let bytes = RecordLimits::stored_bytes(&it.key, &it.value);
        let is_chosen = remaining > 0
            && bytes <= remaining_bytes
            && it.shard == shard
            && (includes_new || it.maybe_stored);
        remaining -= usize::from(is_chosen);
        remaining_bytes -= if is_chosen { bytes } else { 0 };
        is_chosen
    };
    // Records whose caller has stopped waiting are not sent.
    let is_awaited = |it: &WaitingRecord| !it.is_sent_or_expired.swap(true, Ordering::AcqRel);
    let batch: Vec<WaitingRecord> = waiting.extract_if(.., is_chosen).filter(is_awaited).collect();
    if batch.is_empty() {
        return None;
    }
    log.with_health(now, shard, |it| it.begin_append(now));
    Some((batch, timeout))
}

async fn append_batch(
    log_client: &LogClient,
    shard: ShardId,
    batch: Vec<WaitingRecord>,
    timeout: Duration,
) -> Result<(), LogError> {
    let mut records = Vec::with_capacity(batch.len());
    let mut senders = Vec::with_capacity(batch.len());
    for WaitingRecord { key, value, tx, .. } in batch {
        records.push((key, value));
        senders.push(tx);
    }
    let outcome =
        log_client.append(Topic::Jobs(shard.0), &records, Guard::Unconditional, timeout).await;
    let outcome = outcome.map(|_| ());
    for tx in senders {
        // Sending fails if the caller has stopped waiting; it then needs no answer.
        let _ = tx.send(outcome.clone());
    }
    outcome
}
