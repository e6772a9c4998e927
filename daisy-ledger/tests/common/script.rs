use daisy_ledger::{Job, Placement, Record, State, TaskState};
use daisy_model::{
    Command, DcId, Epoch, Exit, ExitReport, Incarnation, Priority, Resources, TaskId, VmId,
    WorkClass,
};

use super::{batch_job, cancel, change, name, quota, service, size, task};

/// One step of a generated script: the kind of record and two numbers that choose its content.
pub type Step = (u8, u8, u8);

const JOBS: [&str; 4] = ["render", "prices", "shop", "quotes"];
const EXITS: [Exit; 6] = [
    Exit::Done,
    Exit::Failed,
    Exit::Checkpointed(0),
    Exit::Stopped,
    Exit::LeaseExpired,
    Exit::Unknown,
];

/// Returns the record of a step. Its epoch is the one in force in `state`, or a stale one for some
/// choices.
pub fn record(state: &State, step: Step, token: u64) -> Record {
    let (kind, a, b) = step;
    let dc = DcId(u16::from(a % 2));
    let epoch = epoch(state, dc, a);
    let tasks = tasks(b);
    match kind % 16 {
        0 => Record::Claim { dc, holder: VmId(u32::from(b % 4)) },
        1 => Record::Release { dc, epoch },
        2..=4 => Record::Checkout { dc, epoch, tasks },
        5 => Record::Return { dc, epoch, tasks },
        6 | 7 => Record::Placed { dc, epoch, placements: vec![placement(state, a, b)] },
        8..=10 => Record::Ended { dc, epoch, exits: vec![ended(state, a, b, token)] },
        11 => Record::Intent { key: u128::from(b % 8), entry: VmId(u32::from(a)) },
        _ => Record::Change(change("ana", command(a, b))),
    }
}

fn epoch(state: &State, dc: DcId, choice: u8) -> Epoch {
    let current = state.holders.get(&dc).map_or(Epoch(0), |it| it.epoch);
    if choice % 8 < 6 { current } else { Epoch(current.0 / 2) }
}

fn tasks(choice: u8) -> Vec<TaskId> {
    let job = u32::from(choice % 5);
    (0..u32::from(choice % 3) + 1).map(|index| task(job, index)).collect()
}

fn incarnation(state: &State, task: TaskId, choice: u8) -> Incarnation {
    let next = state.task(task).map_or(1, |it| it.next_incarnation().0);
    // Some reports are about an earlier incarnation.
    Incarnation(if choice.is_multiple_of(5) { next - 1 } else { next })
}

fn placement(state: &State, a: u8, b: u8) -> Placement {
    let task = tasks(b)[0];
    Placement { task, incarnation: incarnation(state, task, a), vm: VmId(u32::from(a)) }
}

fn ended(state: &State, a: u8, b: u8, token: u64) -> ExitReport {
    let task = tasks(b)[0];
    let exit = match EXITS[usize::from(a / 2) % EXITS.len()] {
        Exit::Checkpointed(_) => Exit::Checkpointed(token),
        exit => exit,
    };
    ExitReport { task, incarnation: incarnation(state, task, b), exit }
}

fn command(a: u8, b: u8) -> Command {
    let job = JOBS[usize::from(b) % JOBS.len()];
    let tasks = u32::from(a % 4);
    match a % 12 {
        0..=2 => Command::Create(batch_job(job, tasks)),
        3 => Command::Create(service(job, tasks)),
        4 => Command::Create(daisy_model::JobSpec { restartable: true, ..batch_job(job, 3) }),
        5 => Command::Change {
            kind: daisy_model::JobKind::Batch,
            job: name(job),
            tasks: Some(u32::from(b % 5)),
            priority: Some(Priority::Urgent),
            size: Some(size(500 * u32::from(b % 7), 512)),
        },
        6 => cancel(job),
        7 => quota("bakery", size(1_000 * u32::from(b), 1_024 * u32::from(b))),
        8 => Command::Drain { vm: name(job) },
        9 => Command::Undrain { vm: name(job) },
        10 => Command::Pause(WorkClass::Batch),
        _ => Command::Resume(WorkClass::Batch),
    }
}

/// Recomputes the sum of the sizes of the checked-out tasks of the jobs that `wanted` selects.
pub fn out_size(state: &State, wanted: impl Fn(&Job) -> bool) -> Resources {
    let jobs = state.jobs.iter().map(|(_, job)| job).filter(|job| wanted(job));
    let out =
        jobs.flat_map(|job| &job.tasks).filter(|it| matches!(it.state, TaskState::CheckedOut(_)));
    out.fold(Resources::ZERO, |sum, task| sum.try_add(task.size).expect("no overflow"))
}
