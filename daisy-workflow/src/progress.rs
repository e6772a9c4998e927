//! How far a job is, as the owner records it.

use crate::{JobSpec, TaskId, WorkerId};

/// The state of a whole job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// Not ended.
    #[default]
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed more often than its queue allows.
    Failed,
}

/// One run of a task that may be on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The number of the start, rising within the task.
    pub run: u32,
    /// Where it was started.
    pub worker: WorkerId,
}

/// The state of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskState {
    /// Whether it has ended as done.
    pub done: bool,
    /// The highest number of a start so far.
    pub runs: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runs that may be on a worker.
    pub copies: Vec<Copy>,
    /// Whether another shard runs it. Not part of the record: it follows from the hops.
    pub on_other_shard: bool,
}

impl TaskState {
    /// Whether the task is neither done nor anywhere.
    pub fn is_waiting(&self) -> bool {
        !self.done && !self.on_other_shard && self.copies.is_empty()
    }
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// Of the whole job.
    pub phase: Phase,
    /// Whether any task was started.
    pub has_started: bool,
    /// Tasks by occurrence, step and index.
    pub occurrences: Vec<Vec<Vec<TaskState>>>,
}

impl Progress {
    /// A job of which nothing was started.
    pub fn new(spec: &JobSpec) -> Progress {
        let step = |count: u32| vec![TaskState::default(); count as usize];
        let steps: Vec<_> = spec.steps.iter().map(|it| step(it.count)).collect();
        Progress {
            phase: Phase::Active,
            has_started: false,
            occurrences: vec![steps; spec.occurrences as usize],
        }
    }

    /// The state of a task of this job, if it has such a task.
    pub fn task(&self, id: TaskId) -> Option<&TaskState> {
        let steps = self.occurrences.get(id.occurrence as usize)?;
        steps.get(usize::from(id.step))?.get(id.index as usize)
    }

    /// The same, to change.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut TaskState> {
        let steps = self.occurrences.get_mut(id.occurrence as usize)?;
        steps.get_mut(usize::from(id.step))?.get_mut(id.index as usize)
    }

    /// Whether the shape is that of `spec`: a record of another job's shape names no state.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        self.phase != Phase::Active
            || self.occurrences.len() == spec.occurrences as usize
                && self.occurrences.iter().all(|steps| {
                    steps.len() == spec.steps.len()
                        && steps.iter().zip(&spec.steps).all(|(a, b)| a.len() == b.count as usize)
                })
    }
}
