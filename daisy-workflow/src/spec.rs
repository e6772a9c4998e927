//! What a caller asks for.

use std::sync::Arc;

use daisy_model::Resources;

use crate::TaskId;

/// Tasks of one job, all occurrences together, that are taken at most.
///
/// A job's progress is one record, rewritten at each change; 20,000 tasks of some 10 bytes stay
/// below the 256 KiB that the platform takes in a record.
const TASKS_MAX: u64 = 20_000;
/// Bytes of the text that a job hands to its tasks, as the platform's contract sets it.
const TEXT_MAX: usize = 4_000;

/// What makes a submission unusable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// There is nothing to run.
    #[error("a job needs at least one step")]
    NoSteps,
    /// A step without tasks.
    #[error("step {0}: count must be at least 1")]
    NoTasks(usize),
    /// A step that waits for itself or a later one.
    #[error("step {0}: depends on step {1}, which is not an earlier step")]
    Dependency(usize, u64),
    /// More tasks than one job may have.
    #[error("{0} tasks; at most {TASKS_MAX} are taken")]
    TooManyTasks(u64),
    /// The text is too long.
    #[error("the text has {0} bytes; at most {TEXT_MAX} are taken")]
    LongText(usize),
    /// Occurrences without a time between them.
    #[error("a repeated job needs an interval above 0")]
    NoInterval,
}

/// The terms of a job's queue when it was submitted; they hold on where the queue is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The queue's name.
    pub queue: Arc<str>,
    /// The service whose workers run the tasks.
    pub service: Arc<str>,
    /// Lower goes first.
    pub priority: i32,
    /// Runs of a task that may end as failed.
    pub max_attempts: u32,
    /// The latency objective is this many thousandths of the job's longest chain of work ...
    pub slack_permille: u32,
    /// ... and this many milliseconds more.
    pub target_latency_ms: u32,
}

/// What decides how a job's tasks are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Some of its tasks run until it is cancelled.
    LongRunning,
    /// Its tasks reserve what they need.
    Finite,
    /// All its tasks use what others leave.
    BestEffort,
}

impl JobKind {
    /// The kind in one word.
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
    /// The queue's terms.
    pub terms: Terms,
    /// Handed to each task as it is.
    pub text: Arc<str>,
    /// When the job was accepted, in milliseconds since 1970 of the accepting VM's clock.
    pub accepted_ms: u64,
    /// When the first occurrence is due, in milliseconds since 1970; 0 for at once.
    pub first_due_ms: u64,
    /// Milliseconds between occurrences.
    pub interval_ms: u64,
    /// How many times the steps run, at least 1.
    pub occurrences: u32,
    /// Whether occurrences are due at set times.
    pub timed: bool,
    /// The steps.
    pub steps: Vec<StepSpec>,
}

/// Tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// A rough estimate of a task's duration in milliseconds.
    pub estimate_ms: u32,
    /// Positions of earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Tasks checkpoint and can be resumed.
    pub checkpoints: bool,
    /// Tasks work only together.
    pub gang: bool,
    /// Tasks are slow when they run on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Arc<str>>,
    /// The rack on which the tasks are fast.
    pub data_rack: Option<Arc<str>>,
    /// At most this many tasks of the step on one worker; 0 for no bound.
    pub max_per_worker: u32,
    /// Several copies of a task may run; the first to finish counts.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Tasks serve callers whose tail latency in milliseconds must stay below this; 0 for none.
    pub target_ms: u32,
    /// Tasks use only processor time that the others on the worker leave, and count none.
    pub best_effort: bool,
    /// This many tasks may be down at one time through the system's own doing.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task counts against its worker's capacity.
    pub fn allocation(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu_milli: 0, ..self.need },
            false => self.need,
        }
    }
}

impl JobSpec {
    /// The job, if it can be run at all.
    ///
    /// # Errors
    ///
    /// If steps are missing, empty or depend on later ones, or the job is too large.
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

    /// Whether it has a task of this position.
    pub fn has_task(&self, id: TaskId) -> bool {
        let step = self.steps.get(usize::from(id.step));
        id.occurrence < self.occurrences && step.is_some_and(|it| id.index < it.count)
    }

    /// The step of a task, if it has such a step.
    pub fn step_of(&self, id: TaskId) -> Option<&StepSpec> {
        self.steps.get(usize::from(id.step))
    }

    /// When occurrence `k` is due, in milliseconds since 1970; 0 for at once.
    pub fn due_ms(&self, k: u32) -> u64 {
        self.first_due_ms.saturating_add(u64::from(k).saturating_mul(self.interval_ms))
    }

    /// What kind of job it is.
    pub fn kind(&self) -> JobKind {
        match &self.steps[..] {
            steps if steps.iter().any(|it| it.long_running) => JobKind::LongRunning,
            steps if steps.iter().all(|it| it.best_effort) => JobKind::BestEffort,
            _ => JobKind::Finite,
        }
    }

    /// The estimated work of all its tasks, in milliseconds of a core.
    pub fn work_ms(&self) -> u64 {
        let work = |it: &StepSpec| {
            u64::from(it.count) * u64::from(it.estimate_ms) * u64::from(it.need.cpu_milli) / 1_000
        };
        self.steps.iter().map(work).sum::<u64>() * u64::from(self.occurrences)
    }

    /// The estimated length of the longest chain of steps, in milliseconds.
    pub fn chain_ms(&self) -> u64 {
        self.tails_ms().into_iter().max().unwrap_or_default()
    }

    /// For each step, the estimated time from its start to the job's end, in milliseconds.
    pub fn tails_ms(&self) -> Vec<u64> {
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
