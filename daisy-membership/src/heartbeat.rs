//! What entry VMs tell one another of themselves.

use daisy_model::{DcId, Epoch, Offset, VmId};

/// Whether an entry VM takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It does not know yet what its data centre knows.
    Starting,
    /// It takes callers.
    Ready,
    /// A planned stop: it takes no new callers and claims nothing.
    Leaving,
}

/// The newest heartbeat of a holder that its sender knows of, at first or second hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The number of the holder's heartbeat.
    pub seq: u32,
}

/// One heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// The sender's data centre.
    pub dc: DcId,
    /// Counts the sender's rounds of heartbeats.
    pub seq: u32,
    /// The offset of the next record that the sender folds.
    pub next: Offset,
    /// The generation of the configuration in force at the sender.
    pub generation: u64,
    /// Whether the sender takes callers.
    pub status: Status,
    /// Whether the sender reads the log itself, and the log answers it.
    pub reads_log: bool,
    /// The holder of the sender's data centre as the sender last heard of it.
    ///
    /// Heartbeats are numbered, not timed: an epoch and number that are newer than what the
    /// receiver knew prove that the holder was alive after that, whatever the clocks say.
    pub evidence: Option<Evidence>,
}
