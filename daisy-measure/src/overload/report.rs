//! What came of a run.

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{JobId, JobKind, Note};

use super::load::Arrival;

/// Jobs of one kind.
#[derive(Debug, Clone, Default)]
struct Served {
    /// Width of each, and whether it was in time, and of use.
    jobs: Vec<(u64, bool, bool)>,
}

/// Figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    once: Served,
    best_effort: Served,
    ended: SortedMap<JobId, Instant>,
    first: SortedMap<JobId, Instant>,
    /// Sums over the samples of the measured part.
    pub samples: usize,
    pub waiting_long_running: usize,
    pub waiting_once: usize,
    pub free_cpu: u64,
    pub unusable_cpu: u64,
    pub serving: usize,
    pub over: usize,
    pub moved: usize,
}

/// Results are of use up to three times the objective.
const OF_USE: u64 = 3;

impl Report {
    pub fn note(&mut self, now: Instant, note: &Note) {
        match note {
            Note::JobEnded { job, .. } => {
                self.ended.get_or_insert_with(*job, || now);
            }
            Note::TaskMoving { .. } => self.moved += 1,
            _ => {}
        }
    }

    pub fn started(&mut self, now: Instant, job: JobId) {
        self.first.get_or_insert_with(job, || now);
    }

    pub fn add_job(&mut self, job: &Arrival, completed: bool) {
        let took = self.ended.get(&JobId(job.id)).filter(|_| completed).map(|it| it.since(job.at));
        let took = took.map_or(u64::MAX, |it| it.as_millis() as u64);
        let objective = job.objective_ms();
        let served = match job.spec.kind() {
            JobKind::BestEffort => &mut self.best_effort,
            _ => &mut self.once,
        };
        served.jobs.push((job.width(), took <= objective, took <= objective * OF_USE));
    }

    /// The figures as fields of a line.
    pub fn line(&self) -> String {
        let each = |sum: f64| sum / self.samples.max(1) as f64;
        format!(
            "once_in_time={:.3} once_served={:.3} largest_tenth={:.3} largest_fifth={:.3} \
             best_effort_in_time={:.3} best_effort_served={:.3} waiting_once={:.0} \
             waiting_lasting={:.1} free_cores={:.0} unusable_cores={:.0} over_target={:.4} moved={}",
            self.once.in_time(),
            self.once.of_use(0.0, 1.0),
            self.once.of_use(0.9, 1.0),
            self.once.of_use(0.8, 0.9),
            self.best_effort.in_time(),
            self.best_effort.of_use(0.0, 1.0),
            each(self.waiting_once as f64),
            each(self.waiting_long_running as f64),
            each(self.free_cpu as f64 / 1_000.0),
            each(self.unusable_cpu as f64 / 1_000.0),
            self.over as f64 / self.serving.max(1) as f64,
            self.moved,
        )
    }
}

impl Served {
    fn in_time(&self) -> f64 {
        self.jobs.iter().filter(|it| it.1).count() as f64 / self.jobs.len().max(1) as f64
    }

    /// The part that was of use of the jobs between two ranks of width.
    fn of_use(&self, from: f64, to: f64) -> f64 {
        let mut jobs = self.jobs.clone();
        jobs.sort_unstable();
        let at = |part: f64| (part * jobs.len() as f64) as usize;
        let jobs = &jobs[at(from)..at(to)];
        jobs.iter().filter(|it| it.2).count() as f64 / jobs.len().max(1) as f64
    }
}
