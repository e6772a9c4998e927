//! Seeded schedules of faults against shards that hand jobs and tasks to each other.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, Layout, Record, ShardId, StepSpec, TaskId};
use util::{CORE, FakeWorker, Fleet, job, long_running, task};

const SHARDS: u16 = 3;
const LAYOUT: Layout = Layout { shards: SHARDS };
const WORKERS: usize = 3;
/// Seeds that found a job that was handed on whole and in parts.
const FAILED: [u64; 2] = [360, 459];

/// What was asked for: a job, its number of tasks, and whether it was cancelled.
struct Asked {
    id: JobId,
    count: u32,
    cancelled: bool,
}

struct Play {
    rng: fastrand::Rng,
    fleet: Fleet,
    asked: Vec<Asked>,
}

fn tasks(count: u32, cores: u32, memory_mib: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running(count) }])
}

fn begin(seed: u64) -> Play {
    let worker = |shard, at| FakeWorker::new(&format!("w{shard}{at}"), 4);
    let workers = |shard| (0..WORKERS).map(|at| worker(shard, at)).collect();
    let mut fleet = Fleet::new((0..SHARDS).map(workers).collect());
    fleet.run_ms(500);
    let mut rng = fastrand::Rng::with_seed(seed);
    if rng.bool() {
        fleet.slow_writes = Some(rng.fork());
    }
    Play { rng, fleet, asked: Vec::new() }
}

impl Play {
    fn submit(&mut self) {
        let at = self.asked.len() as u64;
        // Most jobs belong to one shard, so that it has to give some away.
        let own = if self.rng.u8(..3) > 0 { ShardId(0) } else { ShardId(self.rng.u16(..SHARDS)) };
        let id = (at * 1_000..).map(JobId).find(|id| LAYOUT.of_job(*id) == own);
        let id = id.expect("one of many");
        let (count, cores) = (self.rng.u32(1..5), self.rng.u32(1..4));
        let memory = if self.rng.bool() { 100 } else { 30_000 };
        self.fleet.worlds[usize::from(own.0)].submit(id.0, tasks(count, cores, memory));
        self.asked.push(Asked { id, count, cancelled: false });
    }

    fn cancel(&mut self) {
        let at = self.rng.usize(..self.asked.len());
        let it = &mut self.asked[at];
        it.cancelled = true;
        let own = LAYOUT.of_job(it.id);
        self.fleet.worlds[usize::from(own.0)].write(Record::Cancelled(it.id));
    }

    fn event(&mut self) {
        let shard = self.rng.usize(..usize::from(SHARDS));
        let at = self.rng.usize(..WORKERS);
        match self.rng.u8(..10) {
            0..=3 if self.rng.bool() || self.asked.len() < 5 => self.submit(),
            3 if self.asked.len() > 2 => self.cancel(),
            4 => self.fleet.kill_owner(shard),
            5 => {
                let (by_key, progress_first) = (self.rng.bool(), self.rng.bool());
                self.fleet.kill_owner_and_read(shard, by_key, progress_first);
            }
            6..=7 => {
                let world = &mut self.fleet.worlds[shard];
                let now = world.now;
                world.workers[at].restart(now);
            }
            8 => {
                let it = &mut self.fleet.worlds[shard].workers[at];
                it.ready = !it.ready;
            }
            _ => {}
        }
    }

    /// Whether each owner counts the runs that there are, and no others.
    fn is_counted(&self) -> bool {
        self.fleet.worlds.iter().all(|it| {
            it.owner.summary(it.now).runs
                == it.workers.iter().map(|it| it.runs.len()).sum::<usize>()
        })
    }

    fn is_settled(&self, it: &Asked) -> bool {
        let expected = usize::from(!it.cancelled);
        let all = (0..it.count).map(|index| task(it.id.0, 0, index));
        all.into_iter().all(|it| self.fleet.places(it).len() == expected)
    }

    /// Cancels the newest jobs until there is room for the others.
    fn make_room(&mut self) {
        let alive = self.asked.iter().filter(|it| !it.cancelled).count();
        for _ in 2..alive {
            let it = self.asked.iter_mut().rfind(|it| !it.cancelled).expect("one is alive");
            it.cancelled = true;
            let own = LAYOUT.of_job(it.id);
            self.fleet.worlds[usize::from(own.0)].write(Record::Cancelled(it.id));
        }
    }
}

fn places(play: &Play, it: &Asked) -> Vec<(TaskId, Vec<String>)> {
    let all = (0..it.count).map(|index| task(it.id.0, 0, index));
    let places = |it| play.fleet.places(it).into_iter().map(str::to_owned).collect();
    all.map(|it| (it, places(it))).collect()
}

fn check(seed: u64) {
    let mut play = begin(seed);
    for _ in 0..24 {
        play.event();
        let pause = play.rng.u64(50..1_500);
        match play.rng.u8(..4) {
            0 => play.fleet.run_ms(pause * 2),
            _ => play.fleet.run_told(pause),
        }
    }
    play.fleet.worlds.iter_mut().flat_map(|it| &mut it.workers).for_each(|it| it.ready = true);
    play.make_room();

    for _ in 0..12 {
        play.fleet.run_told(2_000);
        if play.asked.iter().all(|it| play.is_settled(it)) && play.is_counted() {
            return;
        }
    }

    let left: Vec<_> = play.asked.iter().filter(|it| !play.is_settled(it)).collect();
    let left: Vec<_> = left.into_iter().map(|it| (it.cancelled, places(&play, it))).collect();
    panic!("seed {seed}: {left:?}");
}

#[test]
fn no_schedule_of_moves_breaks_a_promise() {
    for seed in (0..30).chain(FAILED) {
        check(seed);
    }
}
