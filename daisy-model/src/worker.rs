//! The calls of a data centre's holder to a worker, and the worker's reports.

use std::time::Duration;

use crate::{Epoch, Exit, Incarnation, Resources, TaskId};

/// An order to a worker; carried out only if the epoch of its call is not stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Starts an incarnation; a worker starts each incarnation at most once.
    Start {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The resources that the task uses on the worker.
        size: Resources,
        /// The token of the checkpoint to resume from.
        checkpoint: Option<u64>,
    },
    /// Stops an incarnation without a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Checkpoints an incarnation and then stops it.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Limits an incarnation to a share of its processors.
    Throttle {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The share in thousandths; 1000 removes the limit.
        share: u32,
    },
    /// Acknowledges the exit report of an incarnation, so that the worker can delete it.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// A call of the holder to a worker.
///
/// Each call renews the leases of all tasks that run on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCall {
    /// The holder's fencing token; the worker rejects a token lower than the highest it has seen.
    pub epoch: Epoch,
    /// How long the tasks of the worker may continue without another call.
    pub lease: Duration,
    /// The orders, carried out in this order.
    pub orders: Vec<Order>,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was carried out, now or earlier.
    Done,
    /// The worker has no capacity for the task; nothing was started.
    NoCapacity,
    /// The worker does not know the incarnation.
    Unknown,
    /// The worker could not start the task; nothing runs.
    Failed,
}

/// A running task in the report of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The size with which it was started.
    pub size: Resources,
    /// The share of its processors that it may use, in thousandths.
    pub share: u32,
}

/// An exit report, which the worker keeps until it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExitReport {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How it ended.
    pub exit: Exit,
}

/// The measured resource use of a task; some seconds old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// The task.
    pub task: TaskId,
    /// Processors and memory in use.
    pub used: Resources,
    /// The slowdown in thousandths: 1000 is full speed, 2000 means twice the run time.
    pub slowdown: u32,
}

/// A worker's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the call's epoch was accepted; if not, nothing was carried out.
    pub accepted: bool,
    /// The total capacity of the worker.
    pub capacity: Resources,
    /// The results of the orders, in the order of the call.
    pub results: Vec<OrderResult>,
    /// All tasks that run after the orders were carried out.
    pub running: Vec<RunningTask>,
    /// All exit reports that have not been acknowledged.
    pub ended: Vec<ExitReport>,
    /// The measured resource use of tasks, some seconds old.
    pub usage: Vec<Usage>,
}
