//! The fold of all records: what every entry VM knows.

use std::sync::Arc;

use daisy_model::SortedMap;

use crate::{Claim, Disturbance, JobId, JobSpec, Phase, Progress, Record, ShardId};

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
            Phase::Active if self.progress.begun => JobState::Running,
            Phase::Active => JobState::Queued,
        }
    }

    /// The part of the job's estimated work whose tasks have not ended as done, in thousandths.
    pub fn left_permille(&self) -> u64 {
        let (mut left, mut all) = (0, 0);
        for steps in &self.progress.occurrences {
            for (tasks, step) in steps.iter().zip(&self.spec.steps) {
                let each = u64::from(step.estimate_ms) * u64::from(step.need.cpu_milli);
                all += each * tasks.len() as u64;
                left += each * tasks.iter().filter(|it| !it.done).count() as u64;
            }
        }
        left * 1_000 / all.max(1)
    }
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fold {
    /// A job that was not known.
    Submitted(JobId),
    /// A job was cancelled that was not.
    Cancelled(JobId),
    /// A job's progress.
    Progress(JobId),
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
    early_cancels: Vec<JobId>,
    early_progress: SortedMap<JobId, Progress>,
    early_delegated: SortedMap<JobId, ShardId>,
    owner: Option<Claim>,
    learnt: Vec<Disturbance>,
}

impl Ledger {
    /// Takes one record in. Taking a record twice changes nothing.
    pub fn fold(&mut self, record: Record) -> Fold {
        match record {
            Record::Submitted(id, spec) => self.submitted(id, spec),
            Record::Cancelled(id) => self.cancelled(id),
            Record::Progress(id, progress) => self.progress(id, progress),
            Record::Claim(claim) => self.claim(claim),
            Record::Learnt(pairs) => {
                self.learnt = pairs;
                Fold::Nothing
            }
            Record::Delegated(id, shard) => {
                match self.jobs.get_mut(&id) {
                    Some(job) => job.delegated = Some(shard),
                    None => drop(self.early_delegated.insert(id, shard)),
                }
                Fold::Nothing
            }
            // For a [`Directory`](crate::Directory).
            Record::State(..) | Record::Sign(_) | Record::Layout(_) | Record::Observed(..) => {
                Fold::Nothing
            }
        }
    }

    fn submitted(&mut self, id: JobId, spec: JobSpec) -> Fold {
        if self.jobs.contains_key(&id) {
            return Fold::Nothing;
        }
        let early = self.early_progress.remove(&id).filter(|it| it.fits(&spec));
        let progress = early.unwrap_or_else(|| Progress::new(&spec));
        let cancelled = self.early_cancels.contains(&id);
        self.early_cancels.retain(|it| *it != id);
        let delegated = self.early_delegated.remove(&id);
        self.jobs.insert(id, Job { spec: Arc::new(spec), progress, cancelled, delegated });
        Fold::Submitted(id)
    }

    fn cancelled(&mut self, id: JobId) -> Fold {
        let Some(job) = self.jobs.get_mut(&id) else {
            if !self.early_cancels.contains(&id) {
                self.early_cancels.push(id);
            }
            return Fold::Nothing;
        };
        if std::mem::replace(&mut job.cancelled, true) {
            return Fold::Nothing;
        }
        Fold::Cancelled(id)
    }

    fn progress(&mut self, id: JobId, progress: Progress) -> Fold {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_progress.insert(id, progress);
            return Fold::Nothing;
        };
        if !progress.fits(&job.spec) {
            return Fold::Nothing;
        }
        job.progress = progress;
        Fold::Progress(id)
    }

    fn claim(&mut self, claim: Claim) -> Fold {
        self.owner = Some(claim);
        Fold::Claim
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
    pub fn learnt(&self) -> &[Disturbance] {
        &self.learnt
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
