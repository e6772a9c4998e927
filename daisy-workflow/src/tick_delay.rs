//! Detects a process that is too slow for the shards that it owns.

use std::time::Duration;

use daisy_model::Instant;

/// The newest tick has a weight of one in this many in the running mean.
const MEAN_WINDOW: u32 = 8;
/// The highest tolerable mean delay. Workers must answer within 0.45 s; above this mean, many miss
/// that deadline.
const MEAN_DELAY_MAX: Duration = Duration::from_millis(250);
/// The maximum delay that one tick adds to the mean. A single long pause is a freeze, after which
/// the process runs as well as before.
const SINGLE_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// The mean delay of a process's periodic ticks.
///
/// An owner that gets too little processor time sees its workers as unresponsive and their answers
/// as outdated, and gives up runs that are still going on. On a VM slowed down to a fifth of its
/// speed the mean is 0.5 s or more.
#[derive(Debug, Clone, Copy)]
pub struct TickDelay {
    interval: Duration,
    last_tick_at: Instant,
    /// The running mean.
    mean_delay: Duration,
}

impl TickDelay {
    /// Creates the state of a process that is to tick once per `interval` from now on.
    pub fn new(now: Instant, interval: Duration) -> TickDelay {
        TickDelay { interval, last_tick_at: now, mean_delay: Duration::ZERO }
    }

    /// Records a tick and returns whether the process is too slow for the shards that it owns.
    pub fn record_tick(&mut self, now: Instant) -> bool {
        let delay =
            now.since(self.last_tick_at).saturating_sub(self.interval).min(SINGLE_DELAY_MAX);
        self.last_tick_at = now;
        self.mean_delay = (self.mean_delay * (MEAN_WINDOW - 1) + delay) / MEAN_WINDOW;
        self.mean_delay > MEAN_DELAY_MAX
    }
}
