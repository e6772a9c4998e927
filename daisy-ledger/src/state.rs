//! The state that results from folding the log.

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
    /// The most resources that its running tasks may use together.
    pub limit: Resources,
    /// The sum of the sizes of its checked-out tasks.
    pub used: Resources,
    /// The part of `used` that belongs to tasks of services.
    pub used_by_services: Resources,
}

/// The newest claim of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderClaim {
    /// The entry VM that made the claim.
    pub holder: VmId,
    /// The fencing token of the claim.
    pub epoch: Epoch,
    /// Whether the holder has released the data centre.
    pub released: bool,
}

/// The data centre that may start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The data centre that checked the task out.
    pub dc: DcId,
    /// The epoch of the checkout; a later holder of the same data centre takes the task over.
    pub epoch: Epoch,
}

/// The state of a task in the ledger; only the holder knows where the task runs at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Not checked out by any data centre.
    Pending,
    /// Checked out by a data centre: the task runs there or is about to.
    CheckedOut(Owner),
    /// Ended; the task will not run again.
    Ended(Exit),
}

/// A task as the ledger knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Whether the task is pending, checked out or ended.
    pub state: TaskState,
    /// The last incarnation recorded; 0 before the first.
    pub incarnation: Incarnation,
    /// The last incarnation recorded as ended; the owner may only start the one after it.
    pub ended: Incarnation,
    /// The worker of the last recorded incarnation, if a placement was recorded.
    pub vm: Option<VmId>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<u64>,
    /// The size with which the task was last checked out, in use while it is checked out.
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

    /// Returns the only incarnation that the task's owner may start.
    pub fn next_incarnation(&self) -> Incarnation {
        Incarnation(self.ended.0.saturating_add(1))
    }
}

/// A service or batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The declaration, including accepted changes.
    pub spec: JobSpec,
    /// The team.
    pub team: TeamId,
    /// Whether operators cancelled it.
    pub cancelled: bool,
    /// The tasks by index; after a change to fewer tasks, those from `spec.tasks` on are ended.
    pub tasks: Vec<Task>,
    /// The number of tasks that have not ended.
    pub open: u32,
    /// The generation of the job's last change.
    pub generation: Generation,
    /// The value of [`State::next`] after the last entry that changed the job or one of its tasks.
    ///
    /// A reader that last saw the state when its `next` was `n` can skip jobs whose value is at
    /// most `n`.
    pub modified_before: Offset,
}

/// The outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted; in force from the given generation on.
    Accepted(Generation),
    /// Refused for the given reason; nothing changed.
    Refused(Box<str>),
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditEntry {
    /// The offset of the change in the log.
    pub offset: Offset,
    /// The change, with its operator, time and statement.
    pub change: Change,
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
}

/// The generations up to which changes may be missing from the audit trail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditStart {
    /// For changes of jobs.
    pub jobs: Generation,
    /// For all other changes.
    pub others: Generation,
}

/// Counts of what the fold skipped, ignored or refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FoldCounters {
    /// Appends that had been folded before and were sent again by their sender.
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
    /// Jobs in the order of creation, including finished ones until they are compacted away.
    pub jobs: Jobs,
    /// The newest claim of each data centre.
    pub holders: SortedMap<DcId, HolderClaim>,
    /// VMs drained by operators, sorted.
    pub drained: Vec<Name>,
    /// Paused classes of work.
    pub paused: Vec<WorkClass>,
    /// The policy in force, and the generation that published it.
    pub policy: (Generation, Policy),
    /// The audit trail, oldest entry first, limited in length.
    pub audit: Vec<AuditEntry>,
    /// The generations from which the audit trail is complete.
    pub audit_start: AuditStart,
    /// The last append of each sender.
    pub senders: Senders,
    /// Non-idempotent requests that have been announced.
    pub intents: Intents,
    /// The newest complete snapshot in the log.
    pub snapshot: Option<CompleteSnapshot>,
    /// Snapshots of which only the first parts are in the log so far.
    pub snapshots: Collector<()>,
    /// Counts of what had no effect.
    pub counts: FoldCounters,
}

impl State {
    /// Returns the task, unless it does not exist or its job has been compacted away.
    pub fn task(&self, task: TaskId) -> Option<&Task> {
        self.jobs.task(task)
    }

    /// Returns the team called `name`.
    pub fn team(&self, name: &Name) -> Option<(TeamId, &Team)> {
        self.teams.iter().find(|(_, team)| team.name == *name)
    }

    /// Returns whether operators have paused work of this kind and priority.
    pub fn is_paused(&self, kind: JobKind, priority: Priority) -> bool {
        let batch = kind == JobKind::Batch;
        self.paused.iter().any(|class| match class {
            WorkClass::Batch => batch,
            WorkClass::Priority(it) => *it == priority,
        })
    }

    /// Returns whether operators have drained the VM called `name`.
    pub fn is_drained(&self, name: &Name) -> bool {
        self.drained.binary_search(name).is_ok()
    }

    /// Returns whether `epoch` is in force in `dc`: its claim is the newest and not released.
    pub fn is_epoch_in_force(&self, dc: DcId, epoch: Epoch) -> bool {
        self.holders.get(&dc).is_some_and(|it| it.epoch == epoch && !it.released)
    }
}
