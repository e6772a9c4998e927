//! Identity and timing of an entry VM.

use std::time::Duration;

use daisy_model::{DcId, VmId};

/// The identity of this entry VM and the intervals that it uses.
#[derive(Debug, Clone)]
pub struct Options {
    /// The id of this entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// The interval between heartbeats of a holder to the peers of its data centre.
    pub heartbeat_interval: Duration,
    /// The time without a heartbeat after which a holder is replaced.
    pub holder_timeout: Duration,
}

impl Options {
    /// The heartbeat interval of a peer that is not the holder, in holder intervals.
    ///
    /// Only the loss of the holder has to be detected fast. Sending the heartbeats of the others
    /// at half the rate keeps a node within the 2 KB/s that it may use for control traffic.
    const FOLLOWER_PERIOD_FACTOR: u32 = 2;
    /// The interval of heartbeats to another data centre, in holder intervals.
    const REMOTE_PERIOD_FACTOR: u32 = 4;
    /// The number of peers of a data centre up to which heartbeats are sent at the full rate.
    const FULL_RATE_PEERS: u32 = 8;

    /// Returns the interval between heartbeats to each of the `peers` peers of the own data
    /// centre. The holder and a VM that has just started send at the full rate.
    pub fn local_period(&self, at_full_rate: bool, peers: usize) -> Duration {
        if at_full_rate {
            return self.heartbeat_interval;
        }
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.heartbeat_interval
            * Options::FOLLOWER_PERIOD_FACTOR
            * peers.div_ceil(Options::FULL_RATE_PEERS).max(1)
    }

    /// Returns the interval between heartbeats to the representative of another data centre.
    pub fn remote_period(&self) -> Duration {
        self.heartbeat_interval * Options::REMOTE_PERIOD_FACTOR
    }

    /// Returns the time without a heartbeat after which a peer of the own data centre that is not
    /// the holder is treated as dead.
    pub fn peer_timeout(&self, peers: usize) -> Duration {
        // Two lost heartbeats in a row must not make a peer dead.
        self.local_period(false, peers) * 3
    }

    /// Returns the time without a heartbeat after which a peer of another data centre is treated
    /// as unreachable.
    pub fn remote_timeout(&self) -> Duration {
        self.remote_period() * 3
    }

    /// Returns how long a process that has just started collects heartbeats of its peers before it
    /// makes claims or accepts callers.
    pub fn discovery_time(&self) -> Duration {
        self.heartbeat_interval * 2
    }

    /// Returns by how much each further candidate claims later than the one before it.
    ///
    /// Half a heartbeat interval: longer than an append and the read of it take over the region
    /// link (12 ms one way), and with eight candidates the last one still waits less than two
    /// seconds.
    pub fn claim_stagger(&self) -> Duration {
        self.heartbeat_interval / 2
    }

    /// Returns the time without an answer after which the log is treated as unreachable.
    pub fn log_timeout(&self) -> Duration {
        self.holder_timeout * 2
    }
}
