//! This VM's part in reading the log for the VMs of its data centre: as a reader that others follow,
//! or as a follower. `daisy-relay` has the decisions.

mod client;
mod group;
mod serve;
mod workers;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisy_model::Instant;
use daisy_relay::{Batch, RecordCache, Source, SourceSelector, StoredRecord};
use daisy_wire::relay::{ReadAnswer, ReadRequest, RelayedTopic};
use tokio::sync::watch;

use self::client::ReaderClient;
use crate::{clock, metrics::Metrics, shared::Shared};

pub(crate) use self::{
    group::{Membership, follow_readers, stay_in_group},
    serve::serve,
    workers::keep_workers,
};

/// How long a VM that is no longer a reader goes on reading for its followers, so that they find
/// its successor first.
const HANDOVER_TIME: Duration = Duration::from_secs(2);
/// How long a reader waits for a record before it answers, at most. It is short, as the follower of
/// a reader that is paused notices only by the end of this time.
const WAIT_MAX: Duration = Duration::from_millis(400);

/// How old the workers' records of a reader may be; it reads them every 0.3 s.
const WORKERS_AGE_MAX: Duration = Duration::from_millis(1_000);

/// Whether others follow this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Follower,
    Reader,
    /// A reader whose followers are to leave, and until when it answers them.
    Leaving(Instant),
}

/// The records of one topic, and a channel that changes with them.
#[derive(Debug, Default)]
struct KeptTopic {
    cache: Mutex<RecordCache>,
    changes: watch::Sender<()>,
    logged_source: Mutex<Option<Source>>,
}

#[derive(Debug)]
struct Inner {
    shared: Shared,
    metrics: Metrics,
    /// Whether this VM may become a reader, and so keeps records.
    is_candidate: bool,
    role: Mutex<Role>,
    selector: Mutex<SourceSelector>,
    operators: KeptTopic,
    states: KeptTopic,
    workers: KeptTopic,
    /// When an owner last asked this VM for workers' records.
    workers_asked_at: Mutex<Option<Instant>>,
    client: ReaderClient,
}

/// The relay of one VM; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Relay(Arc<Inner>);

/// What a follower read.
#[derive(Debug)]
pub(crate) struct FollowedRead {
    pub batch: Batch,
    /// When the log had no records from `batch.next` on.
    pub at_end_at: Option<Instant>,
    pub log_rtt: Duration,
}

impl Relay {
    /// Returns the relay of a VM that follows others; it becomes a reader only if `is_candidate`.
    pub fn new(shared: Shared, metrics: Metrics, is_candidate: bool) -> Relay {
        Relay(Arc::new(Inner {
            shared,
            metrics,
            is_candidate,
            role: Mutex::new(Role::Follower),
            selector: Mutex::new(SourceSelector::new(clock::now(), fastrand::u64(..))),
            operators: KeptTopic::default(),
            states: KeptTopic::default(),
            workers: KeptTopic::default(),
            workers_asked_at: Mutex::default(),
            client: ReaderClient::default(),
        }))
    }

    /// Returns where the next read of `topic` goes.
    pub fn select(&self, topic: RelayedTopic) -> Source {
        let now = clock::now();
        let reads_log = self.reads_for_others(now);
        let source = match reads_log {
            true => Source::Log,
            false => lock(&self.0.selector).select(now),
        };
        let mut logged = lock(&self.topic(topic).logged_source);
        if !matches!(source, Source::Wait(_)) && *logged != Some(source) {
            *logged = Some(source);
            let topic = topic.label();
            match source {
                Source::Reader(reader) => {
                    log::info!("event=source_changed topic={topic} source=reader reader={reader}");
                }
                _ => log::info!(
                    "event=source_changed topic={topic} source=log chosen={}",
                    !reads_log
                ),
            }
        }
        source
    }

    /// Returns whether this VM reads the log for followers.
    pub fn reads_for_others(&self, now: Instant) -> bool {
        match *lock(&self.0.role) {
            Role::Follower => false,
            Role::Reader => true,
            Role::Leaving(until) => now < until,
        }
    }

    /// Sets whether the data centre's group makes this VM a reader.
    fn set_reader(&self, now: Instant, is_reader: bool) {
        let mut role = lock(&self.0.role);
        let new = match (*role, is_reader && self.0.is_candidate) {
            (_, true) => Role::Reader,
            (Role::Reader, false) => Role::Leaving(now + HANDOVER_TIME),
            (other, false) => other,
        };
        if (new == Role::Reader) != (*role == Role::Reader) {
            log::info!("event=reader_role reads_for_others={}", new == Role::Reader);
        }
        self.0.metrics.set_reader(new == Role::Reader);
        *role = new;
    }

    fn is_leaving(&self, now: Instant) -> bool {
        matches!(*lock(&self.0.role), Role::Leaving(until) if now < until)
    }

    /// Returns whether a read of the log must begin with the newest record of each key, as others
    /// follow this VM and the records that it keeps do not reach up to `next`.
    pub fn must_restart(&self, topic: RelayedTopic, next: Option<u64>) -> bool {
        !topic.is_kept_on_demand()
            && self.reads_for_others(clock::now())
            && lock(&self.topic(topic).cache).end() != next
    }

    /// Keeps records that were read from `from` up to `next`, or the newest of each key if there is
    /// no `from`. `at_end_at` is the time at which the log had no more.
    pub fn keep(
        &self,
        topic: RelayedTopic,
        records: &[StoredRecord],
        from: Option<u64>,
        next: u64,
        at_end_at: Option<Instant>,
    ) {
        if !self.0.is_candidate {
            return;
        }
        let kept = self.topic(topic);
        {
            let mut cache = lock(&kept.cache);
            match from {
                None => cache.restart(records, next),
                Some(from) => cache.extend(records, from, next),
            }
            if let Some(at) = at_end_at {
                cache.reached_end(at);
            }
        }
        kept.changes.send_replace(());
    }

    /// Reads records of `topic` from another VM. Returns `None` if it gave no answer or a stale one;
    /// it is then not selected for a while.
    pub async fn try_read(
        &self,
        reader: SocketAddr,
        topic: RelayedTopic,
        from: Option<u64>,
        wait: Duration,
    ) -> Option<FollowedRead> {
        let req = ReadRequest { topic, from, wait: wait.min(WAIT_MAX) };
        let sent_at = clock::now();
        let answer = self.0.client.read(reader, req).await;
        let now = clock::now();
        let cause = match answer {
            Ok(ReadAnswer::Records { batch, held, log_rtt, is_leaving }) => {
                // The time on the way is not known, so the records count as old as they can be.
                let at_end_at = batch.age.map(|it| sent_at + held - it);
                let is_behind = batch.age.is_none() && batch.records.is_empty();
                let age_ms = batch.age.map_or(0, |it| it.as_millis());
                let mut selector = lock(&self.0.selector);
                if is_leaving {
                    selector.reader_leaves();
                }
                let is_recent = match (is_behind, topic.is_kept_on_demand()) {
                    (true, true) => false,
                    (true, false) => {
                        selector.reader_failed(now, reader);
                        false
                    }
                    (false, true) => batch.age.is_none_or(|it| it < WORKERS_AGE_MAX),
                    (false, false) => selector.reader_answered(now, reader, at_end_at),
                };
                if is_recent {
                    return Some(FollowedRead { batch, at_end_at, log_rtt });
                }
                if topic.is_kept_on_demand() {
                    return None;
                }
                format!("its records are old, age_ms={age_ms} behind={is_behind}")
            }
            Ok(ReadAnswer::NoRecords) if topic.is_kept_on_demand() => return None,
            Ok(ReadAnswer::NoRecords) => {
                lock(&self.0.selector).reader_failed(now, reader);
                "it has no recent records".to_owned()
            }
            Err(e) => {
                lock(&self.0.selector).reader_failed(now, reader);
                self.0.client.disconnect(reader);
                e.to_string()
            }
        };
        log::info!("event=reader_lost reader={reader} cause=\"{cause}\"");
        None
    }

    fn topic(&self, topic: RelayedTopic) -> &KeptTopic {
        match topic {
            RelayedTopic::Operators => &self.0.operators,
            RelayedTopic::States => &self.0.states,
            RelayedTopic::Workers { .. } => &self.0.workers,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
