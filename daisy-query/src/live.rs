//! What runs now, as the process that answers knows it.

use std::time::Duration;

use daisy_model::{
    DcId, Incarnation, JobId, Name, Resources, SortedMap, TaskId, Vm, VmId, WallTime,
};

/// What runs now, as the process that answers knows it; parts that it does not know are left
/// out, and answers then say so.
#[derive(Debug, Clone, Default)]
pub struct LiveView {
    /// Names of data centres, by [`DcId`].
    pub dcs: Vec<Name>,
    /// The platform's VM list.
    pub vms: SortedMap<VmId, Vm>,
    /// Tasks that workers report.
    pub tasks: SortedMap<TaskId, LiveTask>,
    /// Workers.
    pub workers: SortedMap<VmId, LiveWorker>,
    /// Why things are as they are, oldest first.
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
    pub since: Duration,
}

/// A worker as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveWorker {
    /// What it holds in all.
    pub capacity: Resources,
    /// What is not taken.
    pub free: Resources,
    /// How many tasks run on it.
    pub tasks: u32,
    /// Whether it takes new tasks.
    pub state: WorkerState,
}

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// The platform takes it away, or operators drain it.
    Leaving,
    /// It fails what it starts and is tried again later.
    Quarantined,
    /// It does not answer; what it may run is blocked until it does.
    Silent,
}

/// What a decision was about.
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

/// A decision and its cause, in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// When it was taken.
    pub at: WallTime,
    /// What it was about.
    pub subject: Subject,
    /// What was decided, and why.
    pub text: Box<str>,
}

impl LiveView {
    /// The name of a data centre, or its number.
    pub(crate) fn dc(&self, dc: DcId) -> String {
        match self.dcs.get(usize::from(dc.0)) {
            Some(name) => name.to_string(),
            None => format!("dc {dc}"),
        }
    }

    /// The name of a VM, or its number.
    pub(crate) fn vm(&self, vm: VmId) -> String {
        match self.vms.get(&vm) {
            Some(vm) => vm.name.to_string(),
            None => format!("vm {vm}"),
        }
    }

    /// Whether a worker does not answer, so that what it may run can start nowhere else.
    pub(crate) fn is_silent(&self, vm: VmId) -> bool {
        self.workers.get(&vm).is_some_and(|it| it.state == WorkerState::Silent)
    }

    /// The VM called `name`.
    pub(crate) fn vm_by_name(&self, name: &Name) -> Option<&Vm> {
        self.vms.iter().map(|(_, vm)| vm).find(|vm| vm.name == *name)
    }

    /// Decisions about `subject`, oldest first.
    pub(crate) fn reasons_of(&self, subject: &Subject) -> impl DoubleEndedIterator<Item = &Reason> {
        self.reasons.iter().filter(move |it| it.subject == *subject)
    }
}
