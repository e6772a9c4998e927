//! Whether a process is too slow for what it owns.

use std::time::Duration;

use daisy_model::Instant;

/// Weight of the newest tick in the mean is one in this many.
const WEIGHT: u32 = 8;
/// Workers are asked for an answer within 0.45 s; beyond this mean, many miss it.
const MEAN_MAX: Duration = Duration::from_millis(250);
/// One long pause is a freeze, after which the process is as good as before.
const ONE_MAX: Duration = Duration::from_millis(1_000);

/// How late a process gets to what is due.
///
/// An owner without processor time sees its workers as silent and their answers as old: it gives up
/// runs that go on. On a VM slowed to a fifth the mean is 0.5 s and more.
#[derive(Debug, Clone, Copy)]
pub struct TickDelay {
    every: Duration,
    ticked_at: Instant,
    /// Running mean.
    mean: Duration,
}

impl TickDelay {
    /// A process that is to tick `every` so often, from now on.
    pub fn new(now: Instant, every: Duration) -> TickDelay {
        TickDelay { every, ticked_at: now, mean: Duration::ZERO }
    }

    /// Takes a tick in; whether the process is too late for what it owns.
    pub fn record_tick(&mut self, now: Instant) -> bool {
        let late = now.since(self.ticked_at).saturating_sub(self.every).min(ONE_MAX);
        self.ticked_at = now;
        self.mean = (self.mean * (WEIGHT - 1) + late) / WEIGHT;
        self.mean > MEAN_MAX
    }
}
