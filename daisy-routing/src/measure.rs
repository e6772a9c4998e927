//! Running measurements: how long answers take, and how often things happen.

use std::time::Duration;

use daisy_model::Instant;

/// Buckets for each doubling of the latency, so that a quantile is within 19 %.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Buckets in all: from 1 µs to over an hour.
const BUCKETS: usize = 128;
/// Samples after which all counts are halved, so that old ones fade.
const HALVING_SAMPLES: u32 = 4_000;
/// Samples below which a quantile says nothing.
const MIN_QUANTILE_SAMPLES: u32 = 50;

/// Quantiles of recent latencies.
#[derive(Debug, Clone)]
pub(crate) struct LatencyQuantiles {
    counts: Vec<u32>,
    total: u32,
}

impl LatencyQuantiles {
    /// No samples yet.
    pub(crate) fn new() -> LatencyQuantiles {
        LatencyQuantiles { counts: vec![0; BUCKETS], total: 0 }
    }

    /// Takes a sample in.
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

    /// The latency that a share `q` of recent answers kept; `None` with too few samples.
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

/// Weight of a new sample in [`LogMean`]: with exponential service times the mean then scatters by
/// a sixth, so that a server is not taken for 2.5 times slower by chance.
const LOG_MEAN_WEIGHT: f64 = 0.03;

/// A running geometric mean: one answer of a heavy tail hardly moves it, a slow server does.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LogMean {
    mean: f64,
    samples: u32,
}

impl LogMean {
    /// Takes a sample in.
    pub(crate) fn add(&mut self, latency: Duration) {
        let log = (latency.as_micros().max(1) as f64).ln();
        let weight = LOG_MEAN_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += weight * (log - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// The logarithm of the mean in microseconds, once there are `enough` samples.
    pub(crate) fn try_log_mean(&self, enough: u32) -> Option<f64> {
        (self.samples >= enough).then_some(self.mean)
    }
}

/// Time over which [`Rate`] forgets.
const RATE_WINDOW_SECS: f64 = 1.0;

/// Events a second, over about the last second.
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

    /// The rate now.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        self.value * (-now.since(self.updated_at).as_secs_f64() / RATE_WINDOW_SECS).exp()
    }
}

/// Weight of a new try in [`MovingShare`].
const SHARE_WEIGHT: f64 = 0.02;

/// The share of recent tries to which something happened.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MovingShare {
    value: f64,
}

impl MovingShare {
    /// Takes a try in.
    pub(crate) fn add(&mut self, happened: bool) {
        self.value += SHARE_WEIGHT * (f64::from(u8::from(happened)) - self.value);
    }

    /// The share, from 0 to 1.
    pub(crate) fn value(self) -> f64 {
        self.value
    }
}
