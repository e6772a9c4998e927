//! The process's monotonic clock as the core's [`Instant`].

use std::time;

use daisy_model::Instant;

/// Counts from the proxy's creation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that shows zero now.
    pub(super) fn new() -> Clock {
        Clock { start: time::Instant::now() }
    }

    /// The present time.
    pub(super) fn now(&self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }

    /// `instant` as tokio's timers take it.
    pub(super) fn timer_at(&self, instant: Instant) -> tokio::time::Instant {
        (self.start + time::Duration::from_micros(instant.0)).into()
    }
}
