//! What the router knows of one service.

use std::time::Duration;

use daisy_model::{Instant, Key, Priority};

use crate::{
    budget::RetryBudget,
    measure::{LatencyQuantiles, LogMean, MovingShare, Rate},
};

/// How long an answer is thought to take before any has come.
const INITIAL_LATENCY_ESTIMATE: Duration = Duration::from_millis(20);
/// The queue holds what is served within this many typical answers.
const QUEUE_WAIT_IN_ANSWERS: f64 = 1.0;
/// The shortest and the longest wait that the queue may promise.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(10);
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(250);
/// Of those that come again after a refusal, the last comes this much later than the first.
const RETRY_AFTER_SPREAD: f64 = 2.0;
/// The shortest and the longest time after which a refused caller is told to come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time over which an excess of load is to be worked off when refused callers come again.
const OVERLOAD_RECOVERY_SECS: f64 = 1.0;
/// The share of recent answers that a hedge waits for.
const HEDGE_QUANTILE: f64 = 0.95;

/// A service in the router's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceKey(pub(crate) u32);

impl Key for ServiceKey {
    fn from_index(index: usize) -> ServiceKey {
        ServiceKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A service as the router sees it.
#[derive(Debug, Clone)]
pub(crate) struct ServiceState {
    /// Whether the routes still name it.
    pub(crate) in_routes: bool,
    pub(crate) priority: Priority,
    /// Positions of its backend servers in the router's sorted list.
    pub(crate) servers: Vec<u32>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) latencies: LatencyQuantiles,
    pub(crate) typical_latency: LogMean,
    /// Offers, refused ones included.
    pub(crate) offers: Rate,
    /// Tries that ended and freed their slot.
    pub(crate) completions: Rate,
    pub(crate) in_flight: u32,
    /// Tries that failed, whichever backend server they were at.
    pub(crate) failure_share: MovingShare,
    /// The median speed of its backend servers, as a logarithm of microseconds.
    pub(crate) median_log_latency: Option<f64>,
}

impl ServiceState {
    /// A service that has not been asked for.
    pub(crate) fn new(priority: Priority) -> ServiceState {
        ServiceState {
            in_routes: true,
            priority,
            servers: Vec::new(),
            retry_budget: RetryBudget::new(),
            latencies: LatencyQuantiles::new(),
            typical_latency: LogMean::default(),
            offers: Rate::default(),
            completions: Rate::default(),
            in_flight: 0,
            failure_share: MovingShare::default(),
            median_log_latency: None,
        }
    }

    /// How long an answer typically takes.
    pub(crate) fn typical_latency(&self) -> Duration {
        let log = self.typical_latency.try_log_mean(1);
        log.map_or(INITIAL_LATENCY_ESTIMATE, |log| Duration::from_micros(log.exp() as u64))
    }

    /// How long a request waits with `ahead` of its service before it.
    ///
    /// The rate of the last second lags after a pause, so it counts no less than what Little's
    /// law gives for the requests in flight.
    pub(crate) fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let littles_law_rate =
            f64::from(self.in_flight) / self.typical_latency().as_secs_f64().max(1e-6);
        let per_second = self.completions.per_second(now).max(littles_law_rate / 2.0).max(1e-3);
        Duration::from_secs_f64(((ahead + 1) as f64 / per_second).min(3_600.0))
    }

    /// The longest wait that the queue may promise.
    pub(crate) fn max_queue_wait(&self) -> Duration {
        self.typical_latency().mul_f64(QUEUE_WAIT_IN_ANSWERS).clamp(MIN_QUEUE_WAIT, MAX_QUEUE_WAIT)
    }

    /// When a refused caller is to come again: later the more is offered beyond what drains, and
    /// spread, so that those refused together do not come again together.
    pub(crate) fn retry_after(&self, now: Instant, rng: &mut fastrand::Rng) -> Duration {
        let completions = self.completions.per_second(now).max(1.0);
        let excess = (self.offers.per_second(now) / completions - 1.0).clamp(0.0, 10.0);
        let base = self.max_queue_wait().as_secs_f64() + excess * OVERLOAD_RECOVERY_SECS;
        let spread = 1.0 + rng.f64() * (RETRY_AFTER_SPREAD - 1.0);
        Duration::from_secs_f64(base * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// After how long a second try is worth its load; `None` until enough is known.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.latencies.quantile(HEDGE_QUANTILE)
    }
}
