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
    /// A job that has not ended has the name.
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
        /// What the job is.
        kind: JobKind,
    },
    /// The job is cancelled or has ended.
    #[error("job {0} has ended")]
    Over(Name),
    /// A job has no tasks or too many.
    #[error("a job has 1 to {max} tasks, not {found}", max = State::MAX_TASKS)]
    Tasks {
        /// The number declared.
        found: u32,
    },
    /// All jobs together would have too many tasks.
    #[error("more than {} tasks would be waiting or running", State::MAX_OPEN_TASKS)]
    Full,
    /// A task takes nothing.
    #[error("a task takes at least 1m of processor and 1Mi of memory")]
    NoSize,
    /// The sizes of all tasks together overflow.
    #[error("{tasks} tasks of {size} are more than can be counted")]
    Overflow {
        /// The number of tasks.
        tasks: u32,
        /// The size of each.
        size: Resources,
    },
    /// What must run at one time is more than the team's quota.
    #[error("needs {needed} at one time; the quota of team {team} is {limit}")]
    Quota {
        /// The team.
        team: Name,
        /// What must run at one time.
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
        /// The generation that the loser had seen.
        seen: Generation,
        /// Who came first.
        who: Name,
        /// The statement that came first.
        text: Box<str>,
        /// The generation that it made.
        generation: Generation,
    },
    /// The generation named has not been reached.
    #[error("generation {seen} is not reached; the newest is {newest}")]
    Future {
        /// The generation named.
        seen: Generation,
        /// The newest generation.
        newest: Generation,
    },
    /// The audit trail does not reach back to the generation named.
    #[error("generation {seen} is too old to check; the audit trail begins after {oldest}")]
    TooOld {
        /// The generation named.
        seen: Generation,
        /// The last generation before the audit trail.
        oldest: Generation,
    },
    /// The statement is too long for the audit trail.
    #[error("a statement has at most {} bytes", State::MAX_TEXT)]
    TooLong,
    /// There is nothing to take back.
    #[error("{0} is not in force")]
    NotInForce(Box<str>),
    /// A list of declared things is full.
    #[error("no more than {max} {what}")]
    TooMany {
        /// What there would be too many of.
        what: &'static str,
        /// The most.
        max: usize,
    },
    /// A field of a policy is out of range.
    #[error("policy {field}: {reason}")]
    Policy {
        /// The field.
        field: &'static str,
        /// What it must be.
        reason: &'static str,
    },
}
