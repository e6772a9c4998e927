//! How a task ended.

/// How one incarnation of a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The task completed its work.
    Done,
    /// The task itself failed.
    Failed,
    /// The task was checkpointed and then stopped; the token identifies the checkpoint.
    Checkpointed(u64),
    /// The task was stopped without a checkpoint.
    Stopped,
    /// The worker stopped the task because its lease had expired.
    LeaseExpired,
    /// The task never ran: no worker had capacity for it for a long time, and its job allows
    /// refusal. Recorded by the holder, not reported by a worker.
    Refused,
    /// The worker is permanently lost, and it is unknown whether the task completed its work.
    Unknown,
}
