//! What the holder of a data centre and a worker say to one another.

use std::time::Duration;

use crate::{Epoch, Exit, Incarnation, Resources, TaskId};

/// One order to a worker; carried out only under an epoch that is not stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Starts an incarnation; a worker starts each incarnation at most once.
    Start {
        /// The task.
        task: TaskId,
        /// Which start of the task this is.
        incarnation: Incarnation,
        /// What the task takes on the worker.
        size: Resources,
        /// The checkpoint to resume from.
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
        /// The share in thousandths; 1000 takes the limit away.
        share: u32,
    },
    /// Lets the worker forget the exit report of an incarnation.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
}

/// Everything that the holder says to a worker at one time.
///
/// One call renews the lease of all that runs on the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCall {
    /// The holder's fencing token; the worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// How long tasks of the worker may go on without another call.
    pub lease: Duration,
    /// Orders, carried out in turn.
    pub orders: Vec<Order>,
}

/// What came of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// Carried out, or had been before.
    Done,
    /// No room for the task; nothing was started.
    NoRoom,
    /// The worker does not know the incarnation.
    Unknown,
    /// The worker could not start the task; nothing runs.
    Failed,
}

/// A task that runs on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it was started with.
    pub size: Resources,
    /// Its share of processors, in thousandths.
    pub share: u32,
}

/// An exit report, kept by the worker until it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How it ended.
    pub exit: Exit,
}

/// Measured use of one task; lags behind the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// The task.
    pub task: TaskId,
    /// Processors and memory in use.
    pub used: Resources,
    /// Slowdown in thousandths: 1000 is undisturbed, 2000 takes twice as long.
    pub slowdown: u32,
}

/// A worker's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the call's epoch was accepted; if not, nothing was carried out.
    pub accepted: bool,
    /// What the worker holds in all.
    pub capacity: Resources,
    /// What came of each order, in the call's order.
    pub results: Vec<OrderResult>,
    /// All that runs after the orders.
    pub running: Vec<Running>,
    /// All exit reports that are not acknowledged.
    pub ended: Vec<Ended>,
    /// Measured use, from some seconds ago.
    pub usage: Vec<Usage>,
}
