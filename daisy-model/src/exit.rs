//! How a task ended.

/// How one incarnation of a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The task did its work.
    Done,
    /// The task ended with an error of its own.
    Failed,
    /// The task was checkpointed and then stopped; the token names its checkpoint.
    Checkpointed(u64),
    /// The task was stopped without a checkpoint.
    Stopped,
    /// The worker ended the task because its lease lapsed.
    LeaseLapsed,
    /// It never ran: it found no room for long, and its job may be refused. Said by the holder.
    Refused,
    /// The worker is gone for good, and whether the task did its work is unknown.
    Unknown,
}
