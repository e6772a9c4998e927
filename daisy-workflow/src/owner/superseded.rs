//! Ends of runs that were given up, and whose tasks were started again.
//!
//! A worker that is out of reach may complete a task before its lease ends. Its owner learns of the
//! end only after it has started the task elsewhere. From then on the later run counts: the end is
//! never acknowledged, as an acknowledged end would make the later run a second one.

use std::collections::VecDeque;

use super::{Owner, worker::StartState};
use crate::TaskId;

/// How many given-up runs of ended jobs are remembered: those of the workers of a shard, several
/// times over.
const GIVEN_UP_RUNS_MAX: usize = 4_096;

/// Runs that the owner has given up, the oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct GivenUpRuns(VecDeque<(TaskId, u32)>);

impl GivenUpRuns {
    /// Remembers a run.
    pub fn insert(&mut self, task: TaskId, run: u32) {
        if self.0.len() == GIVEN_UP_RUNS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((task, run));
    }

    fn contains(&self, task: TaskId, run: u32) -> bool {
        self.0.contains(&(task, run))
    }
}

impl Owner {
    /// Returns whether a run that has ended as done does not count, because its task was started
    /// again before this owner knew the end.
    pub(super) fn is_superseded(&self, task: TaskId, run: u32) -> bool {
        let Some(job) = self.ledger.job(task.job) else { return false };
        let step = job.spec.steps.get(usize::from(task.step));
        // The copies of a speculative step may all run, and the first to end counts.
        if step.is_none_or(|it| it.speculative) {
            return false;
        }
        // Of the tasks of an ended job only this owner's memory is left.
        let Some(state) = job.progress.task(task) else {
            return self.given_up_runs.contains(task, run);
        };
        state.runs > run && !(state.runs == run + 1 && self.is_recording(task, state.runs))
    }

    /// Returns whether a run's order is not sent yet, because its record is not in the log.
    fn is_recording(&self, task: TaskId, run: u32) -> bool {
        let mut assignments = self.workers.iter().flat_map(|(_, it)| &it.tasks);
        let assignment = assignments.find(|it| it.task == task && it.run == run);
        assignment.is_some_and(|it| it.start_state == StartState::Recording)
    }
}
