//! The state folded from the records of one shard.

use std::sync::Arc;

use daisy_model::SortedMap;

use crate::{
    Claim, ImageInterference, IncomingTransfer, JobId, JobSpec, OpenStart, OutgoingTransfer, Phase,
    Progress, Record, RecordKey, RerunTasks, ShardId, TaskId, TransferState, Witnesses, WorkerId,
};

/// A job as folded from the records.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// The progress that the owner last recorded.
    pub progress: Progress,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
    /// The shard that the job was delegated to, which runs it.
    pub delegated: Option<ShardId>,
    /// Whether this shard knows the job only by tasks that were transferred to it.
    pub has_only_received_tasks: bool,
    /// The job's tasks that were transferred between shards.
    pub transfers: SortedMap<TaskId, TransferState>,
}

/// The state of a job as callers see it. A later state in this order replaces an earlier one, never
/// the reverse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobState {
    /// No worker has begun a task.
    Queued,
    /// A worker has begun a task.
    Running,
    /// Cancelled by a caller.
    Cancelled,
    /// All tasks are done.
    Completed,
    /// Given up after too many failures.
    Failed,
}

impl JobState {
    /// Returns the state's name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Cancelled => "cancelled",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
        }
    }

    /// Returns whether the job has ended.
    pub fn is_ended(self) -> bool {
        self >= JobState::Cancelled
    }
}

impl Job {
    /// Returns the state that callers see. A recorded end takes precedence over a later
    /// cancellation.
    pub fn state(&self) -> JobState {
        match self.progress.phase {
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Active if self.cancelled => JobState::Cancelled,
            Phase::Active if self.progress.has_started => JobState::Running,
            Phase::Active => JobState::Queued,
        }
    }

    /// Returns whether the job is open and no start of its tasks can have been ordered.
    pub fn is_untouched(&self) -> bool {
        self.state() == JobState::Queued && !self.progress.may_have_started()
    }

    /// Returns whether another shard has the job, so that this one runs only those of its tasks
    /// that were transferred here.
    pub fn belongs_to_other_shard(&self) -> bool {
        self.has_only_received_tasks || self.delegated.is_some()
    }

    /// Returns whether tasks of the job were transferred to this shard.
    pub fn has_received_tasks(&self) -> bool {
        self.transfers.iter().any(|(_, it)| it.to.is_none())
    }

    /// Delegates the whole job, of which nothing has started, to another shard.
    pub(crate) fn delegate(&mut self, to: ShardId) {
        self.delegated = Some(to);
        self.update_task_locations();
    }

    /// Records a transfer of a task and returns whether it is newer than all that were known.
    pub(crate) fn add_transfer(&mut self, id: TaskId, transfer: TransferState) -> bool {
        let newer = self.transfers.get(&id).is_none_or(|it| it.number < transfer.number);
        if newer {
            self.transfers.insert(id, transfer);
            self.update_task_locations();
        }
        newer
    }

    /// Updates the states of tasks from their transfers.
    ///
    /// Progress that was recorded before a task arrived doesn't include its runs on other shards:
    /// if the task were started from that progress, its run would get a number that another shard
    /// has already used.
    fn update_task_locations(&mut self) {
        let is_foreign = self.belongs_to_other_shard();
        if !is_foreign && self.transfers.is_empty() {
            return;
        }
        let tasks = self.progress.occurrences.iter_mut().flatten().flatten();
        tasks.for_each(|it| it.on_other_shard = is_foreign);
        for (id, transfer) in self.transfers.iter() {
            let Some(state) = self.progress.task_mut(*id) else { continue };
            state.on_other_shard = transfer.to.is_some();
            if transfer.to.is_none() && state.runs < transfer.received.runs {
                *state = transfer.received.clone();
            }
        }
    }

    /// Returns the shards that this shard transferred tasks of the job to.
    pub fn transferred_to(&self) -> Vec<ShardId> {
        let mut shards: Vec<ShardId> = self.transfers.iter().filter_map(|(_, it)| it.to).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    /// Returns the share of the job's estimated work in tasks that are not done, in thousandths.
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

/// The effect of folding a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldEffect {
    /// A job was submitted that was not known.
    Submitted(JobId),
    /// A job was cancelled that was not cancelled before.
    Cancelled(JobId),
    /// A job's progress was updated.
    Progress(JobId),
    /// A task was transferred to this shard.
    TaskReceived(TaskId),
    /// A job was submitted of which only the state is kept, as it has ended.
    Ended(JobId),
    /// The shard was claimed.
    Claim,
    /// No effect that the reader acts on, such as a record that repeats another.
    Nothing,
}

/// All jobs of a shard, and who owns its workers.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    jobs: SortedMap<JobId, Job>,
    /// The states of jobs that have ended and of which nothing else is kept, or whose submission was
    /// not read yet.
    ended: SortedMap<JobId, JobState>,
    /// The tasks of ended jobs that were started more than once.
    reruns: SortedMap<JobId, Vec<RerunTasks>>,
    /// Nothing else is kept of those accepted before this time, in milliseconds since 1970.
    compacts_before_ms: u64,
    /// Cancellations, progress that has not ended, delegations and transfers of jobs whose submission
    /// was not read yet: the topics are read independently of each other.
    early_cancellations: SortedMap<JobId, ()>,
    early_progress: SortedMap<JobId, Progress>,
    early_delegations: SortedMap<JobId, ShardId>,
    early_transfers: SortedMap<TaskId, OutgoingTransfer>,
    owner: Option<Claim>,
    /// The epoch for which the newest claim vouches.
    owner_vouches_for: Option<u64>,
    learned_interference: Vec<ImageInterference>,
    witnesses: Witnesses,
    open_starts: Vec<OpenStart>,
    long_leases: Vec<WorkerId>,
}

impl Ledger {
    /// Returns an empty ledger that keeps only the states of jobs that have ended and were accepted
    /// before `accepted_before_ms`, in milliseconds since 1970, if their progress is folded before
    /// their submission.
    pub fn compacting(accepted_before_ms: u64) -> Ledger {
        Ledger { compacts_before_ms: accepted_before_ms, ..Ledger::default() }
    }

    /// Folds one record into the state. Folding a record again changes nothing.
    pub fn fold(&mut self, record: Record) -> FoldEffect {
        match record {
            Record::Submitted(id, spec) => self.submitted(id, spec),
            Record::Cancelled(id) => self.cancelled(id),
            Record::Progress(id, progress) => self.progress(id, progress),
            Record::Reruns(id, tasks) => {
                self.set_reruns(id, tasks);
                FoldEffect::Nothing
            }
            Record::Claim(claim, vouched_epoch) => self.claim(claim, vouched_epoch),
            Record::LearnedInterference(pairs) => {
                self.learned_interference = pairs;
                FoldEffect::Nothing
            }
            Record::Witnesses(witnesses) => {
                self.witnesses = witnesses;
                FoldEffect::Nothing
            }
            Record::OpenStarts(runs) => {
                self.open_starts = runs;
                FoldEffect::Nothing
            }
            Record::LongLeases(workers) => {
                self.long_leases = workers;
                FoldEffect::Nothing
            }
            Record::Delegated(id, shard) => {
                match self.jobs.get_mut(&id) {
                    Some(job) => job.delegate(shard),
                    None => drop(self.early_delegations.insert(id, shard)),
                }
                FoldEffect::Nothing
            }
            Record::TaskTransferredOut(id, transfer) => {
                match self.jobs.get_mut(&id.job) {
                    Some(job) => drop(job.add_transfer(id, transfer.into())),
                    None => self.add_early_transfer(id, transfer),
                }
                FoldEffect::Nothing
            }
            Record::TaskTransferredIn(id, transfer) => self.task_transferred_in(id, *transfer),
            Record::Removed(key) => self.removed(key),
            // These are folded by a [`Directory`](crate::Directory) or by the owner.
            Record::State(..)
            | Record::OwnerHeartbeat(_)
            | Record::Layout(_)
            | Record::Rejected(..)
            | Record::InterferenceSums(..) => FoldEffect::Nothing,
        }
    }

    fn submitted(&mut self, id: JobId, spec: JobSpec) -> FoldEffect {
        if let Some(state) = self.ended.get(&id).copied() {
            if self.keeps_only_state(id, &spec) {
                return FoldEffect::Ended(id);
            }
            self.ended.remove(&id);
            self.early_progress.insert(id, Progress::ended(state));
        }
        match self.jobs.get_mut(&id) {
            None => self.add_job(id, spec, false),
            // A transfer that returned one of its tasks was read before the submission.
            Some(job) if job.has_only_received_tasks => {
                job.has_only_received_tasks = false;
                job.update_task_locations();
            }
            Some(_) => return FoldEffect::Nothing,
        }
        FoldEffect::Submitted(id)
    }

    fn task_transferred_in(&mut self, id: TaskId, transfer: IncomingTransfer) -> FoldEffect {
        if !self.jobs.contains_key(&id.job) {
            self.add_job(id.job, transfer.spec.clone(), true);
        }
        let job = self.jobs.get_mut(&id.job);
        match job.is_some_and(|it| it.add_transfer(id, transfer.into())) {
            true => FoldEffect::TaskReceived(id),
            false => FoldEffect::Nothing,
        }
    }

    /// Returns whether only the state of a job that has ended is kept. A start order of the job that
    /// may still be carried out needs its steps.
    fn keeps_only_state(&self, id: JobId, spec: &JobSpec) -> bool {
        spec.accepted_ms < self.compacts_before_ms
            && self.early_transfers.iter().all(|(task, _)| task.job != id)
            && self.open_starts.iter().all(|it| it.task.job != id)
    }

    /// Adds a job and applies all its records that were read before its submission.
    fn add_job(&mut self, id: JobId, spec: JobSpec, has_only_received_tasks: bool) {
        let early = self.early_progress.remove(&id).filter(|it| it.matches_spec(&spec));
        let mut progress = early.unwrap_or_else(|| Progress::new(&spec));
        progress.has_started |= has_only_received_tasks;
        let cancelled = self.early_cancellations.remove(&id).is_some();
        let delegated = self.early_delegations.remove(&id);
        let spec = Arc::new(spec);
        let transfers = SortedMap::new();
        let mut job =
            Job { spec, progress, cancelled, delegated, has_only_received_tasks, transfers };
        let early_transfers: Vec<(TaskId, OutgoingTransfer)> = self
            .early_transfers
            .iter()
            .filter(|(task, _)| task.job == id)
            .map(|(task, transfer)| (*task, *transfer))
            .collect();
        for (task, transfer) in early_transfers {
            self.early_transfers.remove(&task);
            job.add_transfer(task, transfer.into());
        }
        job.update_task_locations();
        self.jobs.insert(id, job);
    }

    fn add_early_transfer(&mut self, id: TaskId, transfer: OutgoingTransfer) {
        if self.early_transfers.get(&id).is_none_or(|it| it.number < transfer.number) {
            self.early_transfers.insert(id, transfer);
        }
    }

    fn cancelled(&mut self, id: JobId) -> FoldEffect {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_cancellations.insert(id, ());
            return FoldEffect::Nothing;
        };
        if std::mem::replace(&mut job.cancelled, true) {
            return FoldEffect::Nothing;
        }
        FoldEffect::Cancelled(id)
    }

    fn progress(&mut self, id: JobId, progress: Progress) -> FoldEffect {
        let Some(job) = self.jobs.get_mut(&id) else {
            match progress.phase {
                Phase::Active => drop(self.early_progress.insert(id, progress)),
                Phase::Completed => drop(self.ended.insert(id, JobState::Completed)),
                Phase::Failed => drop(self.ended.insert(id, JobState::Failed)),
            }
            return FoldEffect::Nothing;
        };
        if !progress.matches_spec(&job.spec) {
            return FoldEffect::Nothing;
        }
        job.progress = progress;
        job.update_task_locations();
        FoldEffect::Progress(id)
    }

    /// Forgets what a removed record said. A job's submission is removed only long after the job has
    /// ended, and before its other records; so nothing of the job matters any more, though its
    /// progress may not have been read.
    fn removed(&mut self, key: RecordKey) -> FoldEffect {
        match key {
            RecordKey::Submission(id) => {
                self.jobs.remove(&id);
                self.ended.remove(&id);
                self.reruns.remove(&id);
            }
            RecordKey::Cancellation(id) => drop(self.early_cancellations.remove(&id)),
            RecordKey::Progress(id) => drop(self.early_progress.remove(&id)),
            RecordKey::Reruns(id) => drop(self.reruns.remove(&id)),
            RecordKey::Delegation(id) => drop(self.early_delegations.remove(&id)),
            RecordKey::TransferOut(task) => drop(self.early_transfers.remove(&task)),
            RecordKey::TransferIn(..) | RecordKey::State(_) => {}
        }
        FoldEffect::Nothing
    }

    fn claim(&mut self, claim: Claim, vouched_epoch: Option<u64>) -> FoldEffect {
        self.owner = Some(claim);
        self.owner_vouches_for = vouched_epoch;
        FoldEffect::Claim
    }

    /// Returns the job with this id.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub(crate) fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Iterates over all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Iterates over the jobs that have ended and of which only the state is known.
    pub fn ended(&self) -> impl Iterator<Item = (JobId, JobState)> {
        self.ended.iter().map(|(id, state)| (*id, *state))
    }

    /// Returns the state of a job, if it is known.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(Job::state).or_else(|| self.ended.get(&id).copied())
    }

    /// Sets which tasks of an ended job were started more than once, sorted.
    pub(crate) fn set_reruns(&mut self, id: JobId, tasks: Vec<RerunTasks>) {
        self.reruns.insert(id, tasks);
    }

    /// Returns the tasks of an ended job that were started more than once, if there are any.
    pub(crate) fn reruns(&self, id: JobId) -> Option<&[RerunTasks]> {
        self.reruns.get(&id).map(Vec::as_slice)
    }

    /// Returns the number of a task's last run; 0 if it has none, or if the job has ended and no other
    /// run of the task is known.
    pub(crate) fn last_run(&self, task: TaskId) -> u32 {
        let state = self.jobs.get(&task.job).and_then(|it| it.progress.task(task));
        let reruns = self.reruns(task.job).unwrap_or_default();
        state.map_or_else(|| RerunTasks::last_run(reruns, task), |it| it.runs)
    }

    /// Iterates over the jobs of which records were read, but no submission. Some are repeated.
    pub fn without_submission(&self) -> impl Iterator<Item = JobId> {
        let cancelled = self.early_cancellations.iter().map(|(id, ())| *id);
        let progressed = self.early_progress.iter().map(|(id, _)| *id);
        let delegated = self.early_delegations.iter().map(|(id, _)| *id);
        let transferred = self.early_transfers.iter().map(|(task, _)| task.job);
        let is_unknown = |id: &JobId| !self.jobs.contains_key(id) && !self.ended.contains_key(id);
        let rerun = self.reruns.iter().map(|(id, _)| *id).filter(is_unknown);
        cancelled.chain(progressed).chain(delegated).chain(transferred).chain(rerun)
    }

    /// Returns the newest claim.
    pub fn owner(&self) -> Option<&Claim> {
        self.owner.as_ref()
    }

    /// Returns what the owners have learned about interference between images.
    pub fn learned_interference(&self) -> &[ImageInterference] {
        &self.learned_interference
    }

    /// Returns the workers that must answer an owner while it operates without the log.
    pub fn witnesses(&self) -> &Witnesses {
        &self.witnesses
    }

    /// Returns the runs whose start orders may still be carried out.
    pub fn open_starts(&self) -> &[OpenStart] {
        &self.open_starts
    }

    /// Returns the workers that may hold the longest lease.
    pub fn long_leases(&self) -> &[WorkerId] {
        &self.long_leases
    }

    /// Returns the `accepted_by_epoch` of the newest witnesses if all owners up to the newest claim
    /// comply with them. A claimant that has read the whole log vouches for that epoch.
    pub fn vouched_epoch(&self) -> Option<u64> {
        let epoch = self.witnesses.accepted_by_epoch;
        let owner = self.owner.as_ref()?;
        let all_comply = owner.epoch == epoch || self.owner_vouches_for == Some(epoch);
        (all_comply && !self.witnesses.workers.is_empty()).then_some(epoch)
    }

    /// Returns by queue the number of jobs without set times of which no task has begun and that
    /// were neither cancelled nor delegated.
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
