//! Running measurements of latencies, event rates and shares.

use std::time::Duration;

use daisy_model::Instant;

/// Number of buckets for each doubling of the latency, so that a quantile is accurate to 19 %.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Total number of buckets: from 1 µs to over an hour.
const BUCKETS: usize = 128;
/// Number of samples at which all counts are halved, so that old samples lose weight.
const HALVING_SAMPLES: u32 = 4_000;
/// Minimum number of samples for a meaningful quantile.
const MIN_QUANTILE_SAMPLES: u32 = 50;

/// Histogram of recent latencies for quantiles.
#[derive(Debug, Clone)]
pub(crate) struct LatencyQuantiles {
    counts: Vec<u32>,
    total: u32,
}

impl LatencyQuantiles {
    /// Creates a histogram without samples.
    pub(crate) fn new() -> LatencyQuantiles {
        LatencyQuantiles { counts: vec![0; BUCKETS], total: 0 }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, latency: Duration) {
        let micros = latency.as_micros().max(1) as f64;
        let bucket = (micros.log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the latency that a share `q` of recent answers did not exceed; `None` with too few
    /// samples.
    pub(crate) fn quantile(&self, q: f64) -> Option<Duration> {
        if self.total < MIN_QUANTILE_SAMPLES {
            return None;
        }
        let wanted = (f64::from(self.total) * q).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        })?;
        let micros = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
        Some(Duration::from_micros(micros as u64))
    }
}

/// Weight of a new sample in [`LogMean`]: with exponentially distributed service times the mean
/// varies by a sixth, so that a server does not appear 2.5 times slower by chance.
const LOG_MEAN_WEIGHT: f64 = 0.03;

/// A running geometric mean: a single answer from a heavy tail hardly changes it, a slow server
/// does.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LogMean {
    mean: f64,
    samples: u32,
}

impl LogMean {
    /// Adds a sample.
    pub(crate) fn add(&mut self, latency: Duration) {
        let log = (latency.as_micros().max(1) as f64).ln();
        let weight = LOG_MEAN_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += weight * (log - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the logarithm of the mean in microseconds, once there are `enough` samples.
    pub(crate) fn try_log_mean(&self, enough: u32) -> Option<f64> {
        (self.samples >= enough).then_some(self.mean)
    }
}

/// Time constant in seconds with which past events lose weight in [`Rate`].
const RATE_WINDOW_SECS: f64 = 1.0;

/// Events per second, over about the last second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    value: f64,
    updated_at: Instant,
}

impl Rate {
    /// Counts an event.
    pub(crate) fn add(&mut self, now: Instant) {
        self.value = self.per_second(now) + 1.0 / RATE_WINDOW_SECS;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the current rate.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        self.value * (-now.since(self.updated_at).as_secs_f64() / RATE_WINDOW_SECS).exp()
    }
}

/// Weight of a new try in [`MovingShare`].
const SHARE_WEIGHT: f64 = 0.02;

/// The share of recent tries for which a condition held, as a moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MovingShare {
    value: f64,
}

impl MovingShare {
    /// Adds a try.
    pub(crate) fn add(&mut self, happened: bool) {
        self.value += SHARE_WEIGHT * (f64::from(u8::from(happened)) - self.value);
    }

    /// Returns the share, from 0 to 1.
    pub(crate) fn value(self) -> f64 {
        self.value
    }
}
