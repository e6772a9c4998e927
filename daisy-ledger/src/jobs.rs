//! Jobs by id and by name, and the queue of tasks that are not checked out.

use std::collections::VecDeque;

use daisy_model::{JobId, Name, Offset, SortedMap, TaskId};

use crate::{Job, Task, TaskState};

/// All jobs that have not been compacted away.
///
/// Ids are assigned in the order of creation and never reused; lookups search a sorted vector.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Jobs {
    next: JobId,
    entries: SortedMap<JobId, Job>,
    names: SortedMap<Name, JobId>,
    pending: Vec<TaskId>,
    finished: VecDeque<JobId>,
    finished_tasks: usize,
}

impl Jobs {
    /// The most finished jobs that are stored; the job that finished first is removed first. The
    /// limit is reached after about five hours at 8,600 jobs a day (the users' size plan).
    pub const MAX_FINISHED_JOBS: usize = 2_000;
    /// The most tasks of all stored finished jobs together.
    pub const MAX_FINISHED_TASKS: usize = 25_000;

    /// Returns the job with the id `job`; `None` if there is none or it has been compacted away.
    pub fn get(&self, job: JobId) -> Option<&Job> {
        self.entries.get(&job)
    }

    /// Returns the newest job called `name`.
    pub fn by_name(&self, name: &Name) -> Option<(JobId, &Job)> {
        let id = *self.names.get(name)?;
        self.entries.get(&id).map(|job| (id, job))
    }

    /// Returns the task, unless it does not exist or its job has been compacted away.
    pub fn task(&self, task: TaskId) -> Option<&Task> {
        self.entries.get(&task.job)?.tasks.get(task.index as usize)
    }

    /// Iterates over the jobs in the order of creation.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (JobId, &Job)> {
        self.entries.iter().map(|(&id, job)| (id, job))
    }

    /// Returns the number of jobs, including finished ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tasks that are not checked out and have not ended, sorted by job and index.
    pub fn pending(&self) -> &[TaskId] {
        &self.pending
    }

    /// Iterates over the finished jobs in the order in which they finished.
    pub fn finished(&self) -> impl Iterator<Item = JobId> {
        self.finished.iter().copied()
    }

    /// Returns the id that the next job will get.
    pub fn next_id(&self) -> JobId {
        self.next
    }

    /// Returns whether the job of `task` has been compacted away, so that the task will not run
    /// again.
    pub fn is_compacted(&self, task: TaskId) -> bool {
        task.job < self.next && !self.entries.contains_key(&task.job)
    }

    /// Restores the jobs from their parts; the indices are rebuilt.
    pub fn from_parts(
        next: JobId,
        jobs: impl IntoIterator<Item = (JobId, Job)>,
        finished: impl IntoIterator<Item = JobId>,
    ) -> Jobs {
        let entries: SortedMap<JobId, Job> = jobs.into_iter().collect();
        let names = entries.iter().map(|(&id, job)| (job.spec.name.clone(), id)).collect();
        let mut pending = Vec::new();
        for (&id, job) in entries.iter() {
            pending.extend(pending_of(id, job));
        }
        let finished: VecDeque<JobId> =
            finished.into_iter().filter(|id| entries.contains_key(id)).collect();
        let finished_tasks =
            finished.iter().filter_map(|id| entries.get(id)).map(|job| job.tasks.len()).sum();
        Jobs { next, entries, names, pending, finished, finished_tasks }
    }

    /// Adds `job`, whose tasks are all pending.
    pub(crate) fn create(&mut self, job: Job) -> JobId {
        let id = self.next;
        self.next = JobId(id.0 + 1);
        self.pending.extend(pending_of(id, &job));
        self.names.insert(job.spec.name.clone(), id);
        self.entries.insert(id, job);
        id
    }

    pub(crate) fn get_mut(&mut self, job: JobId) -> Option<&mut Job> {
        self.entries.get_mut(&job)
    }

    /// Records that the entry before the offset `next` changed the job or one of its tasks.
    pub(crate) fn mark_modified(&mut self, job: JobId, next: Offset) {
        if let Some(job) = self.entries.get_mut(&job) {
            job.modified_before = next;
        }
    }

    /// Rebuilds the queue of the job `id` after a change of many of its tasks.
    pub(crate) fn rebuild_queue(&mut self, id: JobId) {
        let from = self.pending.partition_point(|it| it.job < id);
        let to = self.pending.partition_point(|it| it.job <= id);
        let Some(job) = self.entries.get(&id) else { return };
        self.pending.splice(from..to, pending_of(id, job));
    }

    /// Adds one task to the queue.
    pub(crate) fn enqueue(&mut self, task: TaskId) {
        if let Err(at) = self.pending.binary_search(&task) {
            self.pending.insert(at, task);
        }
    }

    /// Removes the tasks `taken`, which are sorted, from the queue.
    pub(crate) fn dequeue(&mut self, taken: &[TaskId]) {
        match taken {
            [] => {}
            [only] => {
                if let Ok(at) = self.pending.binary_search(only) {
                    self.pending.remove(at);
                }
            }
            _ => self.pending.retain(|it| taken.binary_search(it).is_err()),
        }
    }

    /// Records that the last task of the job `id` has ended, and removes the finished jobs that
    /// exceed the limits, oldest first.
    pub(crate) fn record_finished(&mut self, id: JobId) {
        let Some(job) = self.entries.get(&id) else { return };
        self.finished.push_back(id);
        self.finished_tasks += job.tasks.len();
        while self.finished.len() > Jobs::MAX_FINISHED_JOBS
            || self.finished_tasks > Jobs::MAX_FINISHED_TASKS
        {
            let Some(oldest) = self.finished.pop_front() else { return };
            self.remove_job(oldest);
        }
    }

    fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.entries.remove(&id) else { return };
        self.finished_tasks = self.finished_tasks.saturating_sub(job.tasks.len());
        let name = job.spec.name;
        if self.names.get(&name) != Some(&id) {
            return;
        }
        // An older job of the same name may still have tasks that have not stopped.
        let older = self.entries.iter().rev().find(|(_, job)| job.spec.name == name);
        match older.map(|(&id, _)| id) {
            Some(older) => self.names.insert(name, older),
            None => self.names.remove(&name),
        };
    }
}

fn pending_of(id: JobId, job: &Job) -> impl Iterator<Item = TaskId> {
    let tasks = job.tasks.iter().enumerate();
    tasks.filter_map(move |(index, task)| {
        (task.state == TaskState::Pending).then_some(TaskId { job: id, index: index as u32 })
    })
}
