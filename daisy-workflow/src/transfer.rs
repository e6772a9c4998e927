//! Transfers of single tasks between shards.
//!
//! A long-running task may find no capacity in its shard for as long as the other long-running
//! tasks there run, while another shard has plenty. That task alone is then transferred to the
//! other shard. The transfers of a task are numbered, each one higher than the one before, so that
//! a shard can tell from its own records, read in any order, whether it runs the task: it does if
//! the newest transfer that it knows of brought the task there.

use crate::{JobSpec, ShardId, TaskState};

/// A transfer as recorded by the shard that gives the task away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingTransfer {
    /// The number of the transfer; a task's transfers are counted from 1.
    pub number: u32,
    /// The shard that runs the task after the transfer.
    pub to: ShardId,
}

/// A transfer as read by the shard that receives the task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingTransfer {
    /// The number of the transfer.
    pub number: u32,
    /// The task's job.
    pub spec: JobSpec,
    /// The highest run number of the task so far; later runs get higher numbers.
    pub runs: u32,
    /// The number of failed runs.
    pub failures: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a shard knows of a task that was transferred.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferState {
    /// The number of the newest transfer.
    pub number: u32,
    /// The shard that the task was transferred to; `None` for this shard.
    pub to: Option<ShardId>,
    /// The state of the task on arrival, if it was transferred to this shard.
    pub(crate) received: TaskState,
}

impl From<OutgoingTransfer> for TransferState {
    fn from(it: OutgoingTransfer) -> TransferState {
        TransferState { number: it.number, to: Some(it.to), received: TaskState::default() }
    }
}

impl From<IncomingTransfer> for TransferState {
    fn from(it: IncomingTransfer) -> TransferState {
        let IncomingTransfer { number, runs, failures, checkpoint, .. } = it;
        let received = TaskState { runs, failures, checkpoint, ..TaskState::default() };
        TransferState { number, to: None, received }
    }
}
