//! Jobs by id and by name, and the queue of tasks that nobody has.

use std::collections::VecDeque;

use daisy_model::{JobId, Name, Offset, SortedMap, TaskId};

use crate::{Job, Task, TaskState};

/// All jobs that have not been compacted away.
///
/// Ids are given in the order of creation and never again; lookups search a sorted vector.
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
    /// The most finished jobs kept, oldest forgotten first: about five hours of
    /// 8,600 jobs a day (the users' size plan).
    pub const MAX_FINISHED_JOBS: usize = 2_000;
    /// The most tasks that finished jobs keep together.
    pub const MAX_FINISHED_TASKS: usize = 25_000;

    /// The job with the id `job`; `None` if there is none or it has been compacted away.
    pub fn get(&self, job: JobId) -> Option<&Job> {
        self.entries.get(&job)
    }

    /// The newest job with `name`.
    pub fn by_name(&self, name: &Name) -> Option<(JobId, &Job)> {
        let id = *self.names.get(name)?;
        self.entries.get(&id).map(|job| (id, job))
    }

    /// The task, unless its job has been compacted away.
    pub fn task(&self, task: TaskId) -> Option<&Task> {
        self.entries.get(&task.job)?.tasks.get(task.index as usize)
    }

    /// Jobs in the order of creation.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (JobId, &Job)> {
        self.entries.iter().map(|(&id, job)| (id, job))
    }

    /// The number of jobs, finished ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tasks that nobody has, sorted by job and index.
    pub fn pending(&self) -> &[TaskId] {
        &self.pending
    }

    /// Finished jobs, the one finished first in front.
    pub fn finished(&self) -> impl Iterator<Item = JobId> {
        self.finished.iter().copied()
    }

    /// The id that the next job gets.
    pub fn next_id(&self) -> JobId {
        self.next
    }

    /// Whether `task` was of a job that has been compacted away: it will not run again.
    pub fn is_forgotten(&self, task: TaskId) -> bool {
        task.job < self.next && !self.entries.contains_key(&task.job)
    }

    /// Puts jobs back together from their parts; indices are built anew.
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

    /// Notes that the entry before `next` changed the job or one of its tasks.
    pub(crate) fn touch(&mut self, job: JobId, next: Offset) {
        if let Some(job) = self.entries.get_mut(&job) {
            job.modified_before = next;
        }
    }

    /// Builds the queue of `job` anew after a change to many of its tasks.
    pub(crate) fn refresh(&mut self, id: JobId) {
        let from = self.pending.partition_point(|it| it.job < id);
        let to = self.pending.partition_point(|it| it.job <= id);
        let Some(job) = self.entries.get(&id) else { return };
        self.pending.splice(from..to, pending_of(id, job));
    }

    /// Puts one task into the queue.
    pub(crate) fn enqueue(&mut self, task: TaskId) {
        if let Err(at) = self.pending.binary_search(&task) {
            self.pending.insert(at, task);
        }
    }

    /// Takes tasks out of the queue; `taken` is sorted.
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

    /// Notes that the last task of `job` has ended, and forgets the oldest finished jobs.
    pub(crate) fn finish(&mut self, id: JobId) {
        let Some(job) = self.entries.get(&id) else { return };
        self.finished.push_back(id);
        self.finished_tasks += job.tasks.len();
        while self.finished.len() > Jobs::MAX_FINISHED_JOBS
            || self.finished_tasks > Jobs::MAX_FINISHED_TASKS
        {
            let Some(oldest) = self.finished.pop_front() else { return };
            self.forget(oldest);
        }
    }

    fn forget(&mut self, id: JobId) {
        let Some(job) = self.entries.remove(&id) else { return };
        self.finished_tasks = self.finished_tasks.saturating_sub(job.tasks.len());
        let name = job.spec.name;
        if self.names.get(&name) != Some(&id) {
            return;
        }
        // An older job of that name may still have tasks that are about to stop.
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
