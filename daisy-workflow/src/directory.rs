//! What every entry VM knows: the state of each job, and who owns which shard.
//!
//! The whole progress of jobs is read by the owner of their shard alone. What callers are told
//! follows from one small record a job, and a sign of life of each owner.

use daisy_model::{Instant, SortedMap};

use crate::{Claim, JobId, JobState, Layout, ShardId};

/// An owner's sign of life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sign {
    /// The shard that it owns.
    pub shard: ShardId,
    /// Who it is.
    pub claim: Claim,
    /// Whether it has read all submissions up to a short while ago, so that a job of the shard
    /// that is not known does not exist.
    pub current: bool,
    /// Jobs without a time of which no task was started, by queue.
    pub pending: Vec<(String, u32)>,
}

/// The newest sign of a shard's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// What it said.
    pub sign: Sign,
    /// When it was read here.
    pub at: Instant,
}

/// The fold of the records that every entry VM follows.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    layout: Option<Layout>,
    states: SortedMap<JobId, JobState>,
    owners: SortedMap<ShardId, Heard>,
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

    /// Takes a job's state in; whether it is news. States only ever go forward, whatever comes
    /// late.
    pub fn set_state(&mut self, id: JobId, state: JobState) -> bool {
        match self.states.get(&id) {
            Some(known) if *known >= state => false,
            _ => {
                self.states.insert(id, state);
                true
            }
        }
    }

    /// Forgets a job.
    pub fn remove(&mut self, id: JobId) {
        self.states.remove(&id);
    }

    /// The state of a job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.states.get(&id).copied()
    }

    /// Takes an owner's sign of life in, read at `now`.
    pub fn hear(&mut self, now: Instant, sign: Sign) {
        let newer = |it: &Heard| it.sign.claim.epoch <= sign.claim.epoch;
        if self.owners.get(&sign.shard).is_none_or(newer) {
            self.owners.insert(sign.shard, Heard { at: now, sign });
        }
    }

    /// What the owner of a shard last said.
    pub fn owner(&self, shard: ShardId) -> Option<&Heard> {
        self.owners.get(&shard)
    }

    /// Jobs of a queue without a time of which no task was started, as owners last said.
    pub fn pending(&self, queue: &str) -> usize {
        let of_queue = |it: &Heard| -> usize {
            let pending = it.sign.pending.iter().filter(|(name, _)| name == queue);
            pending.map(|(_, count)| *count as usize).sum()
        };
        self.owners.iter().map(|(_, it)| of_queue(it)).sum()
    }
}
