//! Simulates several shards, each with an owner, and the records that they write to each other's
//! logs.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{Event, JobId, Layout, Record, ShardId, TaskId};

use super::{FakeWorker, LONG_RUNNING_WORK_MS, Simulation};

/// Time that a write to another shard takes.
const WRITE_LATENCY: Duration = Duration::from_millis(30);

/// Upper limit of the random extra time of such a write.
const MAX_EXTRA_WRITE_LATENCY_MS: u64 = 1_500;

pub struct ShardedSimulation {
    pub shards: Vec<Simulation>,
    /// Records in flight: when each arrives, the shard it comes from, the shard it goes to, and the
    /// record.
    under_way: Vec<(Instant, ShardId, ShardId, Record)>,
    /// Draws the extra time of each write; `None` if writes take no extra time.
    pub extra_write_latency: Option<fastrand::Rng>,
}

impl ShardedSimulation {
    /// Returns shards with these workers, on which all tasks are long-running.
    pub fn new(workers: Vec<Vec<FakeWorker>>) -> ShardedSimulation {
        let layout = Layout { shards: workers.len() as u16 };
        let shards = workers.into_iter().zip(layout.all()).map(|(workers, shard)| {
            let mut sim = Simulation::of_shard(workers, shard, layout);
            sim.work_ms = |_| LONG_RUNNING_WORK_MS;
            sim
        });
        ShardedSimulation {
            shards: shards.collect(),
            under_way: Vec::new(),
            extra_write_latency: None,
        }
    }

    /// Returns the first job id that belongs to a shard.
    pub fn job_id_of(&self, shard: ShardId) -> JobId {
        let layout = Layout { shards: self.shards.len() as u16 };
        (1..)
            .map(JobId)
            .find(|id| layout.shard_of_job(*id) == shard)
            .expect("some job id belongs to each shard")
    }

    pub fn step(&mut self) {
        for (from, sim) in (0u16..).map(ShardId).zip(&mut self.shards) {
            sim.step();
            let at = sim.now + WRITE_LATENCY;
            for (to, record) in sim.forwarded.drain(..) {
                let more = self
                    .extra_write_latency
                    .as_mut()
                    .map_or(0, |it| it.u64(..MAX_EXTRA_WRITE_LATENCY_MS));
                self.under_way.push((at + Duration::from_millis(more), from, to, record));
            }
        }
        let now = self.shards[0].now;
        let under_way = std::mem::take(&mut self.under_way);
        for (at, from, to, record) in under_way {
            match at <= now {
                true => self.shards[usize::from(to.0)].write(record),
                false => self.under_way.push((at, from, to, record)),
            }
        }
        self.check();
    }

    fn check(&self) {
        let mut running: Vec<TaskId> =
            self.shards.iter().flat_map(|it| &it.workers).flat_map(FakeWorker::tasks).collect();
        running.sort_unstable();
        for pair in running.windows(2) {
            assert_ne!(pair[0], pair[1], "a task runs on two workers");
        }
    }

    pub fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    /// Runs for a time, as `run_ms`, and publishes the loads of all shards every 400 ms, as owners
    /// do.
    pub fn run_with_loads_ms(&mut self, millis: u64) {
        for at in 0..millis / 10 {
            if at % 40 == 0 {
                self.publish_loads();
            }
            self.step();
        }
    }

    fn publish_loads(&mut self) {
        let loads: Vec<_> = (0u16..)
            .map(ShardId)
            .zip(&self.shards)
            .map(|(shard, it)| (shard, it.owner.load(it.now)))
            .collect();
        for (own, sim) in (0u16..).map(ShardId).zip(&mut self.shards) {
            let others = loads.iter().filter(|(shard, _)| *shard != own).copied();
            sim.owner.handle_event(sim.now, Event::Loads(SortedMap::from_iter(others)));
        }
    }

    /// Kills the owner of a shard together with all its writes in flight; a new owner takes over.
    pub fn kill_owner(&mut self, at: usize) {
        self.shards[at].forwarded.clear();
        self.under_way.retain(|(_, from, ..)| usize::from(from.0) != at);
        self.shards[at].change_owner(true);
    }

    /// Kills the owner of a shard, as `kill_owner`; the new owner replays the log.
    pub fn kill_owner_and_replay(&mut self, at: usize, by_key: bool, progress_first: bool) {
        self.shards[at].forwarded.clear();
        self.under_way.retain(|(_, from, ..)| usize::from(from.0) != at);
        self.shards[at].change_owner_and_replay(by_key, progress_first);
    }

    pub fn workers_running(&self, task: TaskId) -> Vec<&str> {
        self.shards.iter().flat_map(|it| it.workers_running(task)).collect()
    }
}
