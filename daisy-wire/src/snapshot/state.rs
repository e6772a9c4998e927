//! The snapshot encoding of the state. Values that can be derived from others are left out.

use bincode::{Decode, Encode};
use daisy_ledger::{
    AppendId, AuditEntry, AuditStart, ChangeOutcome, FoldCounters, HolderClaim, Intent, Job, Jobs,
    Owner, State, Task, TaskState, Team,
    snapshot::{CompleteSnapshot, Part, PartialSnapshot},
};
use daisy_model::{
    Arena, Change, DcId, Epoch, Generation, Incarnation, JobId, JobKind, JobSpec, Name, Offset,
    Resources, TeamId, VmId, WorkClass,
};

use crate::{
    WireError,
    log::{
        ChangeWire, ExitWire, JobSpecWire, PolicyWire, ResourcesWire, WorkClassWire, parse_name,
    },
};

/// The complete state; see [`State`].
#[derive(Debug, Encode, Decode)]
pub struct StateWire {
    next: u64,
    generation: u64,
    teams: Vec<TeamWire>,
    next_job: u32,
    jobs: Vec<JobWire>,
    finished: Vec<u32>,
    holders: Vec<HolderClaimWire>,
    drained: Vec<String>,
    paused: Vec<WorkClassWire>,
    policy_generation: u64,
    policy: PolicyWire,
    audit: Vec<AuditEntryWire>,
    audit_from_jobs: u64,
    audit_from_others: u64,
    senders: Vec<SenderWire>,
    intents: Vec<IntentWire>,
    snapshot: Option<CompleteSnapshotWire>,
    snapshots: Vec<PartialSnapshotWire>,
    counts: FoldCountersWire,
}

/// A team's name and its limit.
#[derive(Debug, Encode, Decode)]
struct TeamWire(String, ResourcesWire);

#[derive(Debug, Encode, Decode)]
struct JobWire {
    id: u32,
    spec: JobSpecWire,
    team: u16,
    cancelled: bool,
    tasks: Vec<TaskWire>,
    generation: u64,
    modified_before: u64,
}

#[derive(Debug, Encode, Decode)]
struct TaskWire {
    state: TaskStateWire,
    incarnation: u32,
    ended: u32,
    vm: Option<u32>,
    checkpoint: Option<u64>,
    size: ResourcesWire,
    failures: u8,
}

#[derive(Debug, Encode, Decode)]
enum TaskStateWire {
    Pending,
    CheckedOut { dc: u16, epoch: u64 },
    Ended(ExitWire),
}

#[derive(Debug, Encode, Decode)]
struct HolderClaimWire {
    dc: u16,
    holder: u32,
    epoch: u64,
    released: bool,
}

#[derive(Debug, Encode, Decode)]
struct AuditEntryWire {
    offset: u64,
    change: ChangeWire,
    outcome: ChangeOutcomeWire,
}

#[derive(Debug, Encode, Decode)]
enum ChangeOutcomeWire {
    Accepted(u64),
    Refused(String),
}

#[derive(Debug, Encode, Decode)]
struct SenderWire {
    sender: u64,
    seq: u64,
    offset: u64,
}

#[derive(Debug, Encode, Decode)]
struct IntentWire {
    key: u128,
    offset: u64,
    position: u32,
    entry: u32,
}

#[derive(Debug, Encode, Decode)]
struct CompleteSnapshotWire {
    through: u64,
    last: u64,
}

#[derive(Debug, Encode, Decode)]
struct PartialSnapshotWire {
    sender: u64,
    through: u64,
    part: u32,
    parts: u32,
}

#[derive(Debug, Encode, Decode)]
struct FoldCountersWire {
    repeated: u64,
    stale: u64,
    ignored: u64,
    corrupt: u64,
    refused: u64,
}

impl From<&State> for StateWire {
    fn from(it: &State) -> StateWire {
        let FoldCounters { repeated, stale, ignored, corrupt, refused } = it.counts;
        StateWire {
            next: it.next.0,
            generation: it.generation.0,
            teams: it.teams.iter().map(|(_, team)| team.into()).collect(),
            next_job: it.jobs.next_id().0,
            jobs: it.jobs.iter().map(JobWire::from).collect(),
            finished: it.jobs.finished().map(|id| id.0).collect(),
            holders: it.holders.iter().map(|(&dc, &holding)| (dc, holding).into()).collect(),
            drained: it.drained.iter().map(Name::to_string).collect(),
            paused: it.paused.iter().map(|&class| class.into()).collect(),
            policy_generation: it.policy.0.0,
            policy: (&it.policy.1).into(),
            audit: it.audit.iter().map(AuditEntryWire::from).collect(),
            audit_from_jobs: it.audit_start.jobs.0,
            audit_from_others: it.audit_start.others.0,
            senders: it.senders.iter().map(SenderWire::from).collect(),
            intents: it.intents.iter().map(IntentWire::from).collect(),
            snapshot: it.snapshot.map(CompleteSnapshotWire::from),
            snapshots: it.snapshots.iter().map(PartialSnapshotWire::from).collect(),
            counts: FoldCountersWire { repeated, stale, ignored, corrupt, refused },
        }
    }
}

impl TryFrom<StateWire> for State {
    type Error = WireError;

    fn try_from(it: StateWire) -> Result<State, WireError> {
        let mut teams = teams_from(it.teams)?;
        let jobs = it.jobs.into_iter().map(|job| job_from(job, &mut teams));
        let jobs: Vec<(JobId, Job)> = jobs.collect::<Result<_, _>>()?;
        let finished = it.finished.into_iter().map(JobId);
        let FoldCountersWire { repeated, stale, ignored, corrupt, refused } = it.counts;
        Ok(State {
            next: Offset(it.next),
            generation: Generation(it.generation),
            teams,
            jobs: Jobs::from_parts(JobId(it.next_job), jobs, finished),
            holders: it.holders.into_iter().map(<(DcId, HolderClaim)>::from).collect(),
            drained: parse_names("drained", it.drained)?,
            paused: it.paused.into_iter().map(WorkClass::from).collect(),
            policy: (Generation(it.policy_generation), it.policy.into()),
            audit: it.audit.into_iter().map(AuditEntry::try_from).collect::<Result<_, _>>()?,
            audit_start: AuditStart {
                jobs: Generation(it.audit_from_jobs),
                others: Generation(it.audit_from_others),
            },
            senders: it.senders.into_iter().map(<(AppendId, Offset)>::from).collect(),
            intents: it.intents.into_iter().map(<(u128, Intent)>::from).collect(),
            snapshot: it.snapshot.map(CompleteSnapshot::from),
            snapshots: partials_from(it.snapshots)?.into_iter().collect(),
            counts: FoldCounters { repeated, stale, ignored, corrupt, refused },
        })
    }
}

fn parse_names(field: &'static str, texts: Vec<String>) -> Result<Vec<Name>, WireError> {
    texts.iter().map(|text| parse_name(field, text)).collect()
}

fn teams_from(wire: Vec<TeamWire>) -> Result<Arena<TeamId, Team>, WireError> {
    let mut teams = Arena::new();
    for TeamWire(text, limit) in wire {
        let name = parse_name("team", &text)?;
        let (used, used_by_services) = (Resources::ZERO, Resources::ZERO);
        teams.alloc(Team { name, limit: limit.into(), used, used_by_services });
    }
    Ok(teams)
}

/// Validates a job, and adds the sizes of its checked-out tasks to its team's usage.
fn job_from(it: JobWire, teams: &mut Arena<TeamId, Team>) -> Result<(JobId, Job), WireError> {
    let team_id = TeamId(it.team);
    let unknown_team =
        || WireError::Field { field: "team", reason: format!("{team_id} is unknown") };
    let overflow = || WireError::Field {
        field: "size",
        reason: "sum of the team's tasks overflows".to_owned(),
    };
    let team = teams.get_mut(team_id).ok_or_else(unknown_team)?;
    let spec = JobSpec::try_from(it.spec)?;
    let tasks: Vec<Task> = it.tasks.into_iter().map(Task::from).collect();
    let mut open = 0;
    for task in &tasks {
        match task.state {
            TaskState::Ended(_) => continue,
            TaskState::CheckedOut(_) => {
                team.used = team.used.try_add(task.size).ok_or_else(overflow)?;
                if spec.kind == JobKind::Service {
                    let sum = team.used_by_services.try_add(task.size);
                    team.used_by_services = sum.ok_or_else(overflow)?;
                }
            }
            TaskState::Pending => {}
        }
        open += 1;
    }
    let generation = Generation(it.generation);
    let job = Job {
        spec,
        team: team_id,
        cancelled: it.cancelled,
        tasks,
        open,
        generation,
        modified_before: Offset(it.modified_before),
    };
    Ok((JobId(it.id), job))
}

fn partials_from(wire: Vec<PartialSnapshotWire>) -> Result<Vec<PartialSnapshot<()>>, WireError> {
    wire.into_iter().map(PartialSnapshot::try_from).collect()
}

impl From<&Team> for TeamWire {
    fn from(it: &Team) -> TeamWire {
        TeamWire(it.name.to_string(), it.limit.into())
    }
}

impl From<(JobId, &Job)> for JobWire {
    fn from((id, it): (JobId, &Job)) -> JobWire {
        JobWire {
            id: id.0,
            spec: (&it.spec).into(),
            team: it.team.0,
            cancelled: it.cancelled,
            tasks: it.tasks.iter().map(TaskWire::from).collect(),
            generation: it.generation.0,
            modified_before: it.modified_before.0,
        }
    }
}

impl From<&Task> for TaskWire {
    fn from(it: &Task) -> TaskWire {
        TaskWire {
            state: match it.state {
                TaskState::Pending => TaskStateWire::Pending,
                TaskState::CheckedOut(Owner { dc, epoch }) => {
                    TaskStateWire::CheckedOut { dc: dc.0, epoch: epoch.0 }
                }
                TaskState::Ended(exit) => TaskStateWire::Ended(exit.into()),
            },
            incarnation: it.incarnation.0,
            ended: it.ended.0,
            vm: it.vm.map(|vm| vm.0),
            checkpoint: it.checkpoint,
            size: it.size.into(),
            failures: it.failures,
        }
    }
}

impl From<TaskWire> for Task {
    fn from(it: TaskWire) -> Task {
        Task {
            state: match it.state {
                TaskStateWire::Pending => TaskState::Pending,
                TaskStateWire::CheckedOut { dc, epoch } => {
                    TaskState::CheckedOut(Owner { dc: DcId(dc), epoch: Epoch(epoch) })
                }
                TaskStateWire::Ended(exit) => TaskState::Ended(exit.into()),
            },
            incarnation: Incarnation(it.incarnation),
            ended: Incarnation(it.ended),
            vm: it.vm.map(VmId),
            checkpoint: it.checkpoint,
            size: it.size.into(),
            failures: it.failures,
        }
    }
}

impl From<(DcId, HolderClaim)> for HolderClaimWire {
    fn from((dc, it): (DcId, HolderClaim)) -> HolderClaimWire {
        let HolderClaim { holder, epoch, released } = it;
        HolderClaimWire { dc: dc.0, holder: holder.0, epoch: epoch.0, released }
    }
}

impl From<HolderClaimWire> for (DcId, HolderClaim) {
    fn from(it: HolderClaimWire) -> (DcId, HolderClaim) {
        let HolderClaimWire { dc, holder, epoch, released } = it;
        (DcId(dc), HolderClaim { holder: VmId(holder), epoch: Epoch(epoch), released })
    }
}

impl From<&AuditEntry> for AuditEntryWire {
    fn from(it: &AuditEntry) -> AuditEntryWire {
        AuditEntryWire {
            offset: it.offset.0,
            change: (&it.change).into(),
            outcome: match &it.outcome {
                ChangeOutcome::Accepted(generation) => ChangeOutcomeWire::Accepted(generation.0),
                ChangeOutcome::Refused(cause) => ChangeOutcomeWire::Refused(cause.to_string()),
            },
        }
    }
}

impl TryFrom<AuditEntryWire> for AuditEntry {
    type Error = WireError;

    fn try_from(it: AuditEntryWire) -> Result<AuditEntry, WireError> {
        Ok(AuditEntry {
            offset: Offset(it.offset),
            change: Change::try_from(it.change)?,
            outcome: match it.outcome {
                ChangeOutcomeWire::Accepted(generation) => {
                    ChangeOutcome::Accepted(Generation(generation))
                }
                ChangeOutcomeWire::Refused(cause) => ChangeOutcome::Refused(cause.into()),
            },
        })
    }
}

impl From<(AppendId, Offset)> for SenderWire {
    fn from((id, offset): (AppendId, Offset)) -> SenderWire {
        SenderWire { sender: id.sender, seq: id.seq, offset: offset.0 }
    }
}

impl From<SenderWire> for (AppendId, Offset) {
    fn from(it: SenderWire) -> (AppendId, Offset) {
        (AppendId { sender: it.sender, seq: it.seq }, Offset(it.offset))
    }
}

impl From<(u128, Intent)> for IntentWire {
    fn from((key, it): (u128, Intent)) -> IntentWire {
        let Intent { offset, position, entry } = it;
        IntentWire { key, offset: offset.0, position, entry: entry.0 }
    }
}

impl From<IntentWire> for (u128, Intent) {
    fn from(it: IntentWire) -> (u128, Intent) {
        let IntentWire { key, offset, position, entry } = it;
        (key, Intent { offset: Offset(offset), position, entry: VmId(entry) })
    }
}

impl From<CompleteSnapshot> for CompleteSnapshotWire {
    fn from(it: CompleteSnapshot) -> CompleteSnapshotWire {
        CompleteSnapshotWire { through: it.through.0, last: it.last.0 }
    }
}

impl From<CompleteSnapshotWire> for CompleteSnapshot {
    fn from(it: CompleteSnapshotWire) -> CompleteSnapshot {
        CompleteSnapshot { through: Offset(it.through), last: Offset(it.last) }
    }
}

impl From<&PartialSnapshot<()>> for PartialSnapshotWire {
    fn from(it: &PartialSnapshot<()>) -> PartialSnapshotWire {
        let Part { sender, through, part, parts } = it.seen;
        PartialSnapshotWire { sender, through: through.0, part, parts }
    }
}

impl TryFrom<PartialSnapshotWire> for PartialSnapshot<()> {
    type Error = WireError;

    fn try_from(it: PartialSnapshotWire) -> Result<PartialSnapshot<()>, WireError> {
        let PartialSnapshotWire { sender, through, part, parts } = it;
        if part >= parts {
            let reason = format!("part {part} of {parts} parts");
            return Err(WireError::Field { field: "part", reason });
        }
        let seen = Part { sender, through: Offset(through), part, parts };
        // One `()` for each part received; these take no memory.
        Ok(PartialSnapshot { seen, items: vec![(); part as usize + 1] })
    }
}
