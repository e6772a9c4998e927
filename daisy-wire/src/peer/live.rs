//! A holder's view of its data centre, for operators whose statements reach another entry VM.

use std::time::Duration;

use bincode::{Decode, Encode};
use daisy_model::{Incarnation, JobId, Resources, TaskId, VmId, WallTime};
use daisy_query::{LiveTask, LiveView, LiveWorker, Reason, Subject, WorkerState};

/// A task: the job's number and the task's index.
type TaskWire = (u32, u32);
/// Processors in thousandths of a core, memory in MiB, and accelerators.
type SizeWire = (u32, u32, u32);

/// See [`LiveView`]. Data centre names and the VM list are left out, since every entry VM has
/// them.
#[derive(Debug, Encode, Decode)]
pub struct LiveViewWire {
    tasks: Vec<LiveTaskWire>,
    workers: Vec<LiveWorkerWire>,
    reasons: Vec<ReasonWire>,
}

/// See [`LiveTask`].
#[derive(Debug, Encode, Decode)]
pub struct LiveTaskWire {
    task: TaskWire,
    incarnation: u32,
    vm: u32,
    share: u32,
    since_ms: u64,
}

/// See [`LiveWorker`].
#[derive(Debug, Encode, Decode)]
pub struct LiveWorkerWire {
    vm: u32,
    capacity: SizeWire,
    free: SizeWire,
    tasks: u32,
    state: WorkerStateWire,
}

/// See [`WorkerState`].
#[derive(Debug, Encode, Decode)]
pub enum WorkerStateWire {
    /// See [`WorkerState::Ready`].
    Ready,
    /// See [`WorkerState::Leaving`].
    Leaving,
    /// See [`WorkerState::Quarantined`].
    Quarantined,
    /// See [`WorkerState::Unresponsive`].
    Unresponsive,
}

/// See [`Subject`].
#[derive(Debug, Encode, Decode)]
pub enum SubjectWire {
    /// See [`Subject::Task`].
    Task(TaskWire),
    /// See [`Subject::Job`].
    Job(u32),
    /// See [`Subject::Vm`].
    Vm(u32),
    /// See [`Subject::RequestClass`].
    RequestClass(String),
}

/// See [`Reason`].
#[derive(Debug, Encode, Decode)]
pub struct ReasonWire {
    at: u64,
    subject: SubjectWire,
    text: String,
}

impl From<&LiveView> for LiveViewWire {
    fn from(live: &LiveView) -> LiveViewWire {
        let task = |(task, it): (&TaskId, &LiveTask)| LiveTaskWire {
            task: task_to_wire(*task),
            incarnation: it.incarnation.0,
            vm: it.vm.0,
            share: it.share,
            since_ms: u64::try_from(it.run_time.as_millis()).unwrap_or(u64::MAX),
        };
        let worker = |(vm, it): (&VmId, &LiveWorker)| LiveWorkerWire {
            vm: vm.0,
            capacity: size_to_wire(it.capacity),
            free: size_to_wire(it.free),
            tasks: it.tasks,
            state: it.state.into(),
        };
        LiveViewWire {
            tasks: live.tasks.iter().map(task).collect(),
            workers: live.workers.iter().map(worker).collect(),
            reasons: live.reasons.iter().map(ReasonWire::from).collect(),
        }
    }
}

impl From<LiveViewWire> for LiveView {
    fn from(live: LiveViewWire) -> LiveView {
        let task = |it: LiveTaskWire| {
            let (incarnation, vm) = (Incarnation(it.incarnation), VmId(it.vm));
            let run_time = Duration::from_millis(it.since_ms);
            (task_from_wire(it.task), LiveTask { incarnation, vm, share: it.share, run_time })
        };
        let worker = |it: LiveWorkerWire| {
            let (capacity, free) = (size_from_wire(it.capacity), size_from_wire(it.free));
            let state = it.state.into();
            (VmId(it.vm), LiveWorker { capacity, free, tasks: it.tasks, state })
        };
        LiveView {
            tasks: live.tasks.into_iter().map(task).collect(),
            workers: live.workers.into_iter().map(worker).collect(),
            reasons: live.reasons.into_iter().map(Reason::from).collect(),
            ..LiveView::default()
        }
    }
}

impl From<WorkerState> for WorkerStateWire {
    fn from(state: WorkerState) -> WorkerStateWire {
        match state {
            WorkerState::Ready => WorkerStateWire::Ready,
            WorkerState::Leaving => WorkerStateWire::Leaving,
            WorkerState::Quarantined => WorkerStateWire::Quarantined,
            WorkerState::Unresponsive => WorkerStateWire::Unresponsive,
        }
    }
}

impl From<WorkerStateWire> for WorkerState {
    fn from(state: WorkerStateWire) -> WorkerState {
        match state {
            WorkerStateWire::Ready => WorkerState::Ready,
            WorkerStateWire::Leaving => WorkerState::Leaving,
            WorkerStateWire::Quarantined => WorkerState::Quarantined,
            WorkerStateWire::Unresponsive => WorkerState::Unresponsive,
        }
    }
}

impl From<&Reason> for ReasonWire {
    fn from(reason: &Reason) -> ReasonWire {
        let subject = match &reason.subject {
            Subject::Task(task) => SubjectWire::Task(task_to_wire(*task)),
            Subject::Job(job) => SubjectWire::Job(job.0),
            Subject::Vm(vm) => SubjectWire::Vm(vm.0),
            Subject::RequestClass(class) => SubjectWire::RequestClass(class.to_string()),
        };
        ReasonWire { at: reason.at.0, subject, text: reason.text.to_string() }
    }
}

impl From<ReasonWire> for Reason {
    fn from(reason: ReasonWire) -> Reason {
        let subject = match reason.subject {
            SubjectWire::Task(task) => Subject::Task(task_from_wire(task)),
            SubjectWire::Job(job) => Subject::Job(JobId(job)),
            SubjectWire::Vm(vm) => Subject::Vm(VmId(vm)),
            SubjectWire::RequestClass(class) => Subject::RequestClass(class.into()),
        };
        Reason { at: WallTime(reason.at), subject, text: reason.text.into() }
    }
}

fn task_to_wire(task: TaskId) -> TaskWire {
    (task.job.0, task.index)
}

fn task_from_wire((job, index): TaskWire) -> TaskId {
    TaskId { job: JobId(job), index }
}

fn size_to_wire(it: Resources) -> SizeWire {
    (it.cpu_milli, it.memory_mib, it.accelerators)
}

fn size_from_wire((cpu_milli, memory_mib, accelerators): SizeWire) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators }
}
