//! The state that the fold of the log comes to.

use daisy_model::{
    Arena, Change, DcId, Epoch, Exit, Generation, Incarnation, JobId, JobSpec, Name, Offset,
    Policy, Resources, SortedMap, TeamId, VmId, WorkClass,
};

/// A team and its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: Name,
    /// The most that its running tasks may take together.
    pub limit: Resources,
}

/// The holder of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// The entry VM.
    pub holder: VmId,
    /// Its fencing token.
    pub epoch: Epoch,
    /// Whether the holder has given the data centre up.
    pub released: bool,
}

/// Who may start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The data centre that checked the task out.
    pub dc: DcId,
    /// The epoch under which it did; a later holder of the same data centre inherits it.
    pub epoch: Epoch,
}

/// What the ledger knows of a task; where it runs at this moment is the holder's to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Nobody has it.
    Pending,
    /// A data centre has it, and it runs or is about to.
    Out(Owner),
    /// It will not run again.
    Ended(Exit),
}

/// A task as the ledger knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Pending, out or ended.
    pub state: TaskState,
    /// The last incarnation recorded; 0 before the first.
    pub incarnation: Incarnation,
    /// The worker of that incarnation, once recorded.
    pub vm: Option<VmId>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<u64>,
}

/// A service or batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// As declared, with accepted changes.
    pub spec: JobSpec,
    /// The team.
    pub team: TeamId,
    /// Whether operators cancelled it.
    pub cancelled: bool,
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The generation of the job's last change.
    pub generation: Generation,
}

/// What came of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// In force from the given generation on.
    Accepted(Generation),
    /// Nothing changed, for the reason given.
    Refused(Box<str>),
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditEntry {
    /// Where the change stands in the log.
    pub offset: Offset,
    /// Who, when and what.
    pub change: Change,
    /// What came of it.
    pub verdict: Verdict,
}

/// The fold of the log up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    /// The offset of the next record to fold.
    pub next: Offset,
    /// The generation of the last accepted change.
    pub generation: Generation,
    /// Teams in the order of creation.
    pub teams: Arena<TeamId, Team>,
    /// Jobs in the order of creation, ended ones included until compacted.
    pub jobs: Arena<JobId, Job>,
    /// Holders by data centre.
    pub holders: SortedMap<DcId, Holding>,
    /// VMs drained by operators.
    pub drained: Vec<Name>,
    /// Paused classes of work.
    pub paused: Vec<WorkClass>,
    /// The policy in force, and the generation that published it.
    pub policy: (Generation, Policy),
    /// The audit trail, oldest first, to a bound.
    pub audit: Vec<AuditEntry>,
}
