//! What an owner tells all VMs: states of its jobs, and that it lives.

use std::time::Duration;

use crate::{Directory, JobId, JobState, OwnerHeartbeat, PublishedState, Record, ShardId};
use daisy_model::{Instant, SortedMap};

/// The shortest time between two appends of states, so that they gather: each call is paid for,
/// and the platform takes the appends of all owners one after the other, 2 ms each.
const GAP: Duration = Duration::from_millis(30);
/// Between signs of life. Others claim after 1.4 s without one.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// States told in one append, of some 30 bytes each.
const STATES_MAX: usize = 500;

/// What an owner has told all VMs, and what it is to tell next.
#[derive(Debug)]
pub struct StatePublisher {
    shard: ShardId,
    told: SortedMap<JobId, PublishedState>,
    waiting: SortedMap<JobId, JobState>,
    /// When the last append began.
    at: Instant,
    signed_at: Option<Instant>,
}

impl StatePublisher {
    /// `told` is what the log says already.
    pub fn new(
        now: Instant,
        shard: ShardId,
        told: SortedMap<JobId, PublishedState>,
    ) -> StatePublisher {
        StatePublisher { shard, told, waiting: SortedMap::new(), at: now, signed_at: None }
    }

    /// A state that now stands in the log of the shard.
    pub fn add(&mut self, id: JobId, state: JobState) {
        // What another shard told says nothing of which one runs the job now.
        let told = self.told.get(&id).filter(|it| it.shard == self.shard || it.state > state);
        let known = told.map(|it| it.state).max(self.waiting.get(&id).copied());
        if known.is_none_or(|it| it < state) {
            self.waiting.insert(id, state);
        }
    }

    /// Whether a sign of life is due.
    pub fn is_heartbeat_due(&self, now: Instant) -> bool {
        self.signed_at.is_none_or(|at| now.since(at) >= HEARTBEAT)
    }

    /// What to append now, if anything is due; `heartbeat` is the sign of life, where that is due.
    pub fn try_records(
        &mut self,
        now: Instant,
        heartbeat: Option<OwnerHeartbeat>,
    ) -> Option<Vec<Record>> {
        let states_due = !self.waiting.is_empty() && now.since(self.at) >= GAP;
        if heartbeat.is_none() && !states_due {
            return None;
        }
        self.at = now;
        let mut records = Vec::new();
        if let Some(heartbeat) = heartbeat {
            self.signed_at = Some(now);
            records.push(Record::OwnerHeartbeat(Box::new(heartbeat)));
        }
        records.extend(self.records());
        Some(records)
    }

    /// The states to be told next.
    pub fn records(&mut self) -> Vec<Record> {
        let next: Vec<_> =
            self.waiting.iter().take(STATES_MAX).map(|(id, it)| (*id, *it)).collect();
        let mut records = Vec::with_capacity(next.len());
        for (id, state) in next {
            self.waiting.remove(&id);
            let told = PublishedState { state, shard: self.shard };
            self.told.insert(id, told);
            records.push(Record::State(id, told));
        }
        records
    }

    /// Whether somebody tells of each of these jobs, which other shards run. Those may be without an
    /// owner, and the last owner of this one may have died before it told of them.
    pub fn are_all_published(
        &self,
        others: &Directory,
        mut jobs: impl Iterator<Item = JobId>,
    ) -> bool {
        jobs.all(|id| {
            let own = self.told.contains_key(&id) || self.waiting.contains_key(&id);
            own || others.state(id).is_some()
        })
    }

    /// Whether there are states to be told.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
