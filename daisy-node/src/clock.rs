//! The process's clocks. `daisy-workflow` reads no clock: it gets the time as an argument.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisy_model::Instant;
use nix::time::{ClockId, clock_gettime};

/// Returns the current time on a clock that also runs while the VM is suspended.
///
/// The usual monotonic clock stops during a suspension: by that clock, a lease would appear valid
/// after its end.
pub(crate) fn now() -> Instant {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(it) => Instant::default() + Duration::from(it),
        // Every Linux since 2.6.39 has this clock.
        Err(e) => {
            log::error!("event=clock_unreadable cause=\"{e}\"");
            Instant::default()
        }
    }
}

/// Returns the milliseconds since 1970, for jobs that callers schedule by the time of day, and for
/// times that people read.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
