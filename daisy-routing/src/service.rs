//! The state of one service in the router.

use std::time::Duration;

use daisy_model::{DcId, Instant, Key, Priority};

use crate::{
    budget::RetryBudget,
    measure::{LatencyQuantiles, LogMean, MovingShare, Rate},
};

/// Assumed latency of an answer before any has been received.
const INITIAL_LATENCY_ESTIMATE: Duration = Duration::from_millis(20);
/// Longest wait in the queue, in multiples of the typical latency of an answer.
const QUEUE_WAIT_IN_ANSWERS: f64 = 1.0;
/// Bounds of the longest wait in the queue.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(10);
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(250);
/// Of the callers that retry after being rejected together, the last retries after up to this many
/// times the delay of the first.
const RETRY_AFTER_SPREAD: f64 = 2.0;
/// Bounds of the time after which a rejected caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time in seconds over which an excess of load is to be worked off before rejected callers retry.
const OVERLOAD_RECOVERY_SECS: f64 = 1.0;
/// A hedge is sent when the first try takes longer than this share of recent answers.
const HEDGE_QUANTILE: f64 = 0.95;

/// Identifies a service in the router's arena.
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
    /// Whether the current routes contain the service.
    pub(crate) in_routes: bool,
    pub(crate) priority: Priority,
    /// Positions of its backend servers in the router's sorted list.
    pub(crate) servers: Vec<u32>,
    /// Data centres in which it has or had backend servers, sorted.
    pub(crate) dcs: Vec<DcId>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) latencies: LatencyQuantiles,
    pub(crate) typical_latency: LogMean,
    /// Rate of requests, including rejected ones.
    pub(crate) arrivals: Rate,
    /// Rate of tries that ended and freed their slot.
    pub(crate) completions: Rate,
    pub(crate) in_flight: u32,
    /// Share of tries that failed, on whichever backend server.
    pub(crate) failure_share: MovingShare,
    /// The median of the mean latencies of its backend servers, as a logarithm of microseconds.
    pub(crate) median_log_latency: Option<f64>,
}

impl ServiceState {
    /// Creates the state of a service without requests.
    pub(crate) fn new(priority: Priority) -> ServiceState {
        ServiceState {
            in_routes: true,
            priority,
            servers: Vec::new(),
            dcs: Vec::new(),
            retry_budget: RetryBudget::new(),
            latencies: LatencyQuantiles::new(),
            typical_latency: LogMean::default(),
            arrivals: Rate::default(),
            completions: Rate::default(),
            in_flight: 0,
            failure_share: MovingShare::default(),
            median_log_latency: None,
        }
    }

    /// Returns the typical latency of an answer.
    pub(crate) fn typical_latency(&self) -> Duration {
        let log = self.typical_latency.try_log_mean(1);
        log.map_or(INITIAL_LATENCY_ESTIMATE, |log| Duration::from_micros(log.exp() as u64))
    }

    /// Returns the rate at which requests end.
    ///
    /// The measured rate of the last second lags after a pause, and in a process that has just
    /// started, so at least half of the rate that Little's law gives for the requests in flight is
    /// assumed.
    fn service_rate(&self, now: Instant) -> f64 {
        let littles_law_rate =
            f64::from(self.in_flight) / self.typical_latency().as_secs_f64().max(1e-6);
        self.completions.per_second(now).max(littles_law_rate / 2.0)
    }

    /// Returns how long a request is expected to wait with `ahead` requests of its service before
    /// it.
    pub(crate) fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let per_second = self.service_rate(now).max(1e-3);
        Duration::from_secs_f64(((ahead + 1) as f64 / per_second).min(3_600.0))
    }

    /// Returns the longest expected wait with which a request is queued.
    pub(crate) fn max_queue_wait(&self) -> Duration {
        self.typical_latency().mul_f64(QUEUE_WAIT_IN_ANSWERS).clamp(MIN_QUEUE_WAIT, MAX_QUEUE_WAIT)
    }

    /// Returns after how long a rejected caller should retry: the delay grows with the excess of
    /// requests over those that end and is spread, so that callers rejected together do not retry
    /// together.
    pub(crate) fn retry_after(&self, now: Instant, rng: &mut fastrand::Rng) -> Duration {
        let per_second = self.service_rate(now).max(1.0);
        let excess = (self.arrivals.per_second(now) / per_second - 1.0).clamp(0.0, 10.0);
        let base = self.max_queue_wait().as_secs_f64() + excess * OVERLOAD_RECOVERY_SECS;
        let spread = 1.0 + rng.f64() * (RETRY_AFTER_SPREAD - 1.0);
        Duration::from_secs_f64(base * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns after how long a second try is worth its load; `None` until there are enough
    /// samples.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.latencies.quantile(HEDGE_QUANTILE)
    }
}
