//! Several shards, each with an owner, and what is written from one to the other.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{Event, JobId, Layout, Record, ShardId, TaskId};

use super::{FakeWorker, LASTS_MS, World};

/// How long a write to another shard takes.
const WRITE: Duration = Duration::from_millis(30);

/// How much longer it may take.
const WRITE_MORE_MS: u64 = 1_500;

pub struct Fleet {
    pub worlds: Vec<World>,
    /// When each arrives, the shards that it goes from and to, and what is written.
    under_way: Vec<(Instant, ShardId, ShardId, Record)>,
    /// Draws how much longer a write takes, if it may.
    pub slow_writes: Option<fastrand::Rng>,
}

impl Fleet {
    /// Shards with these workers, on which all tasks last.
    pub fn new(workers: Vec<Vec<FakeWorker>>) -> Fleet {
        let layout = Layout { shards: workers.len() as u16 };
        let worlds = workers.into_iter().zip(layout.all()).map(|(workers, shard)| {
            let mut world = World::of_shard(workers, shard, layout);
            world.work = |_| LASTS_MS;
            world
        });
        Fleet { worlds: worlds.collect(), under_way: Vec::new(), slow_writes: None }
    }

    /// The first job whose id belongs to a shard.
    pub fn job_of(&self, shard: ShardId) -> JobId {
        let layout = Layout { shards: self.worlds.len() as u16 };
        (1..).map(JobId).find(|id| layout.of_job(*id) == shard).expect("one of many")
    }

    pub fn step(&mut self) {
        for (from, world) in (0u16..).map(ShardId).zip(&mut self.worlds) {
            world.step();
            let at = world.now + WRITE;
            for (to, record) in world.forwarded.drain(..) {
                let more = self.slow_writes.as_mut().map_or(0, |it| it.u64(..WRITE_MORE_MS));
                self.under_way.push((at + Duration::from_millis(more), from, to, record));
            }
        }
        let now = self.worlds[0].now;
        let under_way = std::mem::take(&mut self.under_way);
        for (at, from, to, record) in under_way {
            match at <= now {
                true => self.worlds[usize::from(to.0)].write(record),
                false => self.under_way.push((at, from, to, record)),
            }
        }
        self.check();
    }

    fn check(&self) {
        let mut running: Vec<TaskId> =
            self.worlds.iter().flat_map(|it| &it.workers).flat_map(FakeWorker::tasks).collect();
        running.sort_unstable();
        for pair in running.windows(2) {
            assert_ne!(pair[0], pair[1], "it runs in two places");
        }
    }

    pub fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    /// The same, with loads told as owners tell them.
    pub fn run_told(&mut self, millis: u64) {
        for at in 0..millis / 10 {
            if at % 40 == 0 {
                self.tell_loads();
            }
            self.step();
        }
    }

    fn tell_loads(&mut self) {
        let loads: Vec<_> = (0u16..)
            .map(ShardId)
            .zip(&self.worlds)
            .map(|(shard, it)| (shard, it.owner.load(it.now)))
            .collect();
        for (own, world) in (0u16..).map(ShardId).zip(&mut self.worlds) {
            let others = loads.iter().filter(|(shard, _)| *shard != own).copied();
            world.owner.step(world.now, Event::Loads(SortedMap::from_iter(others)));
        }
    }

    /// The owner of a shard dies with all that it was writing; another takes over.
    pub fn kill_owner(&mut self, at: usize) {
        self.worlds[at].forwarded.clear();
        self.under_way.retain(|(_, from, ..)| usize::from(from.0) != at);
        self.worlds[at].change_owner(true);
    }

    /// The same; the new one reads the log anew.
    pub fn kill_owner_and_read(&mut self, at: usize, by_key: bool, progress_first: bool) {
        self.worlds[at].forwarded.clear();
        self.under_way.retain(|(_, from, ..)| usize::from(from.0) != at);
        self.worlds[at].change_owner_that_reads(by_key, progress_first);
    }

    pub fn places(&self, task: TaskId) -> Vec<&str> {
        self.worlds.iter().flat_map(|it| it.places(task)).collect()
    }
}
