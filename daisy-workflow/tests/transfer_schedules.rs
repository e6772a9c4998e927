//! Seeded fault schedules against shards that transfer jobs and tasks to each other.

mod util;

use daisy_model::Resources;
use daisy_workflow::{JobId, JobSpec, JobState, Layout, Record, ShardId, StepSpec, TaskId};
use util::{
    CORE, FakeWorker, LONG_RUNNING_WORK_MS, ShardedSimulation, constrained_job_due_later, job,
    long_running_step, task,
};

const SHARDS: u16 = 3;
const LAYOUT: Layout = Layout { shards: SHARDS };
const WORKERS: usize = 3;
/// Seeds that once led to a job that was transferred as a whole and also task by task.
const REGRESSION_SEEDS: [u64; 2] = [360, 459];

/// The ids of finite jobs begin here.
const FIRST_FINITE_ID: u64 = 1_000_000;

/// A submitted job, its number of tasks, and whether it was cancelled.
struct SubmittedJob {
    id: JobId,
    count: u32,
    cancelled: bool,
}

struct Schedule {
    rng: fastrand::Rng,
    sim: ShardedSimulation,
    submitted: Vec<SubmittedJob>,
    /// Submitted finite jobs, with the constraints that a step may have.
    finite: Vec<JobId>,
    has_finite: bool,
}

fn tasks(count: u32, cores: u32, memory_mib: u32) -> JobSpec {
    let need = Resources { cpu_milli: cores * CORE, memory_mib, accelerators: 0 };
    job(vec![StepSpec { need, ..long_running_step(count) }])
}

fn new_schedule(seed: u64, has_finite: bool) -> Schedule {
    let worker = |shard, at| FakeWorker::new(&format!("w{shard}{at}"), 4);
    let workers = |shard| (0..WORKERS).map(|at| worker(shard, at)).collect();
    let mut sim = ShardedSimulation::new((0..SHARDS).map(workers).collect());
    for shard in &mut sim.shards {
        shard.work_ms = |it| if it.job.0 < FIRST_FINITE_ID { LONG_RUNNING_WORK_MS } else { 1_000 };
    }
    sim.run_ms(500);
    let mut rng = fastrand::Rng::with_seed(seed);
    if rng.bool() {
        sim.extra_write_latency = Some(rng.fork());
    }
    Schedule { rng, sim, submitted: Vec::new(), finite: Vec::new(), has_finite }
}

impl Schedule {
    fn submit(&mut self) {
        let at = self.submitted.len() as u64;
        // Most jobs belong to one shard, so that it has to transfer some.
        let own = if self.rng.u8(..3) > 0 { ShardId(0) } else { ShardId(self.rng.u16(..SHARDS)) };
        let id = (at * 1_000..).map(JobId).find(|id| LAYOUT.shard_of_job(*id) == own);
        let id = id.expect("some job id belongs to each shard");
        let (count, cores) = (self.rng.u32(1..5), self.rng.u32(1..4));
        let memory = if self.rng.bool() { 100 } else { 30_000 };
        self.sim.shards[usize::from(own.0)].submit(id.0, tasks(count, cores, memory));
        self.submitted.push(SubmittedJob { id, count, cancelled: false });
    }

    fn submit_finite(&mut self) {
        let own = ShardId(self.rng.u16(..SHARDS));
        let from = FIRST_FINITE_ID + self.finite.len() as u64 * 1_000;
        let id = (from..).map(JobId).find(|id| LAYOUT.shard_of_job(*id) == own);
        let id = id.expect("some job id belongs to each shard");
        let mut spec = constrained_job_due_later(&mut self.rng);
        // The simulation checks that each task runs on one worker.
        spec.steps.iter_mut().for_each(|it| it.speculative = false);
        self.sim.shards[usize::from(own.0)].submit(id.0, spec);
        self.finite.push(id);
    }

    /// Whether a finite job is completed, in its own shard or in the one that it is delegated to.
    fn is_completed(&self, id: JobId) -> bool {
        let state = |shard: ShardId| {
            let ledger = &self.sim.shards[usize::from(shard.0)].ledger;
            ledger.job(id).map(|it| (it.state(), it.delegated))
        };
        match state(LAYOUT.shard_of_job(id)) {
            Some((_, Some(other))) => state(other).is_some_and(|(it, _)| it == JobState::Completed),
            own => own.is_some_and(|(it, _)| it == JobState::Completed),
        }
    }

    fn cancel(&mut self) {
        let at = self.rng.usize(..self.submitted.len());
        let it = &mut self.submitted[at];
        it.cancelled = true;
        let own = LAYOUT.shard_of_job(it.id);
        self.sim.shards[usize::from(own.0)].write(Record::Cancelled(it.id));
    }

    fn event(&mut self) {
        let shard = self.rng.usize(..usize::from(SHARDS));
        let at = self.rng.usize(..WORKERS);
        match self.rng.u8(..10) {
            0..=3 if self.rng.bool() || self.submitted.len() < 5 => self.submit(),
            3 if self.submitted.len() > 2 => self.cancel(),
            4 => self.sim.kill_owner(shard),
            5 => {
                let (by_key, progress_first) = (self.rng.bool(), self.rng.bool());
                self.sim.kill_owner_and_replay(shard, by_key, progress_first);
            }
            6..=7 => {
                let sim = &mut self.sim.shards[shard];
                let now = sim.now;
                sim.workers[at].restart(now);
            }
            8 => {
                let it = &mut self.sim.shards[shard].workers[at];
                it.ready = !it.ready;
            }
            9 if self.has_finite => self.submit_finite(),
            _ => {}
        }
    }

    /// Returns whether each owner's number of runs is that of its workers.
    fn run_counts_match(&self) -> bool {
        self.sim.shards.iter().all(|it| {
            it.owner.summary(it.now).runs
                == it.workers.iter().map(|it| it.runs.len()).sum::<usize>()
        })
    }

    fn is_placed_as_expected(&self, it: &SubmittedJob) -> bool {
        let expected = usize::from(!it.cancelled);
        let all = (0..it.count).map(|index| task(it.id.0, 0, index));
        all.into_iter().all(|it| self.sim.workers_running(it).len() == expected)
    }

    /// Cancels the newest jobs until two are left, for which there is capacity.
    fn cancel_until_two_are_left(&mut self) {
        let uncancelled = self.submitted.iter().filter(|it| !it.cancelled).count();
        for _ in 2..uncancelled {
            let it = self
                .submitted
                .iter_mut()
                .rfind(|it| !it.cancelled)
                .expect("a job is not cancelled");
            it.cancelled = true;
            let own = LAYOUT.shard_of_job(it.id);
            self.sim.shards[usize::from(own.0)].write(Record::Cancelled(it.id));
        }
    }
}

fn workers_running(schedule: &Schedule, it: &SubmittedJob) -> Vec<(TaskId, Vec<String>)> {
    let all = (0..it.count).map(|index| task(it.id.0, 0, index));
    let places = |it| schedule.sim.workers_running(it).into_iter().map(str::to_owned).collect();
    all.map(|it| (it, places(it))).collect()
}

fn check(seed: u64, has_finite: bool) {
    let mut schedule = new_schedule(seed, has_finite);
    for _ in 0..24 {
        schedule.event();
        let pause = schedule.rng.u64(50..1_500);
        match schedule.rng.u8(..4) {
            0 => schedule.sim.run_ms(pause * 2),
            _ => schedule.sim.run_with_loads_ms(pause),
        }
    }
    schedule.sim.shards.iter_mut().flat_map(|it| &mut it.workers).for_each(|it| it.ready = true);
    schedule.cancel_until_two_are_left();

    for _ in 0..12 {
        schedule.sim.run_with_loads_ms(2_000);
        if schedule.submitted.iter().all(|it| schedule.is_placed_as_expected(it))
            && schedule.run_counts_match()
            && schedule.finite.iter().all(|it| schedule.is_completed(*it))
        {
            return;
        }
    }

    let misplaced: Vec<_> =
        schedule.submitted.iter().filter(|it| !schedule.is_placed_as_expected(it)).collect();
    let misplaced: Vec<_> =
        misplaced.into_iter().map(|it| (it.cancelled, workers_running(&schedule, it))).collect();
    let unfinished: Vec<_> =
        schedule.finite.iter().filter(|it| !schedule.is_completed(**it)).collect();
    panic!("seed {seed}: {misplaced:?}, {unfinished:?}");
}

#[test]
fn no_task_is_lost_or_run_twice_in_seeded_transfer_schedules() {
    for seed in (0..30).chain(REGRESSION_SEEDS) {
        check(seed, false);
    }
}

/// Guards against the same beside gangs, labels, limits a worker and set times.
#[test]
fn constrained_jobs_complete_in_seeded_transfer_schedules() {
    for seed in 0..30 {
        check(seed, true);
    }
}

/// A gang that was delegated once waits in a shard that has too little left for it, beside free
/// capacity in another one.
#[test]
fn constrained_jobs_complete_with_transfer_seed_161() {
    check(161, true);
}
