//! What the tasks of a process share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{
    Directory, Event, JobId, JobState, LogReachability, QueueConfig, Record, ShardId,
};
use tokio::sync::mpsc;

use crate::clock;

/// How long a job that this process stored counts as known though its owner has not told of it: as
/// long as a change of the owner may take.
const ACCEPTED_KEPT: Duration = Duration::from_secs(10);

/// What this process knows.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// The fold of the records that every VM follows.
    pub directory: Directory,
    /// The newest configuration, once one was read.
    pub queues: Option<Arc<QueueConfig>>,
    /// When the topic of states was last read to its end, and where that was.
    pub states_read: Option<(Instant, u64)>,
    /// How the log answered reads of that topic.
    pub reach: LogReachability,
    /// Shards that this process is about to claim.
    claiming: u32,
    /// Jobs that this process stored, and when.
    accepted: SortedMap<JobId, Instant>,
    /// Where events of the shards go that this process owns.
    owners: SortedMap<ShardId, mpsc::UnboundedSender<Event>>,
    /// Whether the process is about to stop.
    pub stopping: bool,
}

/// What this process knows, shared between its tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shared(Arc<Mutex<Known>>);

impl Shared {
    /// What is known; never held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Known> {
        // Whoever panicked left no half-made change: each is one call on the directory.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// A submission or cancellation of this process is in the log: if it owns the job's shard, it
    /// need not wait until it reads the record.
    pub fn stored(&mut self, record: Record) {
        let now = clock::now();
        let (Record::Submitted(id, _) | Record::Cancelled(id)) = &record else { return };
        let id = *id;
        if matches!(record, Record::Submitted(..)) {
            self.accepted.retain(|_, at| now.since(*at) < ACCEPTED_KEPT);
            self.accepted.insert(id, now);
        }
        let Some(layout) = self.directory.layout() else { return };
        self.reached(layout.shard_of_job(id), record);
    }

    /// A record of a job is in the log of `shard`.
    pub fn reached(&mut self, shard: ShardId, record: Record) {
        if let Some(tx) = self.owners.get(&shard)
            && tx.send(Event::Record(record)).is_err()
        {
            self.owners.remove(&shard);
        }
    }

    /// The state of a job, if it is known here.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let accepted = self.accepted.get(&id).map(|_| JobState::Queued);
        self.directory.state(id).map(|it| it.state).or(accepted)
    }

    /// Takes a configuration in unless a newer one is in force.
    pub fn configure(&mut self, queues: QueueConfig) {
        if self.queues.as_ref().is_some_and(|it| it.version >= queues.version) {
            return;
        }
        log::info!("event=configured version={} queues={}", queues.version, queues.queues.len());
        let queues = Arc::new(queues);
        self.owners.retain(|_, tx| tx.send(Event::QueueConfig(queues.clone())).is_ok());
        self.queues = Some(queues);
    }

    /// This process begins to own a shard.
    pub fn begin_owner(&mut self, shard: ShardId, events: mpsc::UnboundedSender<Event>) {
        self.owners.insert(shard, events);
    }

    /// This process no longer owns a shard.
    pub fn end_owner(&mut self, shard: ShardId) {
        self.owners.remove(&shard);
    }

    /// This process begins to claim a shard.
    pub fn begin_claim(&mut self) {
        self.claiming += 1;
    }

    /// A claim of this process has come to something or to nothing.
    pub fn end_claim(&mut self) {
        self.claiming -= 1;
    }

    /// How many shards this process owns or is about to.
    ///
    /// Several shards may be without an owner at the same moment. Counted only once it is won, each of
    /// them would look like the first to the nearest large VM, which then owns all: more than it
    /// has connections and processor time for.
    pub fn owned(&self) -> u32 {
        self.owners.len() as u32 + self.claiming
    }

    /// Whether the topic of states was read to its end a short while ago.
    pub fn is_fresh(&self) -> bool {
        /// Twice the longest wait for a new record, and a slow answer.
        const FRESH_MS: u128 = 2_600;
        self.states_read.is_some_and(|(at, _)| clock::now().since(at).as_millis() < FRESH_MS)
    }

    /// Whether a job that is not known does not exist.
    pub fn is_complete(&self, id: JobId) -> bool {
        self.directory.is_complete(clock::now(), id)
    }
}
