//! The log encoding of records.

use bincode::{Decode, Encode};
use daisy_ledger::{AppendId, Batch, Placement, Record};
use daisy_model::{
    Change, DcId, Epoch, Exit, ExitReport, Incarnation, JobId, Offset, TaskId, VmId,
};

use crate::{WireError, log::ChangeWire};

/// How an incarnation ended; see [`Exit`].
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub(crate) enum ExitWire {
    Done,
    Failed,
    Checkpointed(u64),
    Stopped,
    LeaseExpired,
    Unknown,
    Refused,
}

impl From<Exit> for ExitWire {
    fn from(it: Exit) -> ExitWire {
        match it {
            Exit::Done => ExitWire::Done,
            Exit::Failed => ExitWire::Failed,
            Exit::Checkpointed(token) => ExitWire::Checkpointed(token),
            Exit::Stopped => ExitWire::Stopped,
            Exit::LeaseExpired => ExitWire::LeaseExpired,
            Exit::Unknown => ExitWire::Unknown,
            Exit::Refused => ExitWire::Refused,
        }
    }
}

impl From<ExitWire> for Exit {
    fn from(it: ExitWire) -> Exit {
        match it {
            ExitWire::Done => Exit::Done,
            ExitWire::Failed => Exit::Failed,
            ExitWire::Checkpointed(token) => Exit::Checkpointed(token),
            ExitWire::Stopped => Exit::Stopped,
            ExitWire::LeaseExpired => Exit::LeaseExpired,
            ExitWire::Unknown => Exit::Unknown,
            ExitWire::Refused => Exit::Refused,
        }
    }
}

/// A task: the job's number and the task's index.
#[derive(Debug, Clone, Copy, Encode, Decode)]
struct TaskWire(u32, u32);

impl From<TaskId> for TaskWire {
    fn from(it: TaskId) -> TaskWire {
        TaskWire(it.job.0, it.index)
    }
}

impl From<TaskWire> for TaskId {
    fn from(it: TaskWire) -> TaskId {
        TaskId { job: JobId(it.0), index: it.1 }
    }
}

/// A task, its incarnation, and the VM.
#[derive(Debug, Encode, Decode)]
struct PlacementWire(TaskWire, u32, u32);

/// A task, its incarnation, and how that ended.
#[derive(Debug, Encode, Decode)]
struct ExitReportWire(TaskWire, u32, ExitWire);

#[derive(Debug, Encode, Decode)]
enum RecordWire {
    Change(ChangeWire),
    Claim { dc: u16, holder: u32 },
    Release { dc: u16, epoch: u64 },
    Checkout { dc: u16, epoch: u64, tasks: Vec<TaskWire> },
    Return { dc: u16, epoch: u64, tasks: Vec<TaskWire> },
    Placed { dc: u16, epoch: u64, placements: Vec<PlacementWire> },
    Ended { dc: u16, epoch: u64, exits: Vec<ExitReportWire> },
    Intent { key: u128, entry: u32 },
    Snapshot { through: u64, part: u32, parts: u32, bytes: Vec<u8> },
}

/// The records that one process appends in one entry; see [`Batch`].
#[derive(Debug, Encode, Decode)]
pub struct BatchWire {
    sender: u64,
    seq: u64,
    records: Vec<RecordWire>,
}

impl From<&Batch> for BatchWire {
    fn from(it: &Batch) -> BatchWire {
        BatchWire {
            sender: it.id.sender,
            seq: it.id.seq,
            records: it.records.iter().map(RecordWire::from).collect(),
        }
    }
}

impl TryFrom<BatchWire> for Batch {
    type Error = WireError;

    fn try_from(it: BatchWire) -> Result<Batch, WireError> {
        let records = it.records.into_iter().map(Record::try_from);
        Ok(Batch {
            id: AppendId { sender: it.sender, seq: it.seq },
            records: records.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&Record> for RecordWire {
    fn from(it: &Record) -> RecordWire {
        match it {
            Record::Change(change) => RecordWire::Change(change.into()),
            Record::Claim { dc, holder } => RecordWire::Claim { dc: dc.0, holder: holder.0 },
            Record::Release { dc, epoch } => RecordWire::Release { dc: dc.0, epoch: epoch.0 },
            Record::Checkout { dc, epoch, tasks } => {
                RecordWire::Checkout { dc: dc.0, epoch: epoch.0, tasks: to_wire(tasks) }
            }
            Record::Return { dc, epoch, tasks } => {
                RecordWire::Return { dc: dc.0, epoch: epoch.0, tasks: to_wire(tasks) }
            }
            Record::Placed { dc, epoch, placements } => {
                RecordWire::Placed { dc: dc.0, epoch: epoch.0, placements: to_wire(placements) }
            }
            Record::Ended { dc, epoch, exits } => {
                RecordWire::Ended { dc: dc.0, epoch: epoch.0, exits: to_wire(exits) }
            }
            Record::Intent { key, entry } => RecordWire::Intent { key: *key, entry: entry.0 },
            Record::Snapshot { through, part, parts, bytes } => RecordWire::Snapshot {
                through: through.0,
                part: *part,
                parts: *parts,
                bytes: bytes.clone(),
            },
        }
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = WireError;

    fn try_from(it: RecordWire) -> Result<Record, WireError> {
        Ok(match it {
            RecordWire::Change(change) => Record::Change(Change::try_from(change)?),
            RecordWire::Claim { dc, holder } => {
                Record::Claim { dc: DcId(dc), holder: VmId(holder) }
            }
            RecordWire::Release { dc, epoch } => {
                Record::Release { dc: DcId(dc), epoch: Epoch(epoch) }
            }
            RecordWire::Checkout { dc, epoch, tasks } => {
                Record::Checkout { dc: DcId(dc), epoch: Epoch(epoch), tasks: from_wire(tasks) }
            }
            RecordWire::Return { dc, epoch, tasks } => {
                Record::Return { dc: DcId(dc), epoch: Epoch(epoch), tasks: from_wire(tasks) }
            }
            RecordWire::Placed { dc, epoch, placements } => Record::Placed {
                dc: DcId(dc),
                epoch: Epoch(epoch),
                placements: from_wire(placements),
            },
            RecordWire::Ended { dc, epoch, exits } => {
                Record::Ended { dc: DcId(dc), epoch: Epoch(epoch), exits: from_wire(exits) }
            }
            RecordWire::Intent { key, entry } => Record::Intent { key, entry: VmId(entry) },
            RecordWire::Snapshot { through, part, parts, bytes } => {
                check_part(part, parts)?;
                Record::Snapshot { through: Offset(through), part, parts, bytes }
            }
        })
    }
}

fn check_part(part: u32, parts: u32) -> Result<(), WireError> {
    if part < parts {
        return Ok(());
    }
    Err(WireError::Field { field: "part", reason: format!("part {part} of {parts} parts") })
}

fn to_wire<T: Copy, W: From<T>>(items: &[T]) -> Vec<W> {
    items.iter().map(|&it| W::from(it)).collect()
}

fn from_wire<W, T: From<W>>(items: Vec<W>) -> Vec<T> {
    items.into_iter().map(T::from).collect()
}

impl From<Placement> for PlacementWire {
    fn from(it: Placement) -> PlacementWire {
        PlacementWire(it.task.into(), it.incarnation.0, it.vm.0)
    }
}

impl From<PlacementWire> for Placement {
    fn from(it: PlacementWire) -> Placement {
        Placement { task: it.0.into(), incarnation: Incarnation(it.1), vm: VmId(it.2) }
    }
}

impl From<ExitReport> for ExitReportWire {
    fn from(it: ExitReport) -> ExitReportWire {
        ExitReportWire(it.task.into(), it.incarnation.0, it.exit.into())
    }
}

impl From<ExitReportWire> for ExitReport {
    fn from(it: ExitReportWire) -> ExitReport {
        ExitReport { task: it.0.into(), incarnation: Incarnation(it.1), exit: it.2.into() }
    }
}
