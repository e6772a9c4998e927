//! What is appended to the platform's log.

use daisy_model::{Change, DcId, Ended, Epoch, Incarnation, Offset, TaskId, VmId};

/// Names one append of one process, so that a repeated append is taken once.
///
/// An append whose answer was lost is sent again under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppendId {
    /// Drawn at random by each process when it starts.
    pub sender: u64,
    /// Counts the sender's appends.
    pub seq: u64,
}

/// Where an incarnation of a task was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The worker.
    pub vm: VmId,
}

/// One fact or wish in the log.
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
    /// A holder gives its data centre up.
    Release {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
    },
    /// Hands pending tasks to an epoch; the fold grants those that are still pending.
    Checkout {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The tasks asked for.
        tasks: Vec<TaskId>,
    },
    /// Gives checked-out tasks back that never started under this epoch or an earlier one.
    Return {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Where tasks were started, told in bulk after the fact.
    Placed {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The placements.
        placements: Vec<Placement>,
    },
    /// How tasks ended, told in bulk before the workers' exit reports are acknowledged.
    Ended {
        /// The data centre.
        dc: DcId,
        /// The holder's epoch.
        epoch: Epoch,
        /// The exits.
        exits: Vec<Ended>,
    },
    /// A non-idempotent request is about to run; the first intent for a key wins.
    Intent {
        /// A digest of service and key.
        key: u128,
        /// The entry VM that is going to run it.
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

/// Records that one process appends at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The append's name.
    pub id: AppendId,
    /// The records, folded in turn.
    pub records: Vec<Record>,
}

impl Record {
    /// About how many bytes the record takes in the log; never far below the truth.
    pub fn weight(&self) -> usize {
        /// A small record: a few integers.
        const BASE: usize = 32;
        match self {
            // A job's names and numbers besides the text.
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
