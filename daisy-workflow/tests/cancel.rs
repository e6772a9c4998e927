//! How soon the tasks of a cancelled job are gone while owners die.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Event, Handover, Hop, JobId, JobSpec, Layout, Record, ShardId, StepSpec, TaskId,
};
use util::{
    CORE, FakeWorker, Fault, LONG_RUNNING_WORK_MS, Simulation, job, long_running_step, task,
};

const LAYOUT: Layout = Layout { shards: 3 };
const SHARDS: usize = 3;
/// Time without an owner after one was killed.
const OWNERLESS: Duration = Duration::from_millis(1_400);
/// From a cancellation, or the last change of an owner after it, until nothing of the job runs.
const SOON: Duration = Duration::from_millis(1_500);

/// Three shards, a worker of four cores each, and what is written from one shard to another.
struct ShardedSimulation {
    shards: Vec<Simulation>,
    /// When the next owner of each shard begins, if it has none.
    ownerless: [Option<Instant>; SHARDS],
    under_way: Vec<UnderWay>,
    rng: fastrand::Rng,
}

/// What an owner writes to the submissions of another shard.
struct UnderWay {
    from: usize,
    to: ShardId,
    arrives: Instant,
    record: Record,
}

impl ShardedSimulation {
    fn new(seed: u64) -> ShardedSimulation {
        let sim = |(shard, name)| {
            let mut sim = Simulation::of_shard(vec![FakeWorker::new(name, 4)], shard, LAYOUT);
            sim.work_ms = |_| LONG_RUNNING_WORK_MS;
            sim
        };
        let shards = LAYOUT.all().zip(["a", "b", "c"]).map(sim).collect();
        let rng = fastrand::Rng::with_seed(seed);
        ShardedSimulation { shards, ownerless: [None; SHARDS], under_way: Vec::new(), rng }
    }

    /// One with a job that was handed on as `way` says and runs.
    fn with_job(way: Way, seed: u64) -> ShardedSimulation {
        let mut sim = ShardedSimulation::new(seed);
        sim.hand_in(way);
        sim.run_ms(1_000);
        assert_eq!(sim.workers_running(), way.workers_running(), "{way:?}");
        sim
    }

    /// New owners read a job that was handed on as `way` says.
    fn hand_in(&mut self, way: Way) {
        for (shard, record) in way.records() {
            let sim = &mut self.shards[shard];
            match record {
                Record::Submitted(..) | Record::TaskSubmitted(..) => sim.write(record),
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
            match self.ownerless[at] {
                Some(until) if sim.now < until => {
                    sim.idle();
                    continue;
                }
                Some(_) => {
                    self.ownerless[at] = None;
                    sim.change_owner(true);
                }
                None => {}
            }
            sim.step();
            for (shard, record) in sim.forwarded.drain(..) {
                let arrives = sim.now + Duration::from_millis(self.rng.u64(10..200));
                self.under_way.push(UnderWay { from: at, to: shard, arrives, record });
            }
        }
        let now = self.now();
        for it in std::mem::take(&mut self.under_way) {
            match it.arrives <= now {
                true => self.shards[usize::from(it.to.0)].write(it.record),
                false => self.under_way.push(it),
            }
        }
    }

    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    /// The owners of some shards die with what they write to others.
    fn kill_owners(&mut self, killed: [bool; SHARDS], stored: bool) {
        let until = self.now() + OWNERLESS;
        for (at, _) in killed.iter().enumerate().filter(|(_, it)| **it) {
            self.shards[at].kill_owner(stored);
            self.ownerless[at] = Some(until);
        }
        self.under_way.retain(|it| !killed[it.from]);
    }

    fn cancel(&mut self) {
        self.shards[0].cancel(job_id().0);
    }

    /// Workers on which the job's tasks run.
    fn workers_running(&self) -> Vec<String> {
        let runs = |it: &&FakeWorker| it.runs.iter().any(|run| run.task.job == job_id());
        let workers = self.shards.iter().flat_map(|it| &it.workers);
        workers.filter(runs).map(|it| it.name.clone()).collect()
    }

    /// Checks that all of the job is gone soon after `since`, and that nothing of it starts again.
    fn assert_gone(&mut self, since: Instant, what: &str) {
        while self.now() < since + SOON {
            self.step();
        }
        for _ in 0..50 {
            assert_eq!(self.workers_running(), Vec::<String>::new(), "{what}");
            self.step();
        }
    }
}

/// How a job of two tasks came to be where it runs.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// One shard runs all of it.
    Stays,
    /// Its own shard has handed it to another one.
    Delegated,
    /// One of its tasks was handed to another shard.
    OneHop,
    /// That one has handed the task to a third.
    TwoHops,
    /// Handed on whole, and then one of its tasks.
    DelegatedThenOneHop,
}

const WAYS: [Way; 5] =
    [Way::Stays, Way::Delegated, Way::OneHop, Way::TwoHops, Way::DelegatedThenOneHop];

impl Way {
    /// Records, each with the shard that has it.
    fn records(self) -> Vec<(usize, Record)> {
        let submitted = |shard| (shard, Record::Submitted(job_id(), spec()));
        let delegated = (0, Record::Delegated(job_id(), ShardId(1)));
        match self {
            Way::Stays => vec![submitted(0)],
            Way::Delegated => vec![submitted(0), delegated, submitted(1)],
            Way::OneHop => vec![submitted(0), handed_on(0, 1, 1), handed(1, 1)],
            Way::TwoHops => vec![
                submitted(0),
                handed_on(0, 1, 1),
                handed(1, 1),
                handed_on(1, 2, 2),
                handed(2, 2),
            ],
            Way::DelegatedThenOneHop => {
                vec![submitted(0), delegated, submitted(1), handed_on(1, 1, 2), handed(2, 1)]
            }
        }
    }

    /// Workers on which tasks of the job run then.
    fn workers_running(self) -> &'static [&'static str] {
        match self {
            Way::Stays => &["a"],
            Way::Delegated => &["b"],
            Way::OneHop => &["a", "b"],
            Way::TwoHops => &["a", "c"],
            Way::DelegatedThenOneHop => &["b", "c"],
        }
    }
}

/// A job of the first shard.
fn job_id() -> JobId {
    (1..).map(JobId).find(|id| LAYOUT.of_job(*id) == ShardId(0)).expect("one of many")
}

/// Two tasks that last, each of which fills a worker.
fn spec() -> JobSpec {
    let need = Resources { cpu_milli: 3 * CORE, ..long_running_step(1).need };
    job(vec![StepSpec { need, ..long_running_step(2) }])
}

/// The second of them.
fn moves() -> TaskId {
    task(job_id().0, 0, 1)
}

fn handed_on(from: usize, number: u32, to: u16) -> (usize, Record) {
    (from, Record::TaskHandedOn(moves(), Hop { number, to: ShardId(to) }))
}

fn handed(to: usize, hop: u32) -> (usize, Record) {
    let it = Handover { hop, spec: spec(), runs: 0, failures: 0, checkpoint: String::new() };
    (to, Record::TaskSubmitted(moves(), Box::new(it)))
}

/// Killed around a cancellation that is stored, owners would leave tasks of the job running.
#[test]
fn a_cancellation_outlives_all_owners() {
    for way in WAYS {
        for killed_at in (0..60).step_by(2) {
            let mut sim = ShardedSimulation::with_job(way, killed_at);
            let since = sim.now() + Duration::from_millis(killed_at * 10) + OWNERLESS;
            for at in 0..60 {
                if at == 30 {
                    sim.cancel();
                }
                if at == killed_at {
                    sim.kill_owners([true; SHARDS], at % 4 == 0);
                }
                sim.step();
            }

            sim.assert_gone(since, &format!("{way:?}, killed at step {killed_at} of 30"));
        }
    }
}

/// Owners are killed one after the other, some of them twice.
#[test]
fn a_cancellation_outlives_owners_that_die_in_turn() {
    const PLAYS: u64 = 40;
    const STEPS: u64 = 200;
    for way in WAYS {
        for seed in 0..PLAYS {
            let mut rng = fastrand::Rng::with_seed(seed);
            let kills: Vec<(u64, usize)> =
                (0..rng.u32(1..6)).map(|_| (rng.u64(..STEPS), rng.usize(..SHARDS))).collect();
            let cancel_at = rng.u64(..STEPS);
            let mut sim = ShardedSimulation::with_job(way, seed);
            let last = kills.iter().map(|it| it.0).max().unwrap_or_default();
            let changed = sim.now() + Duration::from_millis(last * 10) + OWNERLESS;
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

            sim.assert_gone(since, &format!("{way:?}, seed {seed}"));
        }
    }
}

/// The owner is killed, or not, while it starts the tasks of a job that is cancelled at once.
#[test]
fn a_job_that_is_cancelled_while_it_starts_is_gone_soon() {
    for fault in [Fault::None, Fault::LosesAnswers] {
        for cancel_at in 0..12 {
            for killed_at in 0..=16 {
                let mut sim = ShardedSimulation::new(killed_at);
                sim.run_ms(200);
                sim.shards[0].worker("a").fault = fault;
                let since = sim.now() + Duration::from_millis(killed_at * 10) + OWNERLESS;
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

                sim.assert_gone(since, &format!("{fault:?}, {cancel_at}, {killed_at}"));
            }
        }
    }
}

/// Fleets in which a shard is about to hand a task to the third: the shard, and how the job came there.
const GIVERS: [(usize, Way); 3] = [(0, Way::Stays), (1, Way::Delegated), (1, Way::OneHop)];

impl ShardedSimulation {
    /// One in which the second task of the job waits in shard `giver`.
    fn with_waiting_task(giver: usize, way: Way, seed: u64) -> ShardedSimulation {
        let mut sim = ShardedSimulation::new(seed);
        if let Way::OneHop = way {
            sim.shards[giver].submit(job_id().0 + 1_000, spec());
            sim.run_ms(100);
        }
        sim.hand_in(way);
        sim
    }

    /// The same step, in which `giver` hears of the third shard's room.
    fn step_told(&mut self, giver: usize) {
        let third = &self.shards[2];
        let loads = SortedMap::from_iter([(ShardId(2), third.owner.load(third.now))]);
        let now = self.now();
        self.shards[giver].owner.step(now, Event::Loads(loads));
        self.step();
    }

    fn is_handed_on(&self, giver: usize) -> bool {
        let job = self.shards[giver].ledger.job(job_id());
        job.is_some_and(|it| it.handed_to().contains(&ShardId(2)))
    }
}

/// A job is cancelled, and owners are killed, at any moment around the hand-over of one of its tasks.
#[test]
fn a_cancellation_during_a_hand_over_is_carried_out() {
    for (giver, way) in GIVERS {
        let mut sim = ShardedSimulation::with_waiting_task(giver, way, 0);
        let recorded_worker = (0..600)
            .find(|_| {
                sim.step_told(giver);
                sim.is_handed_on(giver)
            })
            .expect("it is handed on");
        for cancel_at in (recorded_worker - 8..recorded_worker + 28).step_by(3) {
            for killed_at in (recorded_worker - 6..recorded_worker + 32).step_by(3) {
                let all = (cancel_at + killed_at) % 2 == 0;
                let killed = [all || giver == 0, all || giver == 1, all];
                let mut sim = ShardedSimulation::with_waiting_task(giver, way, killed_at);
                let last = cancel_at.max(killed_at) * 10;
                let since = sim.now() + Duration::from_millis(last) + OWNERLESS;
                for at in 0..=cancel_at.max(killed_at) {
                    if at == cancel_at {
                        sim.cancel();
                    }
                    if at == killed_at {
                        sim.kill_owners(killed, at % 2 == 0);
                    }
                    sim.step_told(giver);
                }

                sim.assert_gone(since, &format!("{way:?}, {cancel_at}, {killed_at}, {killed:?}"));
            }
        }
    }
}
