//! What every entry VM knows: the state of each job, and who owns which shard.
//!
//! Only the owner of a job's shard reads the job's whole progress. Answers to callers are derived
//! from one small record for each job and the heartbeats of the owners.

use std::time::Duration;

use daisy_admission::{CapacityReport, FleetCapacity};
use daisy_model::{Instant, SortedMap};

use crate::{Claim, JobId, JobState, Layout, Load, ShardId};

/// An owner's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerHeartbeat {
    /// The owner's shard.
    pub shard: ShardId,
    /// The owner's claim.
    pub claim: Claim,
    /// Whether the owner has read and published all submissions up to a short while ago, so that a
    /// job of the shard that is not known does not exist.
    pub is_caught_up: bool,
    /// By queue, the number of jobs without set times of which no task was started.
    pub pending: Vec<(String, u32)>,
    /// The shard's capacity and the demand for it.
    pub load: Load,
    /// What the shard's workers can still take, by service; empty unless the owner protects finite
    /// work.
    pub capacity: Vec<CapacityReport>,
}

/// The last published state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedState {
    /// The job's state.
    pub state: JobState,
    /// The shard whose owner published the state: the one that runs the job.
    pub shard: ShardId,
}

/// The newest heartbeat of a shard's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The heartbeat.
    pub heartbeat: OwnerHeartbeat,
    /// When this VM read it.
    pub at: Instant,
    /// A time before which it was not written; `None` if it may be of any age.
    pub written_after: Option<Instant>,
}

/// The state folded from the records that every entry VM follows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    layout: Option<Layout>,
    states: SortedMap<JobId, PublishedState>,
    heartbeats: SortedMap<ShardId, ReceivedHeartbeat>,
    /// When the records were last read to their end.
    caught_up_at: Option<Instant>,
}

impl Directory {
    /// Sets the layout, unless one is set already.
    pub fn set_layout(&mut self, layout: Layout) {
        self.layout.get_or_insert(layout);
    }

    /// Returns how jobs and workers are divided among shards, once known.
    pub fn layout(&self) -> Option<Layout> {
        self.layout
    }

    /// Records a published state of a job. A state never goes back, whatever arrives late.
    pub fn set_state(&mut self, id: JobId, published: PublishedState) {
        if self.states.get(&id).is_none_or(|known| known.state <= published.state) {
            self.states.insert(id, published);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) {
        self.states.remove(&id);
    }

    /// Returns the last published state of a job.
    pub fn state(&self, id: JobId) -> Option<PublishedState> {
        self.states.get(&id).copied()
    }

    /// Iterates over the jobs of a shard that have ended.
    pub fn ended_jobs(&self, shard: ShardId) -> impl Iterator<Item = JobId> {
        let ended = self.states.iter().filter(|(_, it)| it.state.is_ended()).map(|(id, _)| *id);
        ended.filter(move |id| self.layout.is_some_and(|it| it.shard_of_job(*id) == shard))
    }

    /// Records an owner's heartbeat that was read at `now`.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: OwnerHeartbeat) {
        let newer = |it: &ReceivedHeartbeat| it.heartbeat.claim.epoch <= heartbeat.claim.epoch;
        if self.heartbeats.get(&heartbeat.shard).is_none_or(newer) {
            let written_after = self.caught_up_at;
            self.heartbeats
                .insert(heartbeat.shard, ReceivedHeartbeat { heartbeat, at: now, written_after });
        }
    }

    /// Records that all records written before `now` have been read.
    pub fn mark_caught_up(&mut self, now: Instant) {
        self.caught_up_at = Some(now);
    }

    /// Records that the newest record of each key is read again, so that the following records may
    /// be old.
    pub fn restart_reading(&mut self) {
        self.caught_up_at = None;
    }

    /// Returns whether the records that are read now were written recently. The newest record of a
    /// key, which is read first, may be of any age.
    pub fn reads_recent_records(&self) -> bool {
        self.caught_up_at.is_some()
    }

    /// Returns whether the job does not exist if it is not known: the owner of its shard is alive
    /// and has published all submissions up to a short while ago.
    ///
    /// The owner's delay in reading and the age of its last heartbeat add up; together they stay
    /// below the 3 s after which a job must be known everywhere. A VM that has just started, or was
    /// cut off, reads heartbeats of owners that died long ago: only a heartbeat that was written
    /// since the last read proves that its owner is alive.
    pub fn is_complete(&self, now: Instant, id: JobId) -> bool {
        /// The highest age of a heartbeat since it was read: two heartbeat intervals.
        const HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(900);
        /// The highest age of a heartbeat counted from the previous read, before which it was not
        /// written: two heartbeat intervals and the time between two reads.
        const WRITE_AGE_MAX: Duration = Duration::from_millis(1_800);
        /// The highest age of the last read: while owners are alive, something is read every 0.4 s.
        const READ_AGE_MAX: Duration = Duration::from_millis(900);
        let Some(layout) = self.layout else { return false };
        let owner =
            self.heartbeats.get(&layout.shard_of_job(id)).filter(|it| it.heartbeat.is_caught_up);
        let alive = owner.is_some_and(|it| {
            now.since(it.at) < HEARTBEAT_AGE_MAX
                && it.written_after.is_some_and(|at| now.since(at) < WRITE_AGE_MAX)
        });
        alive && self.caught_up_at.is_some_and(|at| now.since(at) < READ_AGE_MAX)
    }

    /// Returns the last heartbeat of the owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<&ReceivedHeartbeat> {
        self.heartbeats.get(&shard)
    }

    /// Returns the last published loads of all shards except `excluded`.
    pub fn loads(&self, excluded: ShardId) -> SortedMap<ShardId, Load> {
        let others = self
            .heartbeats
            .iter()
            .filter(|(shard, it)| **shard != excluded && !it.heartbeat.claim.released);
        others.map(|(shard, it)| (*shard, it.heartbeat.load)).collect()
    }

    /// Returns what all shards can still take for a service; `None` if a shard does not report it.
    pub fn capacity(&self, now: Instant, service: &str) -> Option<FleetCapacity> {
        let reports = self.layout?.all().map(|shard| {
            let received = self.heartbeats.get(&shard)?;
            let heartbeat = &received.heartbeat;
            let of_service = heartbeat.capacity.iter().find(|it| &*it.service == service);
            of_service.filter(|_| !heartbeat.claim.released).map(|it| (received.at, it))
        });
        FleetCapacity::try_sum(now, reports)
    }

    /// Returns the number of a queue's jobs without set times of which no task was started,
    /// according to the last heartbeats.
    pub fn pending(&self, queue: &str) -> usize {
        let of_queue = |it: &ReceivedHeartbeat| -> usize {
            let pending = it.heartbeat.pending.iter().filter(|(name, _)| name == queue);
            pending.map(|(_, count)| *count as usize).sum()
        };
        self.heartbeats.iter().map(|(_, it)| of_queue(it)).sum()
    }
}
