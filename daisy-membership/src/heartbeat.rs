//! The heartbeats that entry VMs exchange.

use daisy_model::{DcId, Epoch, Offset, VmId};

/// Whether an entry VM accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Not yet caught up with the state that its data centre has.
    Starting,
    /// Accepts callers.
    Ready,
    /// In a planned stop: accepts no new callers and makes no claims.
    Leaving,
}

/// The newest heartbeat of a holder that the sender knows of, received directly or reported by
/// another peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderEvidence {
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The sequence number of the holder's heartbeat.
    pub seq: u32,
}

/// One heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmId,
    /// The sender's data centre.
    pub dc: DcId,
    /// Sequence number: counts the rounds in which the sender sent heartbeats.
    pub seq: u32,
    /// The offset of the next record that the sender will fold.
    pub next: Offset,
    /// The generation of the configuration in force at the sender.
    pub generation: u64,
    /// Whether the sender accepts callers.
    pub status: Status,
    /// Whether the sender reads the log directly and gets answers from it.
    pub reads_log: bool,
    /// The newest heartbeat that the sender knows from the holder of its data centre.
    ///
    /// Heartbeats carry sequence numbers instead of times: an epoch and number newer than what
    /// the receiver knew prove that the holder was alive after that, independent of clocks.
    pub evidence: Option<HolderEvidence>,
}
