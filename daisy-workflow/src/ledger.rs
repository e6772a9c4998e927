//! The fold of all records: what every entry VM knows.

use std::sync::Arc;

use daisy_model::SortedMap;

use crate::{
    Claim, ImageInterference, IncomingTransfer, JobId, JobSpec, OutgoingTransfer, Phase, Progress,
    Record, ShardId, TaskId, TransferState, Witnesses,
};

/// A job as the records tell it.
#[derive(Debug, Clone)]
pub struct Job {
    /// As submitted.
    pub spec: Arc<JobSpec>,
    /// As the owner last recorded it.
    pub progress: Progress,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
    /// The shard that it was handed to, which runs it.
    pub delegated: Option<ShardId>,
    /// Whether this shard runs nothing of it but the tasks that were handed to it.
    pub has_only_received_tasks: bool,
    /// Its tasks that have changed their shard.
    pub transfers: SortedMap<TaskId, TransferState>,
}

/// The state of a job that callers are told. A later one in this order replaces an earlier one,
/// never the reverse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobState {
    /// No task was started.
    Queued,
    /// A task was started.
    Running,
    /// Cancelled by a caller.
    Cancelled,
    /// All tasks are done.
    Completed,
    /// Given up after too many failures.
    Failed,
}

impl JobState {
    /// Whether nothing more happens to the job.
    pub fn is_ended(self) -> bool {
        self >= JobState::Cancelled
    }
}

impl Job {
    /// The state that callers are told. An end that was recorded stands, also against a
    /// cancellation that came later.
    pub fn state(&self) -> JobState {
        match self.progress.phase {
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Active if self.cancelled => JobState::Cancelled,
            Phase::Active if self.progress.has_started => JobState::Running,
            Phase::Active => JobState::Queued,
        }
    }

    /// Whether this shard runs nothing of it but the tasks that were handed to it, as another shard
    /// has the job.
    pub fn belongs_to_other_shard(&self) -> bool {
        self.has_only_received_tasks || self.delegated.is_some()
    }

    /// Whether tasks of it were handed to this shard.
    pub fn has_received_tasks(&self) -> bool {
        self.transfers.iter().any(|(_, it)| it.to.is_none())
    }

    /// Gives the whole job, of which nothing has begun, to another shard.
    pub(crate) fn delegate(&mut self, to: ShardId) {
        self.delegated = Some(to);
        self.update_task_locations();
    }

    /// Takes a change of a task's shard in; whether it is newer than all that was known.
    pub(crate) fn move_task(&mut self, id: TaskId, transfers: TransferState) -> bool {
        let newer = self.transfers.get(&id).is_none_or(|it| it.hop < transfers.hop);
        if newer {
            self.transfers.insert(id, transfers);
            self.update_task_locations();
        }
        newer
    }

    /// Makes the states of tasks follow from where they were handed to.
    ///
    /// Progress that was recorded before a task came says nothing of its earlier runs: started by
    /// it, the task would get the number of a run that another shard has started.
    fn update_task_locations(&mut self) {
        let belongs_to_other_shard = self.belongs_to_other_shard();
        if !belongs_to_other_shard && self.transfers.is_empty() {
            return;
        }
        let tasks = self.progress.occurrences.iter_mut().flatten().flatten();
        tasks.for_each(|it| it.on_other_shard = belongs_to_other_shard);
        for (id, transfers) in self.transfers.iter() {
            let Some(state) = self.progress.task_mut(*id) else { continue };
            state.on_other_shard = transfers.to.is_some();
            if transfers.to.is_none() && state.runs < transfers.received.runs {
                *state = transfers.received.clone();
            }
        }
    }

    /// Shards that tasks of this job were handed to by this one.
    pub fn transferred_to(&self) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.transfers.iter().filter_map(|(_, it)| it.to).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// The part of the job's estimated work whose tasks have not ended as done, in thousandths.
    pub fn remaining_work_permille(&self) -> u64 {
        let (mut remaining, mut all) = (0, 0);
        for steps in &self.progress.occurrences {
            for (tasks, step) in steps.iter().zip(&self.spec.steps) {
                let task_work = u64::from(step.estimate_ms) * u64::from(step.need.cpu_milli);
                all += task_work * tasks.len() as u64;
                remaining += task_work * tasks.iter().filter(|it| !it.done).count() as u64;
            }
        }
        remaining * 1_000 / all.max(1)
    }
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldEffect {
    /// A job that was not known.
    Submitted(JobId),
    /// A job was cancelled that was not.
    Cancelled(JobId),
    /// A job's progress.
    Progress(JobId),
    /// A task was handed to this shard.
    Task(TaskId),
    /// Somebody claimed the workers, or showed that it lives.
    Claim,
    /// Nothing, as for a record that repeats another.
    Nothing,
}

/// All jobs, and who owns the workers.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    jobs: SortedMap<JobId, Job>,
    /// Cancellations and progress of jobs whose submission was not read yet: the topics are read
    /// independently of each other.
    early_cancellations: Vec<JobId>,
    early_progress: SortedMap<JobId, Progress>,
    early_delegations: SortedMap<JobId, ShardId>,
    early_transfers: SortedMap<TaskId, OutgoingTransfer>,
    owner: Option<Claim>,
    learned_interference: Vec<ImageInterference>,
    witnesses: Witnesses,
}

impl Ledger {
    /// Takes one record in. Taking a record twice changes nothing.
    pub fn fold(&mut self, record: Record) -> FoldEffect {
        match record {
            Record::Submitted(id, spec) => self.submitted(id, spec),
            Record::Cancelled(id) => self.cancelled(id),
            Record::Progress(id, progress) => self.progress(id, progress),
            Record::Claim(claim) => self.claim(claim),
            Record::LearnedInterference(pairs) => {
                self.learned_interference = pairs;
                FoldEffect::Nothing
            }
            Record::Witnesses(witnesses) => {
                self.witnesses = witnesses;
                FoldEffect::Nothing
            }
            Record::Delegated(id, shard) => {
                match self.jobs.get_mut(&id) {
                    Some(job) => job.delegate(shard),
                    None => drop(self.early_delegations.insert(id, shard)),
                }
                FoldEffect::Nothing
            }
            Record::TaskTransferredOut(id, hop) => {
                match self.jobs.get_mut(&id.job) {
                    Some(job) => drop(job.move_task(id, hop.into())),
                    None => self.add_early_transfer(id, hop),
                }
                FoldEffect::Nothing
            }
            Record::TaskTransferredIn(id, handover) => self.task_submitted(id, *handover),
            // For a [`Directory`](crate::Directory).
            Record::State(..)
            | Record::OwnerHeartbeat(_)
            | Record::Layout(_)
            | Record::Observed(..) => FoldEffect::Nothing,
        }
    }

    fn submitted(&mut self, id: JobId, spec: JobSpec) -> FoldEffect {
        match self.jobs.get_mut(&id) {
            None => self.add_job(id, spec, false),
            // A task of it that returned was read first.
            Some(job) if job.has_only_received_tasks => {
                job.has_only_received_tasks = false;
                job.update_task_locations();
            }
            Some(_) => return FoldEffect::Nothing,
        }
        FoldEffect::Submitted(id)
    }

    fn task_submitted(&mut self, id: TaskId, handover: IncomingTransfer) -> FoldEffect {
        if !self.jobs.contains_key(&id.job) {
            self.add_job(id.job, handover.spec.clone(), true);
        }
        let job = self.jobs.get_mut(&id.job);
        match job.is_some_and(|it| it.move_task(id, handover.into())) {
            true => FoldEffect::Task(id),
            false => FoldEffect::Nothing,
        }
    }

    /// Adds a job, with all that was read of it before.
    fn add_job(&mut self, id: JobId, spec: JobSpec, has_only_received_tasks: bool) {
        let early = self.early_progress.remove(&id).filter(|it| it.fits(&spec));
        let mut progress = early.unwrap_or_else(|| Progress::new(&spec));
        progress.has_started |= has_only_received_tasks;
        let cancelled = self.early_cancellations.contains(&id);
        self.early_cancellations.retain(|it| *it != id);
        let delegated = self.early_delegations.remove(&id);
        let spec = Arc::new(spec);
        let transfers = SortedMap::new();
        let mut job =
            Job { spec, progress, cancelled, delegated, has_only_received_tasks, transfers };
        let early_transfers: Vec<(TaskId, OutgoingTransfer)> = self
            .early_transfers
            .iter()
            .filter(|(task, _)| task.job == id)
            .map(|(task, hop)| (*task, *hop))
            .collect();
        for (task, hop) in early_transfers {
            self.early_transfers.remove(&task);
            job.move_task(task, hop.into());
        }
        job.update_task_locations();
        self.jobs.insert(id, job);
    }

    fn add_early_transfer(&mut self, id: TaskId, hop: OutgoingTransfer) {
        if self.early_transfers.get(&id).is_none_or(|it| it.number < hop.number) {
            self.early_transfers.insert(id, hop);
        }
    }

    fn cancelled(&mut self, id: JobId) -> FoldEffect {
        let Some(job) = self.jobs.get_mut(&id) else {
            if !self.early_cancellations.contains(&id) {
                self.early_cancellations.push(id);
            }
            return FoldEffect::Nothing;
        };
        if std::mem::replace(&mut job.cancelled, true) {
            return FoldEffect::Nothing;
        }
        FoldEffect::Cancelled(id)
    }

    fn progress(&mut self, id: JobId, progress: Progress) -> FoldEffect {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_progress.insert(id, progress);
            return FoldEffect::Nothing;
        };
        if !progress.fits(&job.spec) {
            return FoldEffect::Nothing;
        }
        job.progress = progress;
        job.update_task_locations();
        FoldEffect::Progress(id)
    }

    fn claim(&mut self, claim: Claim) -> FoldEffect {
        self.owner = Some(claim);
        FoldEffect::Claim
    }

    /// Forgets a job.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
    }

    /// The job of this id.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub(crate) fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// The newest claim.
    pub fn owner(&self) -> Option<&Claim> {
        self.owner.as_ref()
    }

    /// What the owners have learnt of images that disturb each other.
    pub fn learned_interference(&self) -> &[ImageInterference] {
        &self.learned_interference
    }

    /// The workers that owners have to be answered by while they go without the log.
    pub fn witnesses(&self) -> &Witnesses {
        &self.witnesses
    }

    /// By queue, the jobs without a time of which no task was started and that were not cancelled.
    pub fn pending(&self) -> Vec<(String, u32)> {
        let mut counts: SortedMap<&str, u32> = SortedMap::new();
        let queued =
            |it: &&Job| it.state() == JobState::Queued && !it.spec.timed && it.delegated.is_none();
        for job in self.jobs.iter().map(|(_, it)| it).filter(queued) {
            *counts.get_or_insert_with(&job.spec.terms.queue, || 0) += 1;
        }
        counts.iter().map(|(queue, count)| ((*queue).to_owned(), *count)).collect()
    }
}
