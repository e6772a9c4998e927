//! JSON of a worker.
//!
//! - `POST /v1/worker` with a [`CallJson`]: a [`ReportJson`]. A call that tells what its
//!   sender has [`ReportVersionJson`] is answered with the changes since, if the worker still knows
//!   them, and else with everything.
//! - `GET /v1/worker/news?boot=B&version=V&wait_ms=M`: 204 as soon as a task has ended since
//!   that version, 304 if none has within `M` ms. It renews no lease and changes nothing.

use std::time::Duration;

use daisy_model::{
    Ended, Epoch, Exit, Incarnation, JobId, Order, OrderResult, Running, TaskId, Usage, WorkerCall,
    WorkerReport,
};
use serde::{Deserialize, Serialize};

use crate::platform::ResourcesJson;

/// A task and one of its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskJson {
    /// The job's number.
    pub job: u32,
    /// The task's index in its job.
    pub index: u32,
    /// The incarnation.
    pub incarnation: u32,
}

impl TaskJson {
    fn new(task: TaskId, incarnation: Incarnation) -> TaskJson {
        TaskJson { job: task.job.0, index: task.index, incarnation: incarnation.0 }
    }

    fn task(self) -> TaskId {
        TaskId { job: JobId(self.job), index: self.index }
    }

    fn incarnation(self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// One order; see [`Order`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum OrderJson {
    /// Starts an incarnation.
    Start {
        /// What to start.
        #[serde(flatten)]
        task: TaskJson,
        /// What it takes.
        size: ResourcesJson,
        /// The checkpoint to resume from.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<u64>,
    },
    /// Stops an incarnation.
    Stop {
        /// What to stop.
        #[serde(flatten)]
        task: TaskJson,
    },
    /// Checkpoints and stops an incarnation.
    Checkpoint {
        /// What to checkpoint.
        #[serde(flatten)]
        task: TaskJson,
    },
    /// Limits an incarnation's processors.
    Throttle {
        /// What to limit.
        #[serde(flatten)]
        task: TaskJson,
        /// Share in thousandths.
        share: u32,
    },
    /// Forgets an exit report.
    Acknowledge {
        /// Whose report.
        #[serde(flatten)]
        task: TaskJson,
    },
}

impl From<Order> for OrderJson {
    fn from(order: Order) -> OrderJson {
        match order {
            Order::Start { task, incarnation, size, checkpoint } => OrderJson::Start {
                task: TaskJson::new(task, incarnation),
                size: size.into(),
                checkpoint,
            },
            Order::Stop { task, incarnation } => {
                OrderJson::Stop { task: TaskJson::new(task, incarnation) }
            }
            Order::Checkpoint { task, incarnation } => {
                OrderJson::Checkpoint { task: TaskJson::new(task, incarnation) }
            }
            Order::Throttle { task, incarnation, share } => {
                OrderJson::Throttle { task: TaskJson::new(task, incarnation), share }
            }
            Order::Acknowledge { task, incarnation } => {
                OrderJson::Acknowledge { task: TaskJson::new(task, incarnation) }
            }
        }
    }
}

impl From<OrderJson> for Order {
    fn from(order: OrderJson) -> Order {
        match order {
            OrderJson::Start { task, size, checkpoint } => Order::Start {
                task: task.task(),
                incarnation: task.incarnation(),
                size: size.into(),
                checkpoint,
            },
            OrderJson::Stop { task } => {
                Order::Stop { task: task.task(), incarnation: task.incarnation() }
            }
            OrderJson::Checkpoint { task } => {
                Order::Checkpoint { task: task.task(), incarnation: task.incarnation() }
            }
            OrderJson::Throttle { task, share } => {
                Order::Throttle { task: task.task(), incarnation: task.incarnation(), share }
            }
            OrderJson::Acknowledge { task } => {
                Order::Acknowledge { task: task.task(), incarnation: task.incarnation() }
            }
        }
    }
}

/// How far a worker's reports have been taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportVersionJson {
    /// Drawn by the worker's agent when it starts: versions of two starts do not compare.
    pub boot: u64,
    /// Grows with each change of what the worker has to report.
    pub version: u64,
}

/// A holder's call; see [`WorkerCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallJson {
    /// The holder's epoch.
    pub epoch: u64,
    /// The lease in milliseconds.
    pub lease_ms: u64,
    /// What the sender has seen; absent for nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<ReportVersionJson>,
    /// Orders in turn.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<OrderJson>,
}

impl From<WorkerCall> for CallJson {
    fn from(call: WorkerCall) -> CallJson {
        CallJson {
            epoch: call.epoch.0,
            lease_ms: u64::try_from(call.lease.as_millis()).unwrap_or(u64::MAX),
            seen: None,
            orders: call.orders.into_iter().map(OrderJson::from).collect(),
        }
    }
}

impl From<CallJson> for WorkerCall {
    fn from(call: CallJson) -> WorkerCall {
        WorkerCall {
            epoch: Epoch(call.epoch),
            lease: Duration::from_millis(call.lease_ms),
            orders: call.orders.into_iter().map(Order::from).collect(),
        }
    }
}

/// What came of an order; see [`OrderResult`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResultJson {
    /// Carried out.
    Done,
    /// No room.
    NoRoom,
    /// Unknown incarnation.
    Unknown,
    /// Could not be started.
    Failed,
}

/// How a task ended; see [`Exit`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExitJson {
    /// Did its work.
    Done,
    /// Ended with an error.
    Failed,
    /// Checkpointed, with the token.
    Checkpointed(u64),
    /// Stopped.
    Stopped,
    /// Its lease lapsed.
    LeaseLapsed,
    /// Not known.
    Unknown,
    /// Never ran; no worker says so of itself.
    Refused,
}

impl From<Exit> for ExitJson {
    fn from(exit: Exit) -> ExitJson {
        match exit {
            Exit::Done => ExitJson::Done,
            Exit::Failed => ExitJson::Failed,
            Exit::Checkpointed(token) => ExitJson::Checkpointed(token),
            Exit::Stopped => ExitJson::Stopped,
            Exit::LeaseLapsed => ExitJson::LeaseLapsed,
            Exit::Unknown => ExitJson::Unknown,
            Exit::Refused => ExitJson::Refused,
        }
    }
}

impl From<ExitJson> for Exit {
    fn from(exit: ExitJson) -> Exit {
        match exit {
            ExitJson::Done => Exit::Done,
            ExitJson::Failed => Exit::Failed,
            ExitJson::Checkpointed(token) => Exit::Checkpointed(token),
            ExitJson::Stopped => Exit::Stopped,
            ExitJson::LeaseLapsed => Exit::LeaseLapsed,
            ExitJson::Unknown => Exit::Unknown,
            ExitJson::Refused => Exit::Refused,
        }
    }
}

/// A running task.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RunningJson {
    /// Which.
    #[serde(flatten)]
    pub task: TaskJson,
    /// What it was started with.
    pub size: ResourcesJson,
    /// Share in thousandths.
    pub share: u32,
}

/// An exit report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndedJson {
    /// Which.
    #[serde(flatten)]
    pub task: TaskJson,
    /// How.
    pub exit: ExitJson,
}

/// Measured use of a task.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct UsageJson {
    /// The job's number.
    pub job: u32,
    /// The task's index.
    pub index: u32,
    /// In use.
    pub used: ResourcesJson,
    /// Slowdown in thousandths.
    pub slowdown: u32,
}

/// A worker's answer; see [`WorkerReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportJson {
    /// The highest epoch seen.
    pub epoch: u64,
    /// Whether the call was accepted.
    pub accepted: bool,
    /// What this report brings its reader up to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub now: Option<ReportVersionJson>,
    /// The version that the report holds the changes since; absent if it holds everything.
    /// A task that no longer runs is then among `ended`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// What the worker holds; absent from a report of changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<ResourcesJson>,
    /// Results in the call's order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<ResultJson>,
    /// What runs, or has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningJson>,
    /// Exit reports not acknowledged, or new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndedJson>,
    /// Measured use, or what has changed of it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<UsageJson>,
}

impl From<WorkerReport> for ReportJson {
    fn from(report: WorkerReport) -> ReportJson {
        ReportJson {
            epoch: report.epoch.0,
            accepted: report.accepted,
            now: None,
            since: None,
            capacity: Some(report.capacity.into()),
            results: report.results.into_iter().map(result_to_json).collect(),
            running: report.running.into_iter().map(running_to_json).collect(),
            ended: report.ended.into_iter().map(ended_to_json).collect(),
            usage: report.usage.into_iter().map(usage_to_json).collect(),
        }
    }
}

impl From<ReportJson> for WorkerReport {
    fn from(report: ReportJson) -> WorkerReport {
        WorkerReport {
            epoch: Epoch(report.epoch),
            accepted: report.accepted,
            capacity: report.capacity.unwrap_or_default().into(),
            results: report.results.into_iter().map(result_from_json).collect(),
            running: report.running.into_iter().map(running_from_json).collect(),
            ended: report.ended.into_iter().map(ended_from_json).collect(),
            usage: report.usage.into_iter().map(usage_from_json).collect(),
        }
    }
}

fn result_to_json(it: OrderResult) -> ResultJson {
    match it {
        OrderResult::Done => ResultJson::Done,
        OrderResult::NoRoom => ResultJson::NoRoom,
        OrderResult::Unknown => ResultJson::Unknown,
        OrderResult::Failed => ResultJson::Failed,
    }
}

fn result_from_json(it: ResultJson) -> OrderResult {
    match it {
        ResultJson::Done => OrderResult::Done,
        ResultJson::NoRoom => OrderResult::NoRoom,
        ResultJson::Unknown => OrderResult::Unknown,
        ResultJson::Failed => OrderResult::Failed,
    }
}

fn running_to_json(it: Running) -> RunningJson {
    let Running { task, incarnation, size, share } = it;
    RunningJson { task: TaskJson::new(task, incarnation), size: size.into(), share }
}

fn running_from_json(it: RunningJson) -> Running {
    let RunningJson { task, size, share } = it;
    Running { task: task.task(), incarnation: task.incarnation(), size: size.into(), share }
}

fn ended_to_json(it: Ended) -> EndedJson {
    let Ended { task, incarnation, exit } = it;
    EndedJson { task: TaskJson::new(task, incarnation), exit: exit.into() }
}

fn ended_from_json(it: EndedJson) -> Ended {
    let EndedJson { task, exit } = it;
    Ended { task: task.task(), incarnation: task.incarnation(), exit: exit.into() }
}

fn usage_to_json(it: Usage) -> UsageJson {
    let Usage { task, used, slowdown } = it;
    UsageJson { job: task.job.0, index: task.index, used: used.into(), slowdown }
}

fn usage_from_json(it: UsageJson) -> Usage {
    let UsageJson { job, index, used, slowdown } = it;
    Usage { task: TaskId { job: JobId(job), index }, used: used.into(), slowdown }
}
