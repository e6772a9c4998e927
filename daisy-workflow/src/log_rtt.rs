//! Estimates how far an entry VM is from the platform's log.

use std::time::Duration;

/// The estimate before the first read: that of a VM in the data centre of the log.
const DEFAULT_RTT: Duration = Duration::from_millis(5);

/// An estimate of the round-trip time to the log.
///
/// Reads wait for a record, so only the shortest one tells the distance. A log that is slow for a
/// while is slow for all VMs alike, and does not raise the estimate.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogRtt {
    shortest_read: Option<Duration>,
}

impl LogRtt {
    /// Records that a read took this time, the wait for a record included.
    pub fn read_took(&mut self, took: Duration) {
        self.shortest_read = Some(self.shortest_read.map_or(took, |it| it.min(took)));
    }

    /// Returns the estimate.
    pub fn estimate(self) -> Duration {
        self.shortest_read.unwrap_or(DEFAULT_RTT)
    }

    /// Returns how long after its start a VM waits before it counts the workers of a system without
    /// a layout.
    ///
    /// The list of workers is long. If all VMs read it when they start together, it delays every
    /// other read over the link between regions. So those near the log count first, and choose a
    /// layout before the others' turn comes.
    pub fn layout_turn(self) -> Duration {
        const RTTS: u32 = 100;
        self.estimate() * RTTS
    }
}
