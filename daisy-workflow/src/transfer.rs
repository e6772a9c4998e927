//! Single tasks that change the shard that runs them.
//!
//! A task that is to run until its job is cancelled may find no room in its shard for as long as
//! the others there last, while another shard has much. It alone is then handed to that shard. Each
//! hand-over of a task has a number, one higher than the one before, so that a shard can tell from
//! its own records, read in any order, whether it runs the task: it does if the newest hop that it
//! knows of brought the task there.

use crate::{JobSpec, ShardId, TaskState};

/// A hand-over as the shard records it that gives the task away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingTransfer {
    /// Counts the hand-overs of the task, from 1.
    pub number: u32,
    /// The shard that runs the task from then on.
    pub to: ShardId,
}

/// A hand-over as the shard reads it that is given the task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingTransfer {
    /// The number of the hop.
    pub hop: u32,
    /// The task's job.
    pub spec: JobSpec,
    /// The highest number of a start of the task so far: those that follow are higher.
    pub runs: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a shard knows of a task that has changed its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferState {
    /// The number of the newest hop.
    pub hop: u32,
    /// Where the task was handed to; `None` if it was handed to this shard.
    pub to: Option<ShardId>,
    /// The task as it came, if it came here.
    pub(crate) received: TaskState,
}

impl From<OutgoingTransfer> for TransferState {
    fn from(hop: OutgoingTransfer) -> TransferState {
        TransferState { hop: hop.number, to: Some(hop.to), received: TaskState::default() }
    }
}

impl From<IncomingTransfer> for TransferState {
    fn from(it: IncomingTransfer) -> TransferState {
        let IncomingTransfer { hop, runs, failures, checkpoint, .. } = it;
        let received = TaskState { runs, failures, checkpoint, ..TaskState::default() };
        TransferState { hop, to: None, received }
    }
}
