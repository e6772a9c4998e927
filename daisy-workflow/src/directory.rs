//! What every entry VM knows: the state of each job, and who owns which shard.
//!
//! The whole progress of jobs is read by the owner of their shard alone. What callers are told
//! follows from one small record a job, and a sign of life of each owner.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};

use crate::{Claim, JobId, JobState, Layout, Load, ShardId};

/// An owner's sign of life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerHeartbeat {
    /// The shard that it owns.
    pub shard: ShardId,
    /// Who it is.
    pub claim: Claim,
    /// Whether it has read all submissions up to a short while ago, so that a job of the shard
    /// that is not known does not exist.
    pub is_caught_up: bool,
    /// Jobs without a time of which no task was started, by queue.
    pub pending: Vec<(String, u32)>,
    /// What the shard has, and what is asked of it.
    pub load: Load,
}

/// What was last told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedState {
    /// Its state.
    pub state: JobState,
    /// The shard whose owner told it: the one that runs it.
    pub shard: ShardId,
}

/// The newest sign of a shard's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// What it said.
    pub heartbeat: OwnerHeartbeat,
    /// When it was read here.
    pub at: Instant,
    /// A time before it was written; `None` if it may be of any age.
    pub written_after: Option<Instant>,
}

/// The fold of the records that every entry VM follows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    layout: Option<Layout>,
    states: SortedMap<JobId, PublishedState>,
    heartbeats: SortedMap<ShardId, ReceivedHeartbeat>,
    /// When all that had been written was last read.
    caught_up_at: Option<Instant>,
}

impl Directory {
    /// Takes the layout in; the first one stands.
    pub fn set_layout(&mut self, layout: Layout) {
        self.layout.get_or_insert(layout);
    }

    /// How jobs and workers are divided, once that is known.
    pub fn layout(&self) -> Option<Layout> {
        self.layout
    }

    /// Takes in what was told of a job. States only ever go forward, whatever comes late.
    pub fn set_state(&mut self, id: JobId, published: PublishedState) {
        if self.states.get(&id).is_none_or(|known| known.state <= published.state) {
            self.states.insert(id, published);
        }
    }

    /// Forgets a job.
    pub fn remove(&mut self, id: JobId) {
        self.states.remove(&id);
    }

    /// What was last told of a job.
    pub fn state(&self, id: JobId) -> Option<PublishedState> {
        self.states.get(&id).copied()
    }

    /// Takes an owner's sign of life in, read at `now`.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: OwnerHeartbeat) {
        let newer = |it: &ReceivedHeartbeat| it.heartbeat.claim.epoch <= heartbeat.claim.epoch;
        if self.heartbeats.get(&heartbeat.shard).is_none_or(newer) {
            let written_after = self.caught_up_at;
            self.heartbeats
                .insert(heartbeat.shard, ReceivedHeartbeat { heartbeat, at: now, written_after });
        }
    }

    /// All that was written before `now` has been read.
    pub fn mark_caught_up(&mut self, now: Instant) {
        self.caught_up_at = Some(now);
    }

    /// The newest record of each key is read anew: what comes may have been read before.
    pub fn restart_reading(&mut self) {
        self.caught_up_at = None;
    }

    /// Whether a job that is not known does not exist: its owner lives, and has told of all
    /// submissions up to a short while ago.
    ///
    /// How far the owner is behind in reading and the age of its last sign add up; together they
    /// stay below the 3 s after which a job must be known everywhere. A VM that has just started,
    /// or was cut off, reads the signs of owners that have long died: only one that was written
    /// since the last read proves a life.
    pub fn is_complete(&self, now: Instant, id: JobId) -> bool {
        /// Two signs of life.
        const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(900);
        /// The same, and the read before.
        const WRITE_AGE_MAX: Duration = Duration::from_millis(1_800);
        /// While owners live, something is read every 0.4 s.
        const READ_AGE_MAX: Duration = Duration::from_millis(900);
        let Some(layout) = self.layout else { return false };
        let owner = self.heartbeats.get(&layout.of_job(id)).filter(|it| it.heartbeat.is_caught_up);
        let alive = owner.is_some_and(|it| {
            now.since(it.at) < HEARTBEAT_AGE_MAX
                && it.written_after.is_some_and(|at| now.since(at) < WRITE_AGE_MAX)
        });
        alive && self.caught_up_at.is_some_and(|at| now.since(at) < READ_AGE_MAX)
    }

    /// What the owner of a shard last said.
    pub fn owner(&self, shard: ShardId) -> Option<&ReceivedHeartbeat> {
        self.heartbeats.get(&shard)
    }

    /// What the owners of all shards but `excluded` last said of their loads.
    pub fn loads(&self, excluded: ShardId) -> SortedMap<ShardId, Load> {
        let others = self
            .heartbeats
            .iter()
            .filter(|(shard, it)| **shard != excluded && !it.heartbeat.claim.released);
        others.map(|(shard, it)| (*shard, it.heartbeat.load)).collect()
    }

    /// Jobs of a queue without a time of which no task was started, as owners last said.
    pub fn pending(&self, queue: &str) -> usize {
        let of_queue = |it: &ReceivedHeartbeat| -> usize {
            let pending = it.heartbeat.pending.iter().filter(|(name, _)| name == queue);
            pending.map(|(_, count)| *count as usize).sum()
        };
        self.heartbeats.iter().map(|(_, it)| of_queue(it)).sum()
    }
}
