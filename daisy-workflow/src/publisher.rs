//! What an owner publishes to all VMs: the states of its jobs and its heartbeats.

use std::time::Duration;

use crate::{
    Directory, JobId, JobState, OwnerHeartbeat, PublishedState, Record, RecordKey, ShardId,
};
use daisy_model::{Instant, SortedMap};

/// The minimum interval between two appends of states, so that states are batched: each call is
/// billed, and the platform processes the appends of all owners one after the other, 2 ms each.
const APPEND_INTERVAL_MIN: Duration = Duration::from_millis(30);
/// The interval between heartbeats. Other VMs claim the shard after 1.4 s without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The most states published in one append; a state takes about 30 bytes.
const STATES_MAX: usize = 500;

/// The states that an owner has published to all VMs and those that it has yet to publish.
#[derive(Debug)]
pub struct StatePublisher {
    shard: ShardId,
    published: SortedMap<JobId, PublishedState>,
    pending: SortedMap<JobId, JobState>,
    /// Jobs whose states are to be removed.
    removed: Vec<JobId>,
    /// When the last append began.
    last_append_at: Instant,
    last_heartbeat_at: Option<Instant>,
}

impl StatePublisher {
    /// Creates a publisher; `published` holds the states that are already in the log.
    pub fn new(
        now: Instant,
        shard: ShardId,
        published: SortedMap<JobId, PublishedState>,
    ) -> StatePublisher {
        StatePublisher {
            shard,
            published,
            pending: SortedMap::new(),
            removed: Vec::new(),
            last_append_at: now,
            last_heartbeat_at: None,
        }
    }

    /// Adds a job state that is now recorded in the shard's log.
    pub fn add(&mut self, id: JobId, state: JobState) {
        // A state published by another shard doesn't show which shard runs the job now.
        let published =
            self.published.get(&id).filter(|it| it.shard == self.shard || it.state > state);
        let known = published.map(|it| it.state).max(self.pending.get(&id).copied());
        if known.is_none_or(|it| it < state) {
            self.pending.insert(id, state);
        }
    }

    /// Removes the state of a job that nobody asks for any more.
    pub fn remove(&mut self, id: JobId) {
        self.pending.remove(&id);
        self.published.remove(&id);
        self.removed.push(id);
    }

    /// Returns whether a heartbeat is due.
    pub fn is_heartbeat_due(&self, now: Instant) -> bool {
        self.last_heartbeat_at.is_none_or(|at| now.since(at) >= HEARTBEAT_INTERVAL)
    }

    /// Takes the records to append now, if any are due. Pass a `heartbeat` if
    /// [`is_heartbeat_due`](StatePublisher::is_heartbeat_due).
    pub fn take_due_records(
        &mut self,
        now: Instant,
        heartbeat: Option<OwnerHeartbeat>,
    ) -> Option<Vec<Record>> {
        let states_due =
            self.has_pending_states() && now.since(self.last_append_at) >= APPEND_INTERVAL_MIN;
        if heartbeat.is_none() && !states_due {
            return None;
        }
        self.last_append_at = now;
        let mut records = Vec::new();
        if let Some(heartbeat) = heartbeat {
            self.last_heartbeat_at = Some(now);
            records.push(Record::OwnerHeartbeat(Box::new(heartbeat)));
        }
        records.extend(self.take_records());
        Some(records)
    }

    /// Takes the records of the states to be published next.
    pub fn take_records(&mut self) -> Vec<Record> {
        let next: Vec<_> =
            self.pending.iter().take(STATES_MAX).map(|(id, it)| (*id, *it)).collect();
        let mut records = Vec::with_capacity(next.len());
        for (id, state) in next {
            self.pending.remove(&id);
            let published = PublishedState { state, shard: self.shard };
            self.published.insert(id, published);
            records.push(Record::State(id, published));
        }
        // A state that is removed was published long ago, so no pending one is that job's.
        let removed = self.removed.len().min(STATES_MAX);
        let removed = self.removed.drain(..removed).map(RecordKey::State).map(Record::Removed);
        records.extend(removed);
        records
    }

    /// Returns whether the state of each of these jobs, which other shards run, was published or is
    /// about to be. Those shards may be without an owner, and this shard's last owner may have died
    /// before it published the states.
    pub fn are_all_published(
        &self,
        others: &Directory,
        mut jobs: impl Iterator<Item = JobId>,
    ) -> bool {
        jobs.all(|id| {
            let own = self.published.contains_key(&id) || self.pending.contains_key(&id);
            own || others.state(id).is_some()
        })
    }

    /// Returns whether there are states to be published.
    pub fn has_pending_states(&self) -> bool {
        !self.pending.is_empty() || !self.removed.is_empty()
    }
}
