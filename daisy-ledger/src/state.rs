//! The state that the fold of the log comes to.

use daisy_model::{
    Arena, Change, DcId, Epoch, Exit, Generation, Incarnation, JobKind, JobSpec, Name, Offset,
    Policy, Priority, Resources, SortedMap, TaskId, TeamId, VmId, WorkClass,
};

use crate::{
    Intents, Jobs, Senders,
    snapshot::{Collector, CompleteSnapshot},
};

/// A team and its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: Name,
    /// The most that its running tasks may take together.
    pub limit: Resources,
    /// What its checked-out tasks take together.
    pub used: Resources,
    /// The part of that which tasks of services take.
    pub used_by_services: Resources,
}

/// The holder of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderClaim {
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
    CheckedOut(Owner),
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
    /// The last incarnation recorded as ended; the owner may only start the one after it.
    pub ended: Incarnation,
    /// The worker of that incarnation, once recorded.
    pub vm: Option<VmId>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<u64>,
    /// What the task was last checked out with, and takes while it is out.
    pub size: Resources,
    /// How often the task ended with an error of its own.
    pub failures: u8,
}

impl Task {
    /// A task that has never run.
    pub const NEW: Task = Task {
        state: TaskState::Pending,
        incarnation: Incarnation(0),
        ended: Incarnation(0),
        vm: None,
        checkpoint: None,
        size: Resources::ZERO,
        failures: 0,
    };

    /// The one incarnation that the task's owner may start.
    pub fn next_incarnation(&self) -> Incarnation {
        Incarnation(self.ended.0.saturating_add(1))
    }
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
    /// The tasks by index; after a change to fewer, those at `spec.tasks` and above go.
    pub tasks: Vec<Task>,
    /// The number of tasks that have not ended.
    pub open: u32,
    /// The generation of the job's last change.
    pub generation: Generation,
    /// What [`State::next`] became by the last entry that changed the job or one of its tasks.
    ///
    /// Who has seen the state at some `next` can pass over jobs that were touched no later.
    pub modified_before: Offset,
}

/// What came of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
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
    pub verdict: ChangeOutcome,
}

/// The generations up to which changes may be missing from the audit trail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditStart {
    /// For changes of jobs.
    pub jobs: Generation,
    /// For all other changes.
    pub others: Generation,
}

/// What the fold took no effect of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FoldCounters {
    /// Appends folded before, sent again by their sender.
    pub repeated: u64,
    /// Records under an epoch that is no longer in force.
    pub stale: u64,
    /// Parts of records that contradict the state, such as the exit of an ended incarnation.
    pub ignored: u64,
    /// Log entries that do not decode.
    pub corrupt: u64,
    /// Operators' changes that were refused.
    pub refused: u64,
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
    /// Jobs in the order of creation, finished ones included until compacted.
    pub jobs: Jobs,
    /// Holders by data centre.
    pub holders: SortedMap<DcId, HolderClaim>,
    /// VMs drained by operators, sorted.
    pub drained: Vec<Name>,
    /// Paused classes of work.
    pub paused: Vec<WorkClass>,
    /// The policy in force, and the generation that published it.
    pub policy: (Generation, Policy),
    /// The audit trail, oldest first, to a bound.
    pub audit: Vec<AuditEntry>,
    /// Where the audit trail begins.
    pub audit_start: AuditStart,
    /// The last append of each sender.
    pub senders: Senders,
    /// Announced non-idempotent requests.
    pub intents: Intents,
    /// The newest whole snapshot in the log.
    pub snapshot: Option<CompleteSnapshot>,
    /// Snapshots of which only the first parts are in the log.
    pub snapshots: Collector<()>,
    /// What took no effect.
    pub counts: FoldCounters,
}

impl State {
    /// The task, unless there is none or its job has been compacted away.
    pub fn task(&self, task: TaskId) -> Option<&Task> {
        self.jobs.task(task)
    }

    /// The team called `name`.
    pub fn team(&self, name: &Name) -> Option<(TeamId, &Team)> {
        self.teams.iter().find(|(_, team)| team.name == *name)
    }

    /// Whether work of a job is paused by operators.
    pub fn is_paused(&self, kind: JobKind, priority: Priority) -> bool {
        let batch = kind == JobKind::Batch;
        self.paused.iter().any(|class| match class {
            WorkClass::Batch => batch,
            WorkClass::Priority(it) => *it == priority,
        })
    }

    /// Whether operators have drained the VM called `name`.
    pub fn is_drained(&self, name: &Name) -> bool {
        self.drained.binary_search(name).is_ok()
    }

    /// Whether `epoch` is in force in `dc`.
    pub fn holds(&self, dc: DcId, epoch: Epoch) -> bool {
        self.holders.get(&dc).is_some_and(|it| it.epoch == epoch && !it.released)
    }
}
