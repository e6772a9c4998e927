//! The holder's view of a job.

use std::collections::VecDeque;

use daisy_ledger::{Job, Task};
use daisy_model::{
    DcId, Generation, Instant, JobId, JobKind, JobSpec, Name, Priority, Resources, TeamId,
};

use crate::{
    fault::JobFaults,
    job_family::JobFamily,
    options::Options,
    reason::{Reason, TimedReason, WaitReason},
    task::LocalTask,
    usage::MeasuredUsage,
    worker::Class,
};

/// A job and its tasks, as the holder sees them.
#[derive(Debug)]
pub(crate) struct JobView {
    pub id: JobId,
    pub spec: JobSpec,
    pub cancelled: bool,
    pub tasks: Vec<LocalTask>,
    /// The ledger's tasks when the job was last updated.
    pub last_ledger_tasks: Vec<Task>,
    /// The ledger's generation of the job when it was last updated.
    pub generation: Generation,
    /// Whether the job needs no update as long as the ledger's tasks stay the same.
    pub up_to_date: bool,
    /// The tasks that are checked out and run nowhere, in the order in which they are placed.
    pub waiting: VecDeque<u32>,
    /// The tasks that were pending in the last fold.
    pub pending: Vec<u32>,
    pub team: TeamId,
    pub family: JobFamily,
    pub faults: JobFaults,
    /// The waiting tasks are not considered for placement before this time.
    pub next_attempt_at: Instant,
    pub measured: MeasuredUsage,
    /// When this holder first saw the job, or saw its last change.
    pub known_since: Instant,
    /// Why the waiting and pending tasks do not run.
    pub wait_reason: Option<TimedReason>,
    /// The allowed data centres in order of preference; `None` if the cluster has only one.
    preferred: Option<Vec<DcId>>,
}

impl JobView {
    pub(crate) fn new(
        now: Instant,
        id: JobId,
        job: &Job,
        family: JobFamily,
        options: &Options,
    ) -> JobView {
        JobView {
            id,
            spec: job.spec.clone(),
            cancelled: job.cancelled,
            tasks: job.tasks.iter().map(|task| LocalTask::new(*task)).collect(),
            last_ledger_tasks: Vec::new(),
            generation: job.generation,
            up_to_date: false,
            waiting: VecDeque::new(),
            pending: Vec::new(),
            team: job.team,
            family,
            faults: JobFaults::default(),
            next_attempt_at: Instant(0),
            measured: MeasuredUsage::default(),
            known_since: now,
            wait_reason: None,
            preferred: preferred_data_centres(&job.spec.data_centres, options),
        }
    }

    /// Applies an operator's change of the job.
    pub(crate) fn apply_change(&mut self, now: Instant, spec: &JobSpec, options: &Options) {
        self.known_since = now;
        self.spec = spec.clone();
        self.preferred = preferred_data_centres(&spec.data_centres, options);
    }

    /// Returns the tasks that need an update for the ledger's newest state `job`.
    pub(crate) fn tasks_to_update(&self, dc: DcId, job: &Job) -> Vec<u32> {
        let tasks = (0_u32..).zip(job.tasks.iter().zip(&self.tasks));
        let needs_update = |index: u32, ledger: &Task, local: &LocalTask| {
            job.cancelled || index >= job.spec.tasks || !local.is_up_to_date(dc, ledger)
        };
        tasks
            .filter(|(index, (ledger, local))| needs_update(*index, ledger, local))
            .map(|(index, _)| index)
            .collect()
    }

    pub(crate) fn size(&self) -> Resources {
        self.spec.size
    }

    /// Returns the properties of the job that are stored with each allocation of its tasks.
    pub(crate) fn class(&self) -> Class {
        let JobSpec { priority, tolerance, .. } = self.spec;
        let is_service = self.is_service();
        Class {
            family: self.family,
            priority,
            is_service,
            may_delay: tolerance.delay && !is_service,
            may_evict: tolerance.evict,
        }
    }

    /// Records why the job's tasks do not run.
    pub(crate) fn set_wait_reason(&mut self, now: Instant, wait: WaitReason) {
        self.wait_reason = Some(TimedReason { at: now, reason: Reason::NotRunning(wait) });
    }

    pub(crate) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.spec.priority >= Priority::Urgent
    }

    /// Returns the number of data centres that precede `dc` for a task, or `None` if `dc` may
    /// not run it.
    ///
    /// The replicas of a service rotate over their data centres, so that the loss of one data
    /// centre ends only its share of the replicas. Batch work without declared data centres rotates
    /// as well.
    pub(crate) fn try_rank(&self, index: u32, dc: DcId) -> Option<u32> {
        let Some(preferred) = &self.preferred else { return Some(0) };
        let count = preferred.len();
        let position = preferred.iter().position(|it| *it == dc)?;
        let rotates = self.is_service() || self.spec.data_centres.is_empty();
        let first = if rotates { (index as usize + self.rotation()) % count } else { 0 };
        Some(((position + count - first) % count) as u32)
    }

    /// Returns the data centre that the job names first, where its data is assumed to be.
    pub(crate) fn try_first_choice(&self) -> Option<DcId> {
        let preferred = self.preferred.as_ref().filter(|_| !self.spec.data_centres.is_empty())?;
        preferred.first().copied()
    }

    /// Returns a rotation by job, so that single-task jobs do not all start in one data centre.
    fn rotation(&self) -> usize {
        if self.spec.data_centres.is_empty() { self.id.0 as usize } else { 0 }
    }
}

fn preferred_data_centres(names: &[Name], options: &Options) -> Option<Vec<DcId>> {
    let all = &options.data_centres;
    if all.is_empty() {
        return None;
    }
    if names.is_empty() {
        return Some((0..all.len()).map(|at| DcId(at as u16)).collect());
    }
    let position = |name: &Name| all.iter().position(|dc| dc.name == *name);
    Some(names.iter().filter_map(position).map(|at| DcId(at as u16)).collect())
}
