//! The records that are appended to the platform's log.

use daisy_model::{Change, DcId, Epoch, ExitReport, Incarnation, Offset, TaskId, VmId};

/// Identifies one append of one process, so that a repeated append is applied once.
///
/// An append whose answer was lost is sent again under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppendId {
    /// The process; each process chooses a random number when it starts.
    pub sender: u64,
    /// The sequence number of the append among those of its sender.
    pub seq: u64,
}

/// The worker on which an incarnation of a task was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The worker.
    pub vm: VmId,
}

/// One entry of an append: a request that the fold decides on, or a fact that it records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// An operator's change; the fold accepts or refuses it.
    Change(Change),
    /// An entry VM becomes the holder of its data centre; the epoch is this offset plus one.
    Claim {
        /// The data centre.
        dc: DcId,
        /// The entry VM.
        holder: VmId,
    },
    /// A holder releases its data centre.
    Release {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
    },
    /// Requests pending tasks for an epoch; the fold grants those that are still pending, may run
    /// and fit the quota of their team.
    Checkout {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The requested tasks.
        tasks: Vec<TaskId>,
    },
    /// Returns to the queue checked-out tasks that were never started under this or an earlier
    /// epoch.
    Return {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Where tasks were started, recorded in bulk afterwards.
    Placed {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The placements.
        placements: Vec<Placement>,
    },
    /// How tasks ended, recorded in bulk before the workers' exit reports are acknowledged.
    Ended {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The exits.
        exits: Vec<ExitReport>,
    },
    /// A non-idempotent request is about to run; the first intent for a key wins.
    Intent {
        /// A digest of service and key.
        key: u128,
        /// The entry VM that will run it.
        entry: VmId,
    },
    /// A part of a snapshot, appended before the records that it covers expire.
    Snapshot {
        /// The snapshot covers every record below this offset.
        through: Offset,
        /// The position of the part, from 0.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// The part's bytes.
        bytes: Vec<u8>,
    },
}

/// The records of one append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The id of the append.
    pub id: AppendId,
    /// The records, folded in this order.
    pub records: Vec<Record>,
}

impl Record {
    /// Returns the approximate size of the record in the log, in bytes; never much too low.
    pub fn approximate_bytes(&self) -> usize {
        /// The size of a record of a few integers.
        const BASE: usize = 32;
        match self {
            // 16 times the base covers the names and numbers of a job; the text is added.
            Record::Change(change) => 16 * BASE + change.text.len(),
            Record::Claim { .. } | Record::Release { .. } | Record::Intent { .. } => BASE,
            Record::Checkout { tasks, .. } | Record::Return { tasks, .. } => {
                BASE + tasks.len() * 10
            }
            Record::Placed { placements, .. } => BASE + placements.len() * 20,
            Record::Ended { exits, .. } => BASE + exits.len() * 25,
            Record::Snapshot { bytes, .. } => BASE + bytes.len(),
        }
    }
}
