//! Changes that operators can make.

use crate::{Generation, JobKind, JobSpec, Name, PolicyChange, Priority, Resources, WallTime};

/// A class of work that can be paused as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// All batch work.
    Batch,
    /// All work of one priority.
    Priority(Priority),
}

/// One change of the declared state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Creates a service or batch job.
    Create(JobSpec),
    /// Changes parts of a job; absent parts stay unchanged.
    Change {
        /// Service or batch, as the statement said.
        kind: JobKind,
        /// The job to change.
        job: Name,
        /// The new number of tasks.
        tasks: Option<u32>,
        /// The new priority.
        priority: Option<Priority>,
        /// The new size of tasks that are started from now on.
        size: Option<Resources>,
    },
    /// Cancels a job; its tasks are stopped.
    Cancel {
        /// Service or batch, as the statement said.
        kind: JobKind,
        /// The job to cancel.
        job: Name,
    },
    /// Sets the quota of a team, and creates the team if it does not exist.
    Quota {
        /// The team.
        team: Name,
        /// The most resources that its running tasks may use together.
        limit: Resources,
    },
    /// Starts no further tasks on a VM, and moves evictable tasks away from it.
    Drain {
        /// The VM by name.
        vm: Name,
    },
    /// Ends the drain of a VM.
    Undrain {
        /// The VM by name.
        vm: Name,
    },
    /// Starts no tasks of a class until it is resumed.
    Pause(WorkClass),
    /// Ends the pause of a class.
    Resume(WorkClass),
    /// Publishes a policy; parts that are not named stay unchanged.
    Publish(PolicyChange),
}

/// A condition under which a change is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Condition {
    /// The generation that the operator saw: the subject must not have changed since.
    pub generation: Generation,
}

/// An operator's change, as it is appended to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The operator's name, from the token that was presented.
    pub who: Name,
    /// When the entry VM received the statement, for the audit trail.
    pub at: WallTime,
    /// The statement as the operator wrote it.
    pub text: Box<str>,
    /// The parsed statement.
    pub command: Command,
    /// The condition `if generation N` of the statement.
    pub condition: Option<Condition>,
}
