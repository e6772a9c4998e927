//! The progress of a job as the owner records it.

use crate::{JobSpec, JobState, TaskId, WorkerId};

/// The state of a whole job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// The job has not ended.
    #[default]
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed more often than its queue allows.
    Failed,
}

/// How many failed runs of a task are recorded by number. Long-running tasks fail any number of
/// times, and the length of a record must not depend on it.
const MAX_NUMBERED_FAILURES: usize = 16;

/// One run of a task that may be on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCopy {
    /// The number of the run, increasing within the task.
    pub run: u32,
    /// The worker that it was started on.
    pub worker: WorkerId,
}

/// The state of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskState {
    /// Whether the task has completed.
    pub done: bool,
    /// The highest run number so far.
    pub runs: u32,
    /// The number of failed runs; for the members of a gang, of the gang's failed runs.
    pub failures: u32,
    /// The numbers of the newest failed runs, sorted. Earlier builds recorded none.
    pub failed_runs: Vec<u32>,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runs that may be on a worker.
    pub copies: Vec<TaskCopy>,
    /// Whether another shard runs the task. This is not recorded but derived from the transfers.
    pub on_other_shard: bool,
}

impl TaskState {
    /// Returns whether the task is neither done nor running, here or on another shard.
    pub fn is_waiting(&self) -> bool {
        !self.done && !self.on_other_shard && self.copies.is_empty()
    }

    /// Returns whether the failure of a run is not counted yet: neither for its end, which may be
    /// listed again, nor for that of another member of its gang.
    pub fn is_uncounted_failure(&self, run: u32) -> bool {
        if self.done || run > self.runs || self.failed_runs.binary_search(&run).is_ok() {
            return false;
        }
        // A failure without a number may be that of any run whose end is recorded.
        let all_numbered = self.failures as usize == self.failed_runs.len();
        all_numbered || self.copies.iter().any(|it| it.run == run)
    }

    /// Counts the failure of a run.
    pub(crate) fn count_failure(&mut self, run: u32) {
        self.failures += 1;
        if let Err(at) = self.failed_runs.binary_search(&run) {
            self.failed_runs.insert(at, run);
        }
        if self.failed_runs.len() > MAX_NUMBERED_FAILURES {
            self.failed_runs.remove(0);
        }
    }
}

/// Successive tasks of a step that were started equally often, and more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RerunTasks {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The step's position in the job.
    pub step: u16,
    /// The position of the first of the tasks in the step.
    pub first: u32,
    /// The number of the tasks.
    pub count: u32,
    /// The number of the last run of each of them.
    pub runs: u32,
}

impl RerunTasks {
    fn includes(&self, id: TaskId) -> bool {
        (self.occurrence, self.step) == (id.occurrence, id.step)
            && id.index.checked_sub(self.first).is_some_and(|it| it < self.count)
    }

    /// Adds a task to a list that is sorted and has only earlier ones.
    pub(crate) fn add(list: &mut Vec<RerunTasks>, id: TaskId, runs: u32) {
        let TaskId { occurrence, step, index, .. } = id;
        let next = |it: &RerunTasks| (it.occurrence, it.step, it.first + it.count, it.runs);
        match list.last_mut().filter(|it| next(it) == (occurrence, step, index, runs)) {
            Some(it) => it.count += 1,
            None => list.push(RerunTasks { occurrence, step, first: index, count: 1, runs }),
        }
    }

    /// Returns the number of a task's last run according to a sorted list; 0 if that does not
    /// include the task.
    pub(crate) fn last_run(list: &[RerunTasks], id: TaskId) -> u32 {
        let key = (id.occurrence, id.step, id.index);
        let end = list.partition_point(|it| (it.occurrence, it.step, it.first) <= key);
        list[..end].last().filter(|it| it.includes(id)).map_or(0, |it| it.runs)
    }
}

/// The progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// The state of the whole job.
    pub phase: Phase,
    /// Whether a worker has started any task, as far as workers have told, or a task was transferred
    /// to another shard, whose workers tell that shard alone.
    pub has_started: bool,
    /// Tasks by occurrence, step and index.
    pub occurrences: Vec<Vec<Vec<TaskState>>>,
}

impl Progress {
    /// Returns the progress of a job of which nothing was started.
    pub fn new(spec: &JobSpec) -> Progress {
        let step = |count: u32| vec![TaskState::default(); count as usize];
        let steps: Vec<_> = spec.steps.iter().map(|it| step(it.count)).collect();
        Progress {
            phase: Phase::Active,
            has_started: false,
            occurrences: vec![steps; spec.occurrences as usize],
        }
    }

    /// Returns the progress of a job that has ended in `state`; its tasks are not recorded.
    pub(crate) fn ended(state: JobState) -> Progress {
        let phase = if state == JobState::Failed { Phase::Failed } else { Phase::Completed };
        Progress { phase, has_started: true, occurrences: Vec::new() }
    }

    /// Returns whether a start of any task may have been ordered: its run has a number.
    pub fn may_have_started(&self) -> bool {
        self.has_started || self.occurrences.iter().flatten().flatten().any(|it| it.runs > 0)
    }

    /// Returns the state of a task, if the job has such a task.
    pub fn task(&self, id: TaskId) -> Option<&TaskState> {
        let steps = self.occurrences.get(id.occurrence as usize)?;
        steps.get(usize::from(id.step))?.get(id.index as usize)
    }

    /// Returns the mutable state of a task, if the job has such a task.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut TaskState> {
        let steps = self.occurrences.get_mut(id.occurrence as usize)?;
        steps.get_mut(usize::from(id.step))?.get_mut(id.index as usize)
    }

    /// Returns whether the job has ended or this has the steps and tasks of `spec`. Otherwise it is
    /// the progress of another job and says nothing about this one.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.phase != Phase::Active
            || self.occurrences.len() == spec.occurrences as usize
                && self.occurrences.iter().all(|steps| {
                    steps.len() == spec.steps.len()
                        && steps.iter().zip(&spec.steps).all(|(a, b)| a.len() == b.count as usize)
                })
    }
}
