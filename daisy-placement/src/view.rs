//! The holder's state as plain data for `show` and `why`.

use std::time::Duration;

use daisy_model::{Incarnation, Instant, JobId, Name, Resources, TaskId, VmId};

use crate::{
    holder::Holder,
    place::FULL_SHARE,
    reason::{Reason, TimedReason},
    task::{LocalTask, Phase},
    worker::{Availability, Removal, Worker},
};

/// The state of a worker, as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It takes new work.
    Open,
    /// It has not answered under this epoch.
    NeverAnswered,
    /// It did not answer the last call.
    Unresponsive,
    /// It is leaving or drained.
    Draining,
    /// It is missing from the VM list.
    Unlisted,
    /// It is quarantined after failures.
    Quarantined,
}

/// A worker of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// The VM.
    pub vm: VmId,
    /// The VM's name.
    pub name: Name,
    /// The VM's rack.
    pub rack: u16,
    /// The worker's state.
    pub status: WorkerStatus,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its allocated capacity, including tasks whose start is not answered yet.
    pub allocated: Resources,
    /// The number of tasks with an allocation.
    pub tasks: usize,
    /// The lowest share of processors among its tasks, in thousandths.
    pub share: u32,
}

/// The state of a task, as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// It is checked out and runs nowhere yet.
    Waiting,
    /// Its start is on the way.
    Starting,
    /// It runs.
    Running,
    /// An earlier holder may have started it; it is blocked until that is known.
    Blocked,
    /// It ended; the ledger does not show it yet.
    Ending,
}

/// A task that is checked out by the data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// The task's state.
    pub status: TaskStatus,
    /// Its worker.
    pub vm: Option<VmId>,
    /// Its incarnation, or that of the last start if it does not run.
    pub incarnation: Incarnation,
    /// Since when it waits or is blocked.
    pub since: Option<Instant>,
    /// Its share of its processors, in thousandths.
    pub share: u32,
    /// The expected run time: measured on the job's tasks, or else as declared.
    pub run_time: Option<Duration>,
}

/// A running replica of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// The service.
    pub job: JobId,
    /// The replica's task.
    pub task: TaskId,
    /// Its worker.
    pub vm: VmId,
    /// Whether it is about to stop: it should get no new requests.
    pub leaving: bool,
}

impl Holder {
    /// Returns the workers of the data centre, ordered by VM.
    pub fn workers(&self) -> Vec<WorkerView> {
        self.roster.iter().map(|(_, worker)| worker_view(worker)).collect()
    }

    /// Returns the tasks that are checked out by the data centre, ordered by id, in any state.
    pub fn checked_out_tasks(&self) -> Vec<TaskView> {
        let tasks = self.jobs.iter().flat_map(|(id, job)| {
            let tasks = job.tasks.iter().enumerate();
            tasks.map(move |(index, local)| (TaskId { job: *id, index: index as u32 }, local))
        });
        tasks.filter_map(|(task, local)| self.try_task_view(task, local)).collect()
    }

    /// Returns the running replicas of all services, as targets for requests.
    pub fn replicas(&self) -> Vec<Replica> {
        let mut replicas = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.is_service()) {
            for (index, local) in job.tasks.iter().enumerate() {
                let Phase::Running { worker } = local.phase else { continue };
                let Some(worker) = self.roster.get(worker) else { continue };
                let task = TaskId { job: *id, index: index as u32 };
                let is_ending = worker
                    .allocations
                    .get(&task)
                    .is_some_and(|allocation| allocation.removal != Removal::NotPlanned);
                let leaving = is_ending || worker.leaving;
                replicas.push(Replica { job: *id, task, vm: worker.id, leaving });
            }
        }
        replicas
    }

    /// Returns the last reasons of a task, oldest first; empty if this holder has recorded none.
    pub fn reasons(&self, task: TaskId) -> Vec<TimedReason> {
        let Some(job) = self.jobs.get(&task.job) else { return self.retired_reasons(task) };
        let Some(local) = job.tasks.get(task.index as usize) else { return Vec::new() };
        let mut notes = local.notes.to_vec();
        let is_waiting = matches!(
            local.phase,
            Phase::Pending { .. } | Phase::CheckoutRequested { .. } | Phase::Waiting { .. }
        );
        if is_waiting {
            notes.extend(job.wait_reason.clone());
        }
        notes
    }

    fn retired_reasons(&self, task: TaskId) -> Vec<TimedReason> {
        let retired = self.retired.iter().rev().find(|(it, _)| *it == task);
        retired.map(|(_, notes)| notes.to_vec()).unwrap_or_default()
    }

    /// Returns why jobs have tasks that no data centre has checked out: paused, over their
    /// quota, another data centre first, or fitting on no worker, with the smallest shortfall.
    pub fn waiting_jobs(&self) -> Vec<(JobId, TimedReason)> {
        let jobs = self.jobs.iter().filter(|(_, job)| !job.pending.is_empty());
        jobs.filter_map(|(id, job)| Some((*id, job.wait_reason.clone()?))).collect()
    }

    /// Returns the last reasons of a VM, oldest first; empty if it is not a worker here.
    pub fn vm_reasons(&self, vm: VmId) -> Vec<TimedReason> {
        let worker = self.roster.try_key(vm).and_then(|key| self.roster.get(key));
        worker.map(|worker| worker.notes.to_vec()).unwrap_or_default()
    }

    pub(crate) fn note(&mut self, now: Instant, task: TaskId, reason: Reason) {
        if let Some(local) = self.local_mut(task) {
            local.notes.add(now, reason);
        }
    }

    fn try_task_view(&self, task: TaskId, local: &LocalTask) -> Option<TaskView> {
        let (status, since) = match local.phase {
            Phase::NotOurs
            | Phase::Pending { .. }
            | Phase::CheckoutRequested { .. }
            | Phase::Returned { .. } => return None,
            Phase::Waiting { since } => (TaskStatus::Waiting, Some(since)),
            Phase::Inherited { since } => (TaskStatus::Blocked, Some(since)),
            Phase::Starting { .. } => (TaskStatus::Starting, None),
            Phase::Running { .. } => (TaskStatus::Running, None),
            Phase::Ended { .. } => (TaskStatus::Ending, None),
        };
        let worker = local.try_worker().and_then(|key| self.roster.get(key));
        let allocation = worker.and_then(|worker| worker.allocations.get(&task));
        let share = allocation.map_or(FULL_SHARE, |allocation| allocation.share);
        let vm = worker.map(|worker| worker.id).or(local.try_recorded_vm());
        let job = self.jobs.get(&task.job)?;
        let run_time = job.measured.try_run_time(job.spec.run_time);
        let incarnation = local.incarnation;
        Some(TaskView { task, status, vm, incarnation, since, share, run_time })
    }
}

fn worker_view(worker: &Worker) -> WorkerView {
    let status = match worker.availability {
        Availability::Unlisted { .. } => WorkerStatus::Unlisted,
        _ if !worker.has_answered => WorkerStatus::NeverAnswered,
        _ if !worker.is_responsive => WorkerStatus::Unresponsive,
        Availability::Draining => WorkerStatus::Draining,
        _ if worker.faults.is_quarantined() => WorkerStatus::Quarantined,
        Availability::Live => WorkerStatus::Open,
    };
    let shares = worker.allocations.iter().map(|(_, allocation)| allocation.share);
    WorkerView {
        vm: worker.id,
        name: worker.name.clone(),
        rack: worker.rack,
        status,
        capacity: worker.capacity,
        allocated: worker.allocated,
        tasks: worker.allocations.len(),
        share: shares.min().unwrap_or(FULL_SHARE),
    }
}
