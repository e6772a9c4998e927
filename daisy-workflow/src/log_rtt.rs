//! Estimates how far an entry VM is from the platform's log.

use std::time::Duration;

use crate::shard::hash;

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

    /// Returns how long after its start the VM named `vm` waits before it counts the workers of a
    /// system without a layout.
    ///
    /// The list of workers is long. If all VMs read it when they start together, they exceed what
    /// the log sends to all together, and delay every other read over the link between regions. So
    /// the turns of VMs near the log are spread by name, and one of them has chosen a layout before
    /// the turns of the others.
    pub fn layout_turn(self, vm: &str) -> Duration {
        /// The earliest turn and the spread of the turns, in round-trip times.
        const EARLIEST_RTTS: u32 = 200;
        const SPREAD_RTTS: u64 = 400;
        let spread = (hash(vm.as_bytes()) % SPREAD_RTTS) as u32;
        self.estimate() * (EARLIEST_RTTS + spread)
    }
}
