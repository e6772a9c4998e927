//! The process's clocks; the core receives the time as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisy_model::{Instant, WallTime};

/// The monotonic and the wall clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: std::time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock { started_at: std::time::Instant::now() }
    }

    /// Returns the monotonic time since the process started.
    pub fn now(&self) -> Instant {
        Instant::default() + self.started_at.elapsed()
    }

    /// Returns the wall-clock time, for people and the audit trail only.
    pub fn wall_time(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
