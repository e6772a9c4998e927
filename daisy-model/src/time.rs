//! Time as an argument: a process's own monotonic clock, and wall time for the audit trail.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point of one process's monotonic clock, in microseconds since that process began.
///
/// Instants of different processes are never compared: no decision rests on clocks
/// that agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(pub u64);

impl Instant {
    /// The instant `millis` milliseconds after the process began.
    pub fn from_millis(millis: u64) -> Instant {
        Instant(millis.saturating_mul(1_000))
    }

    /// Time from `earlier` to this instant, zero if `earlier` is later.
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

/// Wall-clock time in milliseconds since 1970 UTC: for people and the audit trail only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WallTime(pub u64);
