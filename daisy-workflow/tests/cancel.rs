//! How soon the tasks of a cancelled job are gone while owners die.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Resources, SortedMap};
use daisy_workflow::{
    Event, IncomingTransfer, JobId, JobSpec, Layout, OutgoingTransfer, Record, ShardId, StepSpec,
    TaskId,
};
use util::{CORE, FakeWorker, Fault, LASTS_MS, World, job, long_running, task};

const LAYOUT: Layout = Layout { shards: 3 };
const SHARDS: usize = 3;
/// Time without an owner after one was killed.
const OWNERLESS: Duration = Duration::from_millis(1_400);
/// From a cancellation, or the last change of an owner after it, until nothing of the job runs.
const SOON: Duration = Duration::from_millis(1_500);

/// Three shards, a worker of four cores each, and what is written from one shard to another.
struct Fleet {
    worlds: Vec<World>,
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

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let world = |(shard, name)| {
            let mut world = World::of_shard(vec![FakeWorker::new(name, 4)], shard, LAYOUT);
            world.work = |_| LASTS_MS;
            world
        };
        let worlds = LAYOUT.all().zip(["a", "b", "c"]).map(world).collect();
        let rng = fastrand::Rng::with_seed(seed);
        Fleet { worlds, ownerless: [None; SHARDS], under_way: Vec::new(), rng }
    }

    /// One with a job that was handed on as `way` says and runs.
    fn with_job(way: Way, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(seed);
        fleet.hand_in(way);
        fleet.run_ms(1_000);
        assert_eq!(fleet.places(), way.places(), "{way:?}");
        fleet
    }

    /// New owners read a job that was handed on as `way` says.
    fn hand_in(&mut self, way: Way) {
        for (shard, record) in way.records() {
            let world = &mut self.worlds[shard];
            match record {
                Record::Submitted(..) | Record::TaskTransferredIn(..) => world.write(record),
                it => drop(world.ledger.fold(it)),
            }
        }
        self.worlds.iter_mut().for_each(|it| it.change_owner(true));
    }

    fn now(&self) -> Instant {
        self.worlds[0].now
    }

    fn step(&mut self) {
        for (at, world) in self.worlds.iter_mut().enumerate() {
            match self.ownerless[at] {
                Some(until) if world.now < until => {
                    world.idle();
                    continue;
                }
                Some(_) => {
                    self.ownerless[at] = None;
                    world.change_owner(true);
                }
                None => {}
            }
            world.step();
            for (shard, record) in world.forwarded.drain(..) {
                let arrives = world.now + Duration::from_millis(self.rng.u64(10..200));
                self.under_way.push(UnderWay { from: at, to: shard, arrives, record });
            }
        }
        let now = self.now();
        for it in std::mem::take(&mut self.under_way) {
            match it.arrives <= now {
                true => self.worlds[usize::from(it.to.0)].write(it.record),
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
            self.worlds[at].kill_owner(stored);
            self.ownerless[at] = Some(until);
        }
        self.under_way.retain(|it| !killed[it.from]);
    }

    fn cancel(&mut self) {
        self.worlds[0].cancel(job_id().0);
    }

    /// Workers on which the job's tasks run.
    fn places(&self) -> Vec<String> {
        let runs = |it: &&FakeWorker| it.runs.iter().any(|run| run.task.job == job_id());
        let workers = self.worlds.iter().flat_map(|it| &it.workers);
        workers.filter(runs).map(|it| it.name.clone()).collect()
    }

    /// Checks that all of the job is gone soon after `since`, and that nothing of it starts again.
    fn assert_gone(&mut self, since: Instant, what: &str) {
        while self.now() < since + SOON {
            self.step();
        }
        for _ in 0..50 {
            assert_eq!(self.places(), Vec::<String>::new(), "{what}");
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
    fn places(self) -> &'static [&'static str] {
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
    let need = Resources { cpu_milli: 3 * CORE, ..long_running(1).need };
    job(vec![StepSpec { need, ..long_running(2) }])
}

/// The second of them.
fn moves() -> TaskId {
    task(job_id().0, 0, 1)
}

fn handed_on(from: usize, number: u32, to: u16) -> (usize, Record) {
    (from, Record::TaskTransferredOut(moves(), OutgoingTransfer { number, to: ShardId(to) }))
}

fn handed(to: usize, hop: u32) -> (usize, Record) {
    let it =
        IncomingTransfer { hop, spec: spec(), runs: 0, failures: 0, checkpoint: String::new() };
    (to, Record::TaskTransferredIn(moves(), Box::new(it)))
}

/// Killed around a cancellation that is stored, owners would leave tasks of the job running.
#[test]
fn a_cancellation_outlives_all_owners() {
    for way in WAYS {
        for killed_at in (0..60).step_by(2) {
            let mut fleet = Fleet::with_job(way, killed_at);
            let since = fleet.now() + Duration::from_millis(killed_at * 10) + OWNERLESS;
            for at in 0..60 {
                if at == 30 {
                    fleet.cancel();
                }
                if at == killed_at {
                    fleet.kill_owners([true; SHARDS], at % 4 == 0);
                }
                fleet.step();
            }

            fleet.assert_gone(since, &format!("{way:?}, killed at step {killed_at} of 30"));
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
            let mut fleet = Fleet::with_job(way, seed);
            let last = kills.iter().map(|it| it.0).max().unwrap_or_default();
            let changed = fleet.now() + Duration::from_millis(last * 10) + OWNERLESS;
            let since = changed.max(fleet.now() + Duration::from_millis(cancel_at * 10));
            for at in 0..STEPS {
                if at == cancel_at {
                    fleet.cancel();
                }
                for (_, shard) in kills.iter().filter(|it| it.0 == at) {
                    let mut killed = [false; SHARDS];
                    killed[*shard] = true;
                    fleet.kill_owners(killed, rng.bool());
                }
                fleet.step();
            }

            fleet.assert_gone(since, &format!("{way:?}, seed {seed}"));
        }
    }
}

/// The owner is killed, or not, while it starts the tasks of a job that is cancelled at once.
#[test]
fn a_job_that_is_cancelled_while_it_starts_is_gone_soon() {
    for fault in [Fault::None, Fault::LosesAnswers] {
        for cancel_at in 0..12 {
            for killed_at in 0..=16 {
                let mut fleet = Fleet::new(killed_at);
                fleet.run_ms(200);
                fleet.worlds[0].worker("a").fault = fault;
                let since = fleet.now() + Duration::from_millis(killed_at * 10) + OWNERLESS;
                fleet.worlds[0].submit(job_id().0, spec());
                for at in 0..16 {
                    if at == cancel_at {
                        fleet.cancel();
                    }
                    if at == killed_at {
                        fleet.kill_owners([true; SHARDS], cancel_at % 2 == 0);
                    }
                    fleet.step();
                }

                fleet.assert_gone(since, &format!("{fault:?}, {cancel_at}, {killed_at}"));
            }
        }
    }
}

/// Fleets in which a shard is about to hand a task to the third: the shard, and how the job came there.
const GIVERS: [(usize, Way); 3] = [(0, Way::Stays), (1, Way::Delegated), (1, Way::OneHop)];

impl Fleet {
    /// One in which the second task of the job waits in shard `giver`.
    fn with_waiting_task(giver: usize, way: Way, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(seed);
        if let Way::OneHop = way {
            fleet.worlds[giver].submit(job_id().0 + 1_000, spec());
            fleet.run_ms(100);
        }
        fleet.hand_in(way);
        fleet
    }

    /// The same step, in which `giver` hears of the third shard's room.
    fn step_told(&mut self, giver: usize) {
        let third = &self.worlds[2];
        let loads = SortedMap::from_iter([(ShardId(2), third.owner.load(third.now))]);
        let now = self.now();
        self.worlds[giver].owner.step(now, Event::Loads(loads));
        self.step();
    }

    fn is_handed_on(&self, giver: usize) -> bool {
        let job = self.worlds[giver].ledger.job(job_id());
        job.is_some_and(|it| it.transferred_to().contains(&ShardId(2)))
    }
}

/// A job is cancelled, and owners are killed, at any moment around the hand-over of one of its tasks.
#[test]
fn a_cancellation_during_a_hand_over_is_carried_out() {
    for (giver, way) in GIVERS {
        let mut fleet = Fleet::with_waiting_task(giver, way, 0);
        let recorded = (0..600)
            .find(|_| {
                fleet.step_told(giver);
                fleet.is_handed_on(giver)
            })
            .expect("it is handed on");
        for cancel_at in (recorded - 8..recorded + 28).step_by(3) {
            for killed_at in (recorded - 6..recorded + 32).step_by(3) {
                let all = (cancel_at + killed_at) % 2 == 0;
                let killed = [all || giver == 0, all || giver == 1, all];
                let mut fleet = Fleet::with_waiting_task(giver, way, killed_at);
                let last = cancel_at.max(killed_at) * 10;
                let since = fleet.now() + Duration::from_millis(last) + OWNERLESS;
                for at in 0..=cancel_at.max(killed_at) {
                    if at == cancel_at {
                        fleet.cancel();
                    }
                    if at == killed_at {
                        fleet.kill_owners(killed, at % 2 == 0);
                    }
                    fleet.step_told(giver);
                }

                fleet.assert_gone(since, &format!("{way:?}, {cancel_at}, {killed_at}, {killed:?}"));
            }
        }
    }
}
