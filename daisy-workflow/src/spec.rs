//! The specification of a job, as submitted by a caller.

use std::sync::Arc;

use daisy_model::Resources;

use crate::TaskId;

/// The most tasks of one job, over all occurrences.
///
/// A job's progress is one record, rewritten at each change; 20,000 tasks of about 10 bytes stay
/// below the platform's limit of 256 KiB for a record.
const TASKS_MAX: u64 = 20_000;
/// The maximum length in bytes of the text that a job passes to its tasks, as the platform
/// specifies.
const TEXT_MAX: usize = 4_000;

/// Why a submission is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The job has no steps.
    #[error("a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0}: count must be at least 1")]
    NoTasks(usize),
    /// A step depends on itself or a later step.
    #[error("step {0}: depends on step {1}, which is not an earlier step")]
    Dependency(usize, u64),
    /// The job has too many tasks.
    #[error("the job has {0} tasks; at most {TASKS_MAX} are allowed")]
    TooManyTasks(u64),
    /// The text is too long.
    #[error("the text has {0} bytes; at most {TEXT_MAX} are allowed")]
    LongText(usize),
    /// The job is repeated without an interval between its occurrences.
    #[error("a repeated job needs an interval above 0")]
    NoInterval,
}

/// The terms of a job's queue when it was submitted; they still apply after the queue is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The queue's name.
    pub queue: Arc<str>,
    /// The service whose workers run the tasks.
    pub service: Arc<str>,
    /// The priority; lower values run first.
    pub priority: i32,
    /// The most failed runs of a task.
    pub max_attempts: u32,
    /// The part of the latency objective that is proportional to the job's longest chain of work,
    /// in thousandths of it.
    pub slack_permille: u32,
    /// The constant part of the latency objective, in milliseconds.
    pub target_latency_ms: u32,
}

/// The kind of a job, which decides how its tasks are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Some of its tasks run until it is cancelled.
    LongRunning,
    /// Its tasks end by themselves and reserve what they need.
    Finite,
    /// All its tasks use only what others leave unused.
    BestEffort,
}

impl JobKind {
    /// Returns the kind's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            JobKind::LongRunning => "lasting",
            JobKind::Finite => "once",
            JobKind::BestEffort => "best_effort",
        }
    }
}

/// A job as submitted; it never changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// The terms of the job's queue.
    pub terms: Terms,
    /// A text that is passed to each task unchanged.
    pub text: Arc<str>,
    /// When the job was accepted, by the accepting VM's clock, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When the first occurrence is due, in milliseconds since 1970; 0 for immediately.
    pub first_due_ms: u64,
    /// Milliseconds between occurrences.
    pub interval_ms: u64,
    /// The number of occurrences, that is, how many times the steps run; at least 1.
    pub occurrences: u32,
    /// Whether occurrences are due at set times.
    pub timed: bool,
    /// The steps.
    pub steps: Vec<StepSpec>,
}

/// A step: a number of tasks with the same specification.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources of each task.
    pub need: Resources,
    /// A rough estimate of a task's duration in milliseconds.
    pub estimate_ms: u32,
    /// Positions of earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks write checkpoints and can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks can only run all at the same time.
    pub gang: bool,
    /// Whether the tasks are slow when spread over more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// The rack on which the tasks are fast.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether several copies of a task may run; the result of the first to finish is used.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image of the tasks; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// The target for the tail latency of the callers that the tasks serve, in milliseconds; 0 for
    /// none.
    pub target_ms: u32,
    /// Whether tasks reserve no processors and use only what other tasks on the worker leave
    /// unused.
    pub best_effort: bool,
    /// The most tasks that the system itself may make unavailable at one time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes from its worker's capacity.
    pub fn allocation(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu_milli: 0, ..self.need },
            false => self.need,
        }
    }
}

impl JobSpec {
    /// Returns the job if it is valid.
    ///
    /// # Errors
    ///
    /// Fails if steps are missing, empty or depend on later ones, if a repeated job has no
    /// interval, or if the job is too large.
    pub fn validated(self) -> Result<JobSpec, SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.text.len() > TEXT_MAX {
            return Err(SpecError::LongText(self.text.len()));
        }
        if self.occurrences > 1 && self.interval_ms == 0 {
            return Err(SpecError::NoInterval);
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::NoTasks(at));
            }
            if let Some(bad) = step.depends_on.iter().find(|it| usize::from(**it) >= at) {
                return Err(SpecError::Dependency(at, u64::from(*bad)));
            }
        }
        let each: u64 = self.steps.iter().map(|it| u64::from(it.count)).sum();
        let tasks = each.saturating_mul(u64::from(self.occurrences));
        if tasks > TASKS_MAX {
            return Err(SpecError::TooManyTasks(tasks));
        }
        Ok(self)
    }

    /// Returns whether the job has a task at the position that `id` names.
    pub fn has_task(&self, id: TaskId) -> bool {
        let step = self.steps.get(usize::from(id.step));
        id.occurrence < self.occurrences && step.is_some_and(|it| id.index < it.count)
    }

    /// Returns the step of a task, if the job has such a step.
    pub fn step_of(&self, id: TaskId) -> Option<&StepSpec> {
        self.steps.get(usize::from(id.step))
    }

    /// Returns when occurrence `k` is due, in milliseconds since 1970; 0 for immediately.
    pub fn due_ms(&self, k: u32) -> u64 {
        self.first_due_ms.saturating_add(u64::from(k).saturating_mul(self.interval_ms))
    }

    /// Returns the kind of the job.
    pub fn kind(&self) -> JobKind {
        match &self.steps[..] {
            steps if steps.iter().any(|it| it.long_running) => JobKind::LongRunning,
            steps if steps.iter().all(|it| it.best_effort) => JobKind::BestEffort,
            _ => JobKind::Finite,
        }
    }

    /// Returns the estimated work of all tasks, in milliseconds of a core.
    pub fn work_ms(&self) -> u64 {
        let work = |it: &StepSpec| {
            u64::from(it.count) * u64::from(it.estimate_ms) * u64::from(it.need.cpu_milli) / 1_000
        };
        self.steps.iter().map(work).sum::<u64>() * u64::from(self.occurrences)
    }

    /// Returns what the long-running tasks reserve together, in thousandths of a core.
    pub fn long_running_cpu(&self) -> u64 {
        let long_running = self.steps.iter().filter(|it| it.long_running);
        long_running.map(|it| u64::from(it.count) * u64::from(it.allocation().cpu_milli)).sum()
    }

    /// Returns the estimated duration of the longest chain of steps, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        self.times_to_end_ms().into_iter().max().unwrap_or_default()
    }

    /// Returns for each step the estimated time from its start to the job's end, in milliseconds.
    pub fn times_to_end_ms(&self) -> Vec<u64> {
        let mut tails: Vec<u64> = self.steps.iter().map(|it| u64::from(it.estimate_ms)).collect();
        for at in (0..self.steps.len()).rev() {
            for before in &self.steps[at].depends_on {
                let before = usize::from(*before);
                let through = u64::from(self.steps[before].estimate_ms) + tails[at];
                tails[before] = tails[before].max(through);
            }
        }
        tails
    }
}
