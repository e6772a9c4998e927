//! How an entry VM takes part.

use std::time::Duration;

use daisy_model::{DcId, VmId};

/// Who this entry VM is, and its periods.
#[derive(Debug, Clone)]
pub struct Options {
    /// This entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// Between heartbeats of a holder to the peers of its data centre.
    pub heartbeat: Duration,
    /// Silence after which a holder is replaced.
    pub holder_timeout: Duration,
}

impl Options {
    /// Heartbeats that a peer that is not the holder leaves out between two that it sends.
    ///
    /// Only the holder's silence has to be seen fast; the 2 KB/s that a node may spend on
    /// control are kept by sending the others' heartbeats at half the pace.
    const FOLLOWER_FACTOR: u32 = 2;
    /// The pace of heartbeats to another data centre, in own heartbeats.
    const REMOTE_FACTOR: u32 = 4;
    /// Peers of a data centre up to which heartbeats go at full pace.
    const FULL_PACE_PEERS: u32 = 8;

    /// Between heartbeats to a peer of the own data centre, of which there are `peers`.
    pub fn near_period(&self, holder: bool, peers: usize) -> Duration {
        if holder {
            return self.heartbeat;
        }
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.heartbeat * Options::FOLLOWER_FACTOR * peers.div_ceil(Options::FULL_PACE_PEERS).max(1)
    }

    /// Between heartbeats to the speaker of another data centre.
    pub fn far_period(&self) -> Duration {
        self.heartbeat * Options::REMOTE_FACTOR
    }

    /// Silence after which a peer that is not the holder counts as dead.
    pub fn peer_timeout(&self, peers: usize) -> Duration {
        // Two lost heartbeats are no death.
        self.near_period(false, peers) * 3
    }

    /// Silence after which another data centre counts as cut off.
    pub fn far_timeout(&self) -> Duration {
        self.far_period() * 3
    }

    /// How long a fresh process listens for peers before it trusts its view of them.
    pub fn settle(&self) -> Duration {
        self.heartbeat * 2
    }

    /// How much later than its predecessor each further candidate claims.
    ///
    /// Half a heartbeat: more than an append and its read take over the region link
    /// (12 ms one way), and eight candidates still stay under two seconds.
    pub fn stagger(&self) -> Duration {
        self.heartbeat / 2
    }

    /// How long the log may give no answer before it counts as out of reach.
    pub fn log_timeout(&self) -> Duration {
        self.holder_timeout * 2
    }
}
