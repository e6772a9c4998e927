//! The process's clocks; the core gets the time as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisy_model::{Instant, WallTime};

/// Reads the time for one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    began: std::time::Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock { began: std::time::Instant::now() }
    }

    /// Monotonic time since the process began.
    pub fn now(&self) -> Instant {
        Instant::default() + self.began.elapsed()
    }

    /// Wall-clock time, for people and the audit trail only.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
