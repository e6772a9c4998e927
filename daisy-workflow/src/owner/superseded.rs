//! Ends of runs that were given up, and whose tasks were started again.
//!
//! A worker that is out of reach may complete a task before its lease ends. Its owner learns of the
//! end only after it has started the task elsewhere. From then on the later run counts: the end is
//! never acknowledged, as an acknowledged end would make the later run a second one.
//!
//! The worker may be back only after the job has ended, and under another owner, for which the log
//! keeps no tasks. So the log keeps which tasks of an ended job were started more than once, and the
//! numbers of their last runs.

use super::{Owner, worker::StartState};
use crate::{JobId, Record, RerunTasks, TaskId};

impl Owner {
    /// Returns whether a run that has ended as done does not count, because its task was started
    /// again before this owner knew the end.
    pub(super) fn is_superseded(&self, task: TaskId, run: u32) -> bool {
        if let Some(job) = self.ledger.job(task.job) {
            let step = job.spec.steps.get(usize::from(task.step));
            // The copies of a speculative step may all run, and the first to end counts.
            if step.is_none_or(|it| it.speculative) {
                return false;
            }
        }
        let runs = self.ledger.last_run(task);
        runs > run && !(runs == run + 1 && self.is_recording(task, runs))
    }

    /// Notes which tasks of a job that ends now were started more than once, to be recorded.
    pub(super) fn note_reruns(&mut self, id: JobId) {
        let reruns = self.reruns(id);
        if !reruns.is_empty() {
            self.ledger.set_reruns(id, reruns);
            self.unrecorded_reruns.push(id);
        }
    }

    fn reruns(&self, id: JobId) -> Vec<RerunTasks> {
        let mut found = Vec::new();
        let Some(job) = self.ledger.job(id) else { return found };
        let assignments = self.workers.iter().flat_map(|(_, it)| &it.tasks);
        let unsent: Vec<(TaskId, u32)> = assignments
            .filter(|it| it.task.job == id && it.start_state == StartState::Recording)
            .map(|it| (it.task, it.run))
            .collect();
        for (occurrence, steps) in (0u32..).zip(&job.progress.occurrences) {
            let steps = (0u16..).zip(steps).zip(&job.spec.steps);
            for ((step, tasks), _) in steps.filter(|(_, spec)| !spec.speculative) {
                for (index, state) in (0u32..).zip(tasks).filter(|(_, it)| it.runs > 1) {
                    let task = TaskId { job: id, occurrence, step, index };
                    // An order that is not sent yet is not sent any more.
                    let runs = state.runs - u32::from(unsent.contains(&(task, state.runs)));
                    if runs > 1 {
                        RerunTasks::add(&mut found, task, runs);
                    }
                }
            }
        }
        found
    }

    /// Returns the records of reruns that are not in the log yet.
    pub(super) fn take_reruns(&mut self) -> Vec<Record> {
        let jobs = std::mem::take(&mut self.unrecorded_reruns);
        let record = |id| Some(Record::Reruns(id, self.ledger.reruns(id)?.to_vec()));
        jobs.into_iter().filter_map(record).collect()
    }

    /// Returns the jobs of which workers list the ends of superseded runs, sorted: without their records
    /// the next owner would acknowledge these ends.
    pub(super) fn jobs_with_superseded_ends(&self) -> Vec<JobId> {
        let held_ends = self.workers.iter().flat_map(|(_, it)| &it.held_ends);
        let mut jobs: Vec<JobId> =
            held_ends.filter(|it| it.is_superseded).map(|it| it.task.job).collect();
        jobs.sort_unstable();
        jobs
    }

    /// Returns whether a run's order is not sent yet, because its record is not in the log.
    fn is_recording(&self, task: TaskId, run: u32) -> bool {
        let mut assignments = self.workers.iter().flat_map(|(_, it)| &it.tasks);
        let assignment = assignments.find(|it| it.task == task && it.run == run);
        assignment.is_some_and(|it| it.start_state == StartState::Recording)
    }
}
