//! Time values: instants of a process's own monotonic clock, and wall time for the audit trail.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// An instant of one process's monotonic clock, in microseconds since that process started.
///
/// Instants of different processes are never compared: no decision depends on synchronised clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the instant `millis` milliseconds after the process started.
    pub fn from_millis(millis: u64) -> Instant {
        Instant(millis.saturating_mul(1_000))
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, rhs: Duration) -> Instant {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(micros))
    }
}

/// Wall-clock time in milliseconds since 1970 UTC, used only for display and the audit trail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WallTime(pub u64);
