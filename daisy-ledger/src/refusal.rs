//! Why operators' changes are refused.

use daisy_model::{Generation, JobId, JobKind, Name, Resources};

use crate::State;

/// Why a change was refused; the state stays as it was.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No team has the name.
    #[error("team {0} is unknown; create it with a quota first")]
    UnknownTeam(Name),
    /// No job has the name.
    #[error("job {0} is unknown")]
    UnknownJob(Name),
    /// Another job that has not ended has the name.
    #[error("job {name} exists already, as number {job}")]
    Duplicate {
        /// The name.
        name: Name,
        /// The job that has it.
        job: JobId,
    },
    /// The statement says service and the job is batch, or the other way round.
    #[error("job {name} is a {} job", match .kind { JobKind::Service => "service", JobKind::Batch => "batch" })]
    WrongKind {
        /// The name.
        name: Name,
        /// The kind of the job.
        kind: JobKind,
    },
    /// The job was cancelled or has ended.
    #[error("job {0} has ended")]
    JobEnded(Name),
    /// The job would have no tasks or too many.
    #[error("a job has 1 to {max} tasks, not {found}", max = State::MAX_TASKS)]
    TaskCount {
        /// The number declared.
        found: u32,
    },
    /// All jobs together would have too many tasks.
    #[error("more than {} tasks would be waiting or running", State::MAX_OPEN_TASKS)]
    TooManyOpenTasks,
    /// The size of a task has no processor time or no memory.
    #[error("a task takes at least 1m of processor and 1Mi of memory")]
    ZeroSize,
    /// The sizes of all tasks together overflow.
    #[error("{tasks} tasks of {size} are more than can be counted")]
    Overflow {
        /// The number of tasks.
        tasks: u32,
        /// The size of each.
        size: Resources,
    },
    /// The tasks that must run at the same time need more than the team's quota.
    #[error("needs {needed} at one time; the quota of team {team} is {limit}")]
    Quota {
        /// The team.
        team: Name,
        /// What these tasks need.
        needed: Resources,
        /// The quota.
        limit: Resources,
    },
    /// Another change of the same subject came first.
    #[error(
        "{subject} was changed after generation {seen}: at generation {generation}, {who} said: {text}"
    )]
    Conflict {
        /// What was changed.
        subject: Box<str>,
        /// The generation named in the refused statement.
        seen: Generation,
        /// The operator whose statement came first.
        who: Name,
        /// The statement that came first.
        text: Box<str>,
        /// The generation of that statement.
        generation: Generation,
    },
    /// The generation named has not been reached.
    #[error("generation {seen} is not reached; the newest is {newest}")]
    GenerationNotReached {
        /// The generation named.
        seen: Generation,
        /// The newest generation.
        newest: Generation,
    },
    /// The audit trail does not reach back to the generation named.
    #[error("generation {seen} is too old to check; the audit trail begins after {oldest}")]
    GenerationTooOld {
        /// The generation named.
        seen: Generation,
        /// The last generation before the audit trail.
        oldest: Generation,
    },
    /// The statement is too long for the audit trail.
    #[error("a statement has at most {} bytes", State::MAX_STATEMENT_BYTES)]
    StatementTooLong,
    /// The drain or pause to be undone is not in force.
    #[error("{0} is not in force")]
    NotInForce(Box<str>),
    /// The limit on the number of declared teams or drained VMs is reached.
    #[error("no more than {max} {what}")]
    LimitReached {
        /// What is limited.
        what: &'static str,
        /// The limit.
        max: usize,
    },
    /// A field of a policy is out of range.
    #[error("policy {field}: {reason}")]
    Policy {
        /// The field.
        field: &'static str,
        /// The values that are allowed.
        reason: &'static str,
    },
}
