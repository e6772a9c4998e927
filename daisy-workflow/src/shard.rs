//! Shards: disjoint sets of workers with the jobs that run on them, each owned by one entry VM.

use crate::{JobId, WorkerId};

/// The maximum number of workers in a shard: the smallest entry VM has processor time to manage
/// this many.
const WORKERS_PER_SHARD_MAX: usize = 100;

/// A shard's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u16);

/// How jobs and workers are divided among shards. The layout is chosen once and recorded, so that
/// all entry VMs agree without communicating on which owner accounts for each worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    /// The number of shards, at least 1.
    pub shards: u16,
}

impl Layout {
    /// Returns the layout for this many workers, with at most `shards_max` shards.
    pub fn for_workers(workers: usize, shards_max: u16) -> Layout {
        let needed = u16::try_from(workers.div_ceil(WORKERS_PER_SHARD_MAX)).unwrap_or(u16::MAX);
        Layout { shards: needed.clamp(1, shards_max.max(1)) }
    }

    /// Iterates over all shards.
    pub fn all(self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.max(1)).map(ShardId)
    }

    /// Returns the shard of a job, which runs it unless it delegates the job.
    pub fn shard_of_job(self, id: JobId) -> ShardId {
        self.shard_of(&id.0.to_be_bytes())
    }

    /// Returns the shard of a worker. Each shard's workers are spread over all data centres and
    /// racks, so that the loss of one takes a part of each shard but no whole shard.
    pub fn shard_of_worker(self, id: &WorkerId) -> ShardId {
        self.shard_of(id.0.as_bytes())
    }

    fn shard_of(self, bytes: &[u8]) -> ShardId {
        ShardId((hash(bytes) % u64::from(self.shards.max(1))) as u16)
    }
}

/// Hashes with FNV-1a and a final mix: the result is the same in every build, unlike that of the
/// standard library's hashers.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let fnv = bytes.iter().fold(OFFSET, |hash, it| (hash ^ u64::from(*it)).wrapping_mul(PRIME));
    // The low bits of FNV-1a depend only on the low bits of the bytes.
    let mixed = (fnv ^ (fnv >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
