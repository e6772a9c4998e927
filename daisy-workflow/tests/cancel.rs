//! How soon the tasks of a cancelled job stop while owners die.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Event, IncomingTransfer, JobId, JobSpec, Layout, OutgoingTransfer, Record, ShardId, StepSpec,
    TaskId,
};
use util::{
    CORE, FakeWorker, Fault, LONG_RUNNING_WORK_MS, Simulation, job, long_running_step, task,
};

const LAYOUT: Layout = Layout { shards: 3 };
const SHARDS: usize = 3;
/// Time without an owner after an owner was killed.
const OWNERLESS_TIME: Duration = Duration::from_millis(1_400);
/// Maximum time from a cancellation, or from the last owner change after it, until no task of the
/// job runs.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Three shards with a worker of four cores each, and the records that they write to each other.
struct ThreeShards {
    shards: Vec<Simulation>,
    /// When the next owner of each shard starts; `None` while the shard has an owner.
    next_owner_at: [Option<Instant>; SHARDS],
    in_flight: Vec<InFlightRecord>,
    rng: fastrand::Rng,
}

/// A record that an owner writes to the submissions of another shard.
struct InFlightRecord {
    from: usize,
    to: ShardId,
    arrives: Instant,
    record: Record,
}

impl ThreeShards {
    fn new(seed: u64) -> ThreeShards {
        let sim = |(shard, name)| {
            let mut sim = Simulation::of_shard(vec![FakeWorker::new(name, 4)], shard, LAYOUT);
            sim.work_ms = |_| LONG_RUNNING_WORK_MS;
            sim
        };
        let shards = LAYOUT.all().zip(["a", "b", "c"]).map(sim).collect();
        let rng = fastrand::Rng::with_seed(seed);
        ThreeShards { shards, next_owner_at: [None; SHARDS], in_flight: Vec::new(), rng }
    }

    /// Returns shards with a running job that was transferred as `placement` says.
    fn with_job(placement: Placement, seed: u64) -> ThreeShards {
        let mut sim = ThreeShards::new(seed);
        sim.load_job(placement);
        sim.run_ms(1_000);
        assert_eq!(sim.workers_running(), placement.workers_running(), "{placement:?}");
        sim
    }

    /// Writes the records of a job that was transferred as `placement` says, and lets new owners
    /// read them.
    fn load_job(&mut self, placement: Placement) {
        for (shard, record) in placement.records() {
            let sim = &mut self.shards[shard];
            match record {
                Record::Submitted(..) | Record::TaskTransferredIn(..) => sim.write(record),
                it => drop(sim.ledger.fold(it)),
            }
        }
        self.shards.iter_mut().for_each(|it| it.change_owner(true));
    }

    fn now(&self) -> Instant {
        self.shards[0].now
    }

    fn step(&mut self) {
        for (at, sim) in self.shards.iter_mut().enumerate() {
            match self.next_owner_at[at] {
                Some(until) if sim.now < until => {
                    sim.idle();
                    continue;
                }
                Some(_) => {
                    self.next_owner_at[at] = None;
                    sim.change_owner(true);
                }
                None => {}
            }
            sim.step();
            for (shard, record) in sim.forwarded.drain(..) {
                let arrives = sim.now + Duration::from_millis(self.rng.u64(10..200));
                self.in_flight.push(InFlightRecord { from: at, to: shard, arrives, record });
            }
        }
        let now = self.now();
        for it in std::mem::take(&mut self.in_flight) {
            match it.arrives <= now {
                true => self.shards[usize::from(it.to.0)].write(it.record),
                false => self.in_flight.push(it),
            }
        }
    }

    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    /// Kills the owners of some shards together with their writes in flight.
    fn kill_owners(&mut self, killed: [bool; SHARDS], stored: bool) {
        let until = self.now() + OWNERLESS_TIME;
        for (at, _) in killed.iter().enumerate().filter(|(_, it)| **it) {
            self.shards[at].kill_owner(stored);
            self.next_owner_at[at] = Some(until);
        }
        self.in_flight.retain(|it| !killed[it.from]);
    }

    fn cancel(&mut self) {
        self.shards[0].cancel(job_id().0);
    }

    /// Returns the names of the workers on which the job's tasks run.
    fn workers_running(&self) -> Vec<String> {
        let runs = |it: &&FakeWorker| it.runs.iter().any(|run| run.task.job == job_id());
        let workers = self.shards.iter().flat_map(|it| &it.workers);
        workers.filter(runs).map(|it| it.name.clone()).collect()
    }

    /// Checks that no task of the job runs once `STOP_TIMEOUT` has passed since `since`, and that
    /// none starts again.
    fn assert_all_stopped(&mut self, since: Instant, what: &str) {
        while self.now() < since + STOP_TIMEOUT {
            self.step();
        }
        for _ in 0..50 {
            assert_eq!(self.workers_running(), Vec::<String>::new(), "{what}");
            self.step();
        }
    }
}

/// How a job of two tasks was transferred to the shards where it runs.
#[derive(Debug, Clone, Copy)]
enum Placement {
    /// The job's own shard runs all of it.
    OwnShard,
    /// Its own shard has transferred it to another one.
    Delegated,
    /// One of its tasks was transferred to another shard.
    OneHop,
    /// The other shard has transferred that task to a third one.
    TwoHops,
    /// The job was transferred as a whole, and then one of its tasks.
    DelegatedThenOneHop,
}

const PLACEMENTS: [Placement; 5] = [
    Placement::OwnShard,
    Placement::Delegated,
    Placement::OneHop,
    Placement::TwoHops,
    Placement::DelegatedThenOneHop,
];

impl Placement {
    /// Returns the records, each with the shard whose log has it.
    fn records(self) -> Vec<(usize, Record)> {
        let submitted = |shard| (shard, Record::Submitted(job_id(), spec()));
        let delegated = (0, Record::Delegated(job_id(), ShardId(1)));
        match self {
            Placement::OwnShard => vec![submitted(0)],
            Placement::Delegated => vec![submitted(0), delegated, submitted(1)],
            Placement::OneHop => vec![submitted(0), task_transferred(0, 1, 1), task_received(1, 1)],
            Placement::TwoHops => vec![
                submitted(0),
                task_transferred(0, 1, 1),
                task_received(1, 1),
                task_transferred(1, 2, 2),
                task_received(2, 2),
            ],
            Placement::DelegatedThenOneHop => {
                vec![
                    submitted(0),
                    delegated,
                    submitted(1),
                    task_transferred(1, 1, 2),
                    task_received(2, 1),
                ]
            }
        }
    }

    /// Returns the names of the workers on which tasks of the job then run.
    fn workers_running(self) -> &'static [&'static str] {
        match self {
            Placement::OwnShard => &["a"],
            Placement::Delegated => &["b"],
            Placement::OneHop => &["a", "b"],
            Placement::TwoHops => &["a", "c"],
            Placement::DelegatedThenOneHop => &["b", "c"],
        }
    }
}

/// Returns the id of a job of the first shard.
fn job_id() -> JobId {
    (1..)
        .map(JobId)
        .find(|id| LAYOUT.shard_of_job(*id) == ShardId(0))
        .expect("some job id belongs to each shard")
}

/// Returns a job of two long-running tasks, of which a worker holds one.
fn spec() -> JobSpec {
    let need = Resources { cpu_milli: 3 * CORE, ..long_running_step(1).need };
    job(vec![StepSpec { need, ..long_running_step(2) }])
}

/// Returns the second task of the job.
fn second_task() -> TaskId {
    task(job_id().0, 0, 1)
}

fn task_transferred(from: usize, number: u32, to: u16) -> (usize, Record) {
    (from, Record::TaskTransferredOut(second_task(), OutgoingTransfer { number, to: ShardId(to) }))
}

fn task_received(to: usize, number: u32) -> (usize, Record) {
    let it =
        IncomingTransfer { number, spec: spec(), runs: 0, failures: 0, checkpoint: String::new() };
    (to, Record::TaskTransferredIn(second_task(), Box::new(it)))
}

/// Owners that are killed around a cancellation that is stored would leave tasks of the job
/// running.
#[test]
fn a_cancellation_is_carried_out_when_all_owners_die() {
    for placement in PLACEMENTS {
        for killed_at in (0..60).step_by(2) {
            let mut sim = ThreeShards::with_job(placement, killed_at);
            let since = sim.now() + Duration::from_millis(killed_at * 10) + OWNERLESS_TIME;
            for at in 0..60 {
                if at == 30 {
                    sim.cancel();
                }
                if at == killed_at {
                    sim.kill_owners([true; SHARDS], at % 4 == 0);
                }
                sim.step();
            }

            sim.assert_all_stopped(
                since,
                &format!("{placement:?}, killed at step {killed_at} of 30"),
            );
        }
    }
}

/// Owners are killed one after the other, some of them several times.
#[test]
fn a_cancellation_is_carried_out_when_owners_die_in_turn() {
    const SCHEDULES: u64 = 40;
    const STEPS: u64 = 200;
    for placement in PLACEMENTS {
        for seed in 0..SCHEDULES {
            let mut rng = fastrand::Rng::with_seed(seed);
            let kills: Vec<(u64, usize)> =
                (0..rng.u32(1..6)).map(|_| (rng.u64(..STEPS), rng.usize(..SHARDS))).collect();
            let cancel_at = rng.u64(..STEPS);
            let mut sim = ThreeShards::with_job(placement, seed);
            let last = kills.iter().map(|it| it.0).max().unwrap_or_default();
            let changed = sim.now() + Duration::from_millis(last * 10) + OWNERLESS_TIME;
            let since = changed.max(sim.now() + Duration::from_millis(cancel_at * 10));
            for at in 0..STEPS {
                if at == cancel_at {
                    sim.cancel();
                }
                for (_, shard) in kills.iter().filter(|it| it.0 == at) {
                    let mut killed = [false; SHARDS];
                    killed[*shard] = true;
                    sim.kill_owners(killed, rng.bool());
                }
                sim.step();
            }

            sim.assert_all_stopped(since, &format!("{placement:?}, seed {seed}"));
        }
    }
}

/// The owner is killed, or not, while it starts the tasks of a job that is cancelled at once.
#[test]
fn a_job_that_is_cancelled_while_it_starts_stops_in_time() {
    for fault in [Fault::None, Fault::LosesAnswers] {
        for cancel_at in 0..12 {
            for killed_at in 0..=16 {
                let mut sim = ThreeShards::new(killed_at);
                sim.run_ms(200);
                sim.shards[0].worker("a").fault = fault;
                let since = sim.now() + Duration::from_millis(killed_at * 10) + OWNERLESS_TIME;
                sim.shards[0].submit(job_id().0, spec());
                for at in 0..16 {
                    if at == cancel_at {
                        sim.cancel();
                    }
                    if at == killed_at {
                        sim.kill_owners([true; SHARDS], cancel_at % 2 == 0);
                    }
                    sim.step();
                }

                sim.assert_all_stopped(since, &format!("{fault:?}, {cancel_at}, {killed_at}"));
            }
        }
    }
}

/// Shards that are about to transfer a task to the third shard: the sender, and how the job was
/// transferred to it.
const SENDERS: [(usize, Placement); 3] =
    [(0, Placement::OwnShard), (1, Placement::Delegated), (1, Placement::OneHop)];

impl ThreeShards {
    /// Returns shards in which the second task of the job waits in shard `sender`.
    fn with_waiting_task(sender: usize, placement: Placement, seed: u64) -> ThreeShards {
        let mut sim = ThreeShards::new(seed);
        if let Placement::OneHop = placement {
            sim.shards[sender].submit(job_id().0 + 1_000, spec());
            sim.run_ms(100);
        }
        sim.load_job(placement);
        sim
    }

    /// Runs a step in which `sender` receives the load of the third shard.
    fn step_with_loads(&mut self, sender: usize) {
        let third = &self.shards[2];
        let loads = SortedMap::from_iter([(ShardId(2), third.owner.load(third.now))]);
        let now = self.now();
        self.shards[sender].owner.handle_event(now, Event::Loads(loads));
        self.step();
    }

    fn is_transferred(&self, sender: usize) -> bool {
        let job = self.shards[sender].ledger.job(job_id());
        job.is_some_and(|it| it.transferred_to().contains(&ShardId(2)))
    }
}

/// A job is cancelled, and owners are killed, at any moment around the transfer of one of its
/// tasks.
#[test]
fn a_cancellation_during_a_transfer_is_carried_out() {
    for (sender, placement) in SENDERS {
        let mut sim = ThreeShards::with_waiting_task(sender, placement, 0);
        let recorded_worker = (0..600)
            .find(|_| {
                sim.step_with_loads(sender);
                sim.is_transferred(sender)
            })
            .expect("the task is transferred");
        for cancel_at in (recorded_worker - 8..recorded_worker + 28).step_by(3) {
            for killed_at in (recorded_worker - 6..recorded_worker + 32).step_by(3) {
                let all = (cancel_at + killed_at) % 2 == 0;
                let killed = [all || sender == 0, all || sender == 1, all];
                let mut sim = ThreeShards::with_waiting_task(sender, placement, killed_at);
                let last = cancel_at.max(killed_at) * 10;
                let since = sim.now() + Duration::from_millis(last) + OWNERLESS_TIME;
                for at in 0..=cancel_at.max(killed_at) {
                    if at == cancel_at {
                        sim.cancel();
                    }
                    if at == killed_at {
                        sim.kill_owners(killed, at % 2 == 0);
                    }
                    sim.step_with_loads(sender);
                }

                sim.assert_all_stopped(
                    since,
                    &format!("{placement:?}, {cancel_at}, {killed_at}, {killed:?}"),
                );
            }
        }
    }
}
