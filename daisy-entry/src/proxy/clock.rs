//! The process's monotonic clock as the core's [`Instant`].

use std::time;

use daisy_model::Instant;

/// A clock that starts at zero when the proxy is created.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Creates a clock that is zero now.
    pub(super) fn new() -> Clock {
        Clock { start: time::Instant::now() }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }

    /// Converts `instant` for tokio's timers.
    pub(super) fn timer_at(&self, instant: Instant) -> tokio::time::Instant {
        (self.start + time::Duration::from_micros(instant.0)).into()
    }
}
