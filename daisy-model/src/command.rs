//! What operators may change.

use crate::{Generation, JobKind, JobSpec, Name, PolicyChange, Priority, Resources, WallTime};

/// A class of work that can be paused as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// All batch work.
    Batch,
    /// Work of one priority.
    Priority(Priority),
}

/// One change of the declared state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Creates a service or batch job.
    Create(JobSpec),
    /// Changes parts of a job; absent parts stay as they are.
    Change {
        /// Service or batch, as the statement said.
        kind: JobKind,
        /// The job to change.
        job: Name,
        /// New number of tasks.
        tasks: Option<u32>,
        /// New priority.
        priority: Option<Priority>,
        /// New size of tasks started from now on.
        size: Option<Resources>,
    },
    /// Cancels a job; its tasks are stopped.
    Cancel {
        /// Service or batch, as the statement said.
        kind: JobKind,
        /// The job to cancel.
        job: Name,
    },
    /// Sets what a team's running tasks may take together; creates the team.
    Quota {
        /// The team.
        team: Name,
        /// The most that its running tasks may take.
        limit: Resources,
    },
    /// Nothing new goes to a VM, and what may be evicted leaves it.
    Drain {
        /// The VM by name.
        vm: Name,
    },
    /// Takes a drain back.
    Undrain {
        /// The VM by name.
        vm: Name,
    },
    /// Starts nothing of a class until it is resumed.
    Pause(WorkClass),
    /// Takes a pause back.
    Resume(WorkClass),
    /// Publishes a policy; parts that are not named stay as they are.
    Publish(PolicyChange),
}

/// What must hold for a change to be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Condition {
    /// The generation that the operator saw.
    pub generation: Generation,
}

/// An operator's change on its way to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The operator's name, from the token that was shown.
    pub who: Name,
    /// When the entry VM took the statement, for the audit trail.
    pub at: WallTime,
    /// The statement as written.
    pub text: Box<str>,
    /// What it means.
    pub command: Command,
    /// `if generation N`.
    pub condition: Option<Condition>,
}
