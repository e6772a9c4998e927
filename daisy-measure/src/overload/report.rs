//! Results of a run.

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{JobId, JobKind, Note};

use super::load::Arrival;

/// Results of the jobs of one kind.
#[derive(Debug, Clone, Default)]
struct JobResults {
    /// For each job its width, whether it met its objective, and whether its result was useful.
    jobs: Vec<(u64, bool, bool)>,
}

/// Figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    finite: JobResults,
    best_effort: JobResults,
    /// When each job ended.
    ended_at: SortedMap<JobId, Instant>,
    /// When the first task of each job started.
    first_start_at: SortedMap<JobId, Instant>,
    /// Number of samples of the measured part; the figures up to `over_target` are sums over these.
    pub samples: usize,
    pub waiting_long_running: usize,
    pub waiting_finite: usize,
    pub free_cpu: u64,
    pub unusable_cpu: u64,
    /// Serving tasks that are ready.
    pub serving: usize,
    /// Serving tasks that miss their latency target.
    pub over_target: usize,
    /// Tasks whose move to another worker was started.
    pub moves_started: usize,
    /// Callers of long-running jobs that were rejected until they gave up.
    pub given_up: usize,
}

/// A result is treated as useful up to this many times the job's objective.
const USEFUL_FACTOR: u64 = 3;

impl Report {
    /// Records an owner's note.
    pub fn note(&mut self, now: Instant, note: &Note) {
        match note {
            Note::JobEnded { job, .. } => {
                self.ended_at.get_or_insert_with(*job, || now);
            }
            Note::TaskMoving { .. } => self.moves_started += 1,
            _ => {}
        }
    }

    /// Records the start of a task of a job.
    pub fn note_start(&mut self, now: Instant, job: JobId) {
        self.first_start_at.get_or_insert_with(job, || now);
    }

    /// Adds the result of a finite or best-effort job.
    pub fn add_job(&mut self, job: &Arrival, completed: bool) {
        let duration =
            self.ended_at.get(&JobId(job.id)).filter(|_| completed).map(|it| it.since(job.at));
        let duration = duration.map_or(u64::MAX, |it| it.as_millis() as u64);
        let objective = job.objective_ms();
        let results = match job.spec.kind() {
            JobKind::BestEffort => &mut self.best_effort,
            _ => &mut self.finite,
        };
        results.jobs.push((
            job.width(),
            duration <= objective,
            duration <= objective * USEFUL_FACTOR,
        ));
    }

    /// Returns the figures as key=value fields of a line.
    pub fn fields(&self) -> String {
        let mean = |sum: f64| sum / self.samples.max(1) as f64;
        format!(
            "once_in_time={:.3} once_served={:.3} largest_tenth={:.3} largest_fifth={:.3} \
             best_effort_in_time={:.3} best_effort_served={:.3} waiting_once={:.0} \
             waiting_lasting={:.1} free_cores={:.0} unusable_cores={:.0} over_target={:.4} moved={} \
             lasting_given_up={}",
            self.finite.in_time_share(),
            self.finite.useful_share(0.0, 1.0),
            self.finite.useful_share(0.9, 1.0),
            self.finite.useful_share(0.8, 0.9),
            self.best_effort.in_time_share(),
            self.best_effort.useful_share(0.0, 1.0),
            mean(self.waiting_finite as f64),
            mean(self.waiting_long_running as f64),
            mean(self.free_cpu as f64 / 1_000.0),
            mean(self.unusable_cpu as f64 / 1_000.0),
            self.over_target as f64 / self.serving.max(1) as f64,
            self.moves_started,
            self.given_up,
        )
    }
}

impl JobResults {
    /// Returns the share of the jobs that met their objective.
    fn in_time_share(&self) -> f64 {
        self.jobs.iter().filter(|it| it.1).count() as f64 / self.jobs.len().max(1) as f64
    }

    /// Returns the share of useful results among the jobs whose rank by width lies between `from`
    /// and `to`, both from 0 to 1.
    fn useful_share(&self, from: f64, to: f64) -> f64 {
        let mut jobs = self.jobs.clone();
        jobs.sort_unstable();
        let index = |rank: f64| (rank * jobs.len() as f64) as usize;
        let jobs = &jobs[index(from)..index(to)];
        jobs.iter().filter(|it| it.2).count() as f64 / jobs.len().max(1) as f64
    }
}
