//! JSON of a worker.
//!
//! - `POST /v1/worker` with a [`CallJson`] returns a [`ReportJson`]. If the call has the last
//!   [`ReportVersionJson`] that its sender received, and the worker still knows the changes
//!   since, the report has only these changes; otherwise it is a full report.
//! - `GET /v1/worker/news?boot=B&version=V&wait_ms=M` returns 204 as soon as a task has ended
//!   since that version, and 304 if none has within `M` ms. It renews no lease and changes
//!   nothing.

use std::time::Duration;

use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, JobId, Order, OrderResult, RunningTask, TaskId, Usage,
    WorkerCall, WorkerReport,
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

/// An order; see [`Order`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum OrderJson {
    /// Starts an incarnation.
    Start {
        /// The incarnation to start.
        #[serde(flatten)]
        task: TaskJson,
        /// The resources that it gets.
        size: ResourcesJson,
        /// The checkpoint to resume from.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<u64>,
    },
    /// Stops an incarnation.
    Stop {
        /// The incarnation to stop.
        #[serde(flatten)]
        task: TaskJson,
    },
    /// Checkpoints an incarnation and then stops it.
    Checkpoint {
        /// The incarnation to checkpoint.
        #[serde(flatten)]
        task: TaskJson,
    },
    /// Limits the processors of an incarnation.
    Throttle {
        /// The incarnation to limit.
        #[serde(flatten)]
        task: TaskJson,
        /// The share of its processors, in thousandths.
        share: u32,
    },
    /// Drops an exit report.
    Acknowledge {
        /// The incarnation that ended.
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

/// The version of a worker's reports up to which the holder has received the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportVersionJson {
    /// A number that the worker's agent draws when it starts: versions of different starts
    /// cannot be compared.
    pub boot: u64,
    /// Grows with each change that the worker has to report.
    pub version: u64,
}

/// A holder's call; see [`WorkerCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallJson {
    /// The holder's epoch.
    pub epoch: u64,
    /// The duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// The last version that the sender received; absent to request a full report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<ReportVersionJson>,
    /// The orders, to be carried out in this order.
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

/// The result of an order; see [`OrderResult`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResultJson {
    /// Carried out.
    Done,
    /// Not enough free capacity; nothing was started.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The worker does not know the incarnation.
    Unknown,
    /// The task could not be started.
    Failed,
}

/// How a task ended; see [`Exit`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExitJson {
    /// The task did its work.
    Done,
    /// The task ended with an error.
    Failed,
    /// The task was checkpointed and stopped; the token names the checkpoint.
    Checkpointed(u64),
    /// The task was stopped without a checkpoint.
    Stopped,
    /// The worker ended the task because its lease expired.
    #[serde(rename = "lease-lapsed")]
    LeaseExpired,
    /// It is not known how the task ended.
    Unknown,
    /// The task never ran. Only holders record this; workers do not report it.
    Refused,
}

impl From<Exit> for ExitJson {
    fn from(exit: Exit) -> ExitJson {
        match exit {
            Exit::Done => ExitJson::Done,
            Exit::Failed => ExitJson::Failed,
            Exit::Checkpointed(token) => ExitJson::Checkpointed(token),
            Exit::Stopped => ExitJson::Stopped,
            Exit::LeaseExpired => ExitJson::LeaseExpired,
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
            ExitJson::LeaseExpired => Exit::LeaseExpired,
            ExitJson::Unknown => Exit::Unknown,
            ExitJson::Refused => Exit::Refused,
        }
    }
}

/// A running task.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RunningTaskJson {
    /// The task and its incarnation.
    #[serde(flatten)]
    pub task: TaskJson,
    /// The size that it was started with.
    pub size: ResourcesJson,
    /// The share of its processors that it may use, in thousandths; 1000 is not throttled.
    pub share: u32,
}

/// An exit report.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ExitReportJson {
    /// The task and its incarnation.
    #[serde(flatten)]
    pub task: TaskJson,
    /// How it ended.
    pub exit: ExitJson,
}

/// The measured resource usage of a task.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct UsageJson {
    /// The job's number.
    pub job: u32,
    /// The task's index.
    pub index: u32,
    /// The resources in use.
    pub used: ResourcesJson,
    /// The slowdown of the task, in thousandths: 1000 is no slowdown, 2000 takes twice as long.
    pub slowdown: u32,
}

/// A worker's response to a call; see [`WorkerReport`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportJson {
    /// The highest epoch that the worker has seen.
    pub epoch: u64,
    /// Whether the call was accepted.
    pub accepted: bool,
    /// The version that the reader has after applying this report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub now: Option<ReportVersionJson>,
    /// The version since which this report has the changes; absent for a full report. In a
    /// report of changes, a task that no longer runs is among `ended`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// The worker's total capacity; absent from a report of changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<ResourcesJson>,
    /// The results of the call's orders, in the same order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<OrderResultJson>,
    /// The running tasks, or those that have changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningTaskJson>,
    /// The exit reports that are not acknowledged yet, or the new ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<ExitReportJson>,
    /// The measured usage of tasks, or those values that have changed.
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

fn result_to_json(it: OrderResult) -> OrderResultJson {
    match it {
        OrderResult::Done => OrderResultJson::Done,
        OrderResult::NoCapacity => OrderResultJson::NoCapacity,
        OrderResult::Unknown => OrderResultJson::Unknown,
        OrderResult::Failed => OrderResultJson::Failed,
    }
}

fn result_from_json(it: OrderResultJson) -> OrderResult {
    match it {
        OrderResultJson::Done => OrderResult::Done,
        OrderResultJson::NoCapacity => OrderResult::NoCapacity,
        OrderResultJson::Unknown => OrderResult::Unknown,
        OrderResultJson::Failed => OrderResult::Failed,
    }
}

fn running_to_json(it: RunningTask) -> RunningTaskJson {
    let RunningTask { task, incarnation, size, share } = it;
    RunningTaskJson { task: TaskJson::new(task, incarnation), size: size.into(), share }
}

fn running_from_json(it: RunningTaskJson) -> RunningTask {
    let RunningTaskJson { task, size, share } = it;
    RunningTask { task: task.task(), incarnation: task.incarnation(), size: size.into(), share }
}

fn ended_to_json(it: ExitReport) -> ExitReportJson {
    let ExitReport { task, incarnation, exit } = it;
    ExitReportJson { task: TaskJson::new(task, incarnation), exit: exit.into() }
}

fn ended_from_json(it: ExitReportJson) -> ExitReport {
    let ExitReportJson { task, exit } = it;
    ExitReport { task: task.task(), incarnation: task.incarnation(), exit: exit.into() }
}

fn usage_to_json(it: Usage) -> UsageJson {
    let Usage { task, used, slowdown } = it;
    UsageJson { job: task.job.0, index: task.index, used: used.into(), slowdown }
}

fn usage_from_json(it: UsageJson) -> Usage {
    let UsageJson { job, index, used, slowdown } = it;
    Usage { task: TaskId { job: JobId(job), index }, used: used.into(), slowdown }
}
