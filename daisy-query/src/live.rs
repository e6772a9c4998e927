//! The view of what runs now.

use std::time::Duration;

use daisy_model::{
    DcId, Incarnation, JobId, Name, Resources, SortedMap, TaskId, Vm, VmId, WallTime,
};

/// What runs now, as far as the answering process knows it. What it does not know is absent, and
/// answers say so.
#[derive(Debug, Clone, Default)]
pub struct LiveView {
    /// The names of data centres, indexed by [`DcId`].
    pub dcs: Vec<Name>,
    /// The platform's VM list.
    pub vms: SortedMap<VmId, Vm>,
    /// The tasks that workers report.
    pub tasks: SortedMap<TaskId, LiveTask>,
    /// The workers, as their holders see them.
    pub workers: SortedMap<VmId, LiveWorker>,
    /// Decisions about tasks, jobs, VMs and request classes, oldest first.
    pub reasons: Vec<Reason>,
}

/// A task that a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveTask {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The worker.
    pub vm: VmId,
    /// Its share of processors in thousandths; 1000 is not throttled.
    pub share: u32,
    /// How long it has run.
    pub run_time: Duration,
}

/// A worker as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveWorker {
    /// Its total capacity.
    pub capacity: Resources,
    /// The part of the capacity that is not allocated.
    pub free: Resources,
    /// The number of tasks that run on it.
    pub tasks: u32,
    /// Whether it accepts new tasks.
    pub state: WorkerState,
}

/// Whether a worker accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts new tasks.
    Ready,
    /// The platform is about to remove it, or operators drain it.
    Leaving,
    /// It is excluded, because it fails the tasks that it starts; it is tried again later.
    Quarantined,
    /// It does not answer. The tasks that it may still run are blocked until it does.
    Unresponsive,
}

/// The subject of a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A task.
    Task(TaskId),
    /// A job.
    Job(JobId),
    /// A VM.
    Vm(VmId),
    /// A class of requests.
    RequestClass(Box<str>),
}

/// A decision and its cause, as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// The time of the decision.
    pub at: WallTime,
    /// The subject of the decision.
    pub subject: Subject,
    /// What was decided, and why.
    pub text: Box<str>,
}

impl LiveView {
    /// Returns the name of a data centre, or its number if the name is unknown.
    pub(crate) fn dc(&self, dc: DcId) -> String {
        match self.dcs.get(usize::from(dc.0)) {
            Some(name) => name.to_string(),
            None => format!("dc {dc}"),
        }
    }

    /// Returns the name of a VM, or its number if the name is unknown.
    pub(crate) fn vm(&self, vm: VmId) -> String {
        match self.vms.get(&vm) {
            Some(vm) => vm.name.to_string(),
            None => format!("vm {vm}"),
        }
    }

    /// Returns whether a worker does not answer, so that the tasks that it may still run cannot be
    /// started elsewhere.
    pub(crate) fn is_unresponsive(&self, vm: VmId) -> bool {
        self.workers.get(&vm).is_some_and(|it| it.state == WorkerState::Unresponsive)
    }

    /// Returns the VM with the name `name`.
    pub(crate) fn vm_by_name(&self, name: &Name) -> Option<&Vm> {
        self.vms.iter().map(|(_, vm)| vm).find(|vm| vm.name == *name)
    }

    /// Returns the decisions about `subject`, oldest first.
    pub(crate) fn reasons_of(&self, subject: &Subject) -> impl DoubleEndedIterator<Item = &Reason> {
        self.reasons.iter().filter(move |it| it.subject == *subject)
    }
}
