//! What a holder knows of one job.

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
    /// The ledger's tasks as last looked at.
    pub last_ledger_tasks: Vec<Task>,
    /// The ledger's last change of the job.
    pub generation: Generation,
    /// Whether nothing is to be done while the ledger's tasks stay as they are.
    pub up_to_date: bool,
    /// Checked out and runs nowhere, in the order of their turn.
    pub waiting: VecDeque<u32>,
    /// Seen pending in the last fold.
    pub pending: Vec<u32>,
    pub team: TeamId,
    pub family: JobFamily,
    pub faults: JobFaults,
    /// Its waiting tasks are not looked at before.
    pub next_attempt_at: Instant,
    pub measured: MeasuredUsage,
    /// When this holder saw it first, or as it was last changed.
    pub known_since: Instant,
    /// Why its waiting and pending tasks wait.
    pub wait_reason: Option<TimedReason>,
    /// Allowed data centres by preference; `None` if there is only one to run in.
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
            preferred: preferred(&job.spec.data_centres, options),
        }
    }

    /// Takes an operator's change in.
    pub(crate) fn change(&mut self, now: Instant, spec: &JobSpec, options: &Options) {
        self.known_since = now;
        self.spec = spec.clone();
        self.preferred = preferred(&spec.data_centres, options);
    }

    /// The tasks that the ledger's newest word asks to be looked at.
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

    /// What a worker's room for one of its tasks is marked with.
    pub(crate) fn class(&self) -> Class {
        let JobSpec { priority, tolerance, .. } = self.spec;
        let service = self.is_service();
        Class {
            family: self.family,
            priority,
            service,
            delay: tolerance.delay && !service,
            evict: tolerance.evict,
        }
    }

    /// Notes why its tasks wait.
    pub(crate) fn set_wait_reason(&mut self, now: Instant, wait: WaitReason) {
        self.wait_reason = Some(TimedReason { at: now, reason: Reason::NotRunning(wait) });
    }

    pub(crate) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.spec.priority >= Priority::Urgent
    }

    /// How many data centres go before `dc` for a task, or `None` if `dc` may not run it.
    ///
    /// A service's replicas take their data centres in turn, so that one lost data centre
    /// takes only its share of them; so does batch work without a declared preference.
    pub(crate) fn try_rank(&self, index: u32, dc: DcId) -> Option<u32> {
        let Some(preferred) = &self.preferred else { return Some(0) };
        let count = preferred.len();
        let position = preferred.iter().position(|it| *it == dc)?;
        let in_turn = self.is_service() || self.spec.data_centres.is_empty();
        let first = if in_turn { (index as usize + self.rotation()) % count } else { 0 };
        Some(((position + count - first) % count) as u32)
    }

    /// The data centre that the job names first, where its data is taken to be.
    pub(crate) fn try_first_choice(&self) -> Option<DcId> {
        let preferred = self.preferred.as_ref().filter(|_| !self.spec.data_centres.is_empty())?;
        preferred.first().copied()
    }

    /// Shifts the turn by job, so that one-task jobs do not all start in one data centre.
    fn rotation(&self) -> usize {
        if self.spec.data_centres.is_empty() { self.id.0 as usize } else { 0 }
    }
}

fn preferred(names: &[Name], options: &Options) -> Option<Vec<DcId>> {
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
