//! Jobs of best-effort tasks under more load than the workers can take.

mod util;

use std::time::Duration;

use daisy_model::{Instant, Resources};
use daisy_workflow::{JobId, JobState, PlacementRules, StepSpec};
use util::{CORE, FakeWorker, LONG_RUNNING_WORK_MS, Simulation, best_effort, job, step};

/// Processors of each worker.
const CORES: u32 = 16;
/// Number of tasks of each best-effort job, of a core and a second each.
const JOB_TASKS: u32 = 4;

/// Returns two workers with `reserved` processors each taken by a long-running task.
fn with_reserved(reserved: u32, rules: PlacementRules) -> Simulation {
    let workers = vec![FakeWorker::new("w1", CORES), FakeWorker::new("w2", CORES)];
    let mut sim = Simulation::with_rules(workers, rules);
    sim.work_ms = |task| if task.job.0 == 1 { LONG_RUNNING_WORK_MS } else { 1_000 };
    let need = Resources { cpu_milli: reserved * CORE, memory_mib: 100, accelerators: 0 };
    sim.submit(1, job(vec![StepSpec { long_running: true, need, ..step(2) }]));
    sim.run_ms(200);
    sim
}

/// What became of a job: when it was submitted, when a task of it first ran, and when it was completed.
struct Course {
    id: u64,
    submitted_at: Instant,
    ran_at: Option<Instant>,
    completed_at: Option<Instant>,
}

impl Course {
    fn observe(&mut self, sim: &Simulation, running: &[JobId]) {
        if self.ran_at.is_none() && running.contains(&JobId(self.id)) {
            self.ran_at = Some(sim.now);
        }
        if self.completed_at.is_none() && sim.state(self.id) == JobState::Completed {
            self.completed_at = Some(sim.now);
        }
    }
}

fn running_jobs(sim: &Simulation) -> Vec<JobId> {
    sim.workers.iter().flat_map(|it| it.tasks()).map(|it| it.job).collect()
}

/// Submits a job each `gap_ms` for `seconds`, and returns what became of them meanwhile.
fn submit_for(sim: &mut Simulation, seconds: u64, gap_ms: u64) -> Vec<Course> {
    let mut jobs: Vec<Course> = Vec::new();
    for id in 0..seconds * 1_000 / gap_ms {
        let id = 100 + id;
        sim.submit(id, job(vec![best_effort(JOB_TASKS, "fill")]));
        jobs.push(Course { id, submitted_at: sim.now, ran_at: None, completed_at: None });
        let until = sim.now + Duration::from_millis(gap_ms);
        while sim.now < until {
            sim.step();
            let running = running_jobs(sim);
            jobs.iter_mut().for_each(|it| it.observe(sim, &running));
        }
    }
    jobs
}

/// Guards against late jobs that stand still for good although most processors are free: they waited
/// until their tasks could run at full pace, which needs all the others to end.
#[test]
fn no_late_job_is_idle_beside_free_capacity() {
    /// The jobs are of use for 9 s, and there is work for 29 s.
    const JOBS: std::ops::Range<u64> = 100..300;
    let mut sim = with_reserved(2, PlacementRules::default());
    for id in JOBS {
        sim.submit(id, job(vec![best_effort(JOB_TASKS, "fill")]));
    }
    sim.run_ms(9_500);

    let running = running_jobs(&sim);

    let is_idle =
        |id: &u64| sim.state(*id) != JobState::Completed && !running.contains(&JobId(*id));
    assert_eq!(JOBS.filter(is_idle).collect::<Vec<_>>(), []);
}

/// Guards against the same for jobs that could still be in time by their estimates, once no more jobs
/// arrive.
#[test]
fn no_job_is_idle_beside_free_capacity_once_no_more_arrive() {
    /// The jobs are of use for a minute by their estimates, and there is work for 29 s.
    const JOBS: std::ops::Range<u64> = 100..300;
    let mut sim = with_reserved(2, PlacementRules::default());
    for id in JOBS {
        let step = StepSpec { estimate_ms: 10_000, ..best_effort(JOB_TASKS, "fill") };
        sim.submit(id, job(vec![step]));
    }
    sim.run_ms(3_000);

    let running = running_jobs(&sim);

    let is_idle =
        |id: &u64| sim.state(*id) != JobState::Completed && !running.contains(&JobId(*id));
    assert_eq!(JOBS.filter(is_idle).collect::<Vec<_>>(), []);
}

/// Returns what becomes of the jobs of 80 s in which fifteen tasks a second are submitted, and the
/// workers do ten.
fn under_overload(rules: PlacementRules) -> Vec<Course> {
    submit_for(&mut with_reserved(11, rules), 80, 4_000 / 15)
}

/// Guards against a late job that is overtaken by later ones for as long as the load lasts.
#[test]
fn late_jobs_have_their_turn_while_the_load_lasts() {
    /// In each second 1.25 jobs more are submitted than can run. After 10 s each has a turn, which
    /// takes 64 starts, so those of the first 8 s have run within 74 s.
    const EARLY: Duration = Duration::from_secs(8);

    let jobs = under_overload(PlacementRules::default());

    let until = jobs[0].submitted_at + EARLY;
    let waiting = jobs.iter().filter(|it| it.submitted_at < until && it.ran_at.is_none());
    assert_eq!(waiting.map(|it| it.id).collect::<Vec<_>>(), []);
}

/// Guards against turns of late jobs that cost the others more than a tenth of what is of use: what
/// completes within three times its objective, which is twice the work of a second, and a second.
#[test]
fn turns_of_late_jobs_cost_the_others_little() {
    const USEFUL: Duration = Duration::from_secs(9);
    let count_useful = |rules: PlacementRules| {
        let useful =
            |it: &Course| it.completed_at.is_some_and(|at| at.since(it.submitted_at) <= USEFUL);
        under_overload(rules).into_iter().filter(useful).count()
    };

    let with = count_useful(PlacementRules::default());
    let without = count_useful(PlacementRules { idle_turns: false, ..PlacementRules::default() });

    assert!(with * 10 >= without * 9, "{with} with turns, {without} without");
}
