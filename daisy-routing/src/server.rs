//! The state of one backend server in the router.

use std::{net::SocketAddr, time::Duration};

use daisy_model::{Instant, VmId};

use crate::{
    health::{Health, TryAssessment},
    measure::LogMean,
};

/// Age beyond which the number of requests in progress that an answer reported is no longer used,
/// and the numbers reported by peers are used instead.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Number of answers after which the latency of a backend server is compared with the median.
const MIN_LATENCY_SAMPLES: u32 = 40;
/// A backend server that is more than this many times slower than the median is quarantined.
const SLOW_FACTOR: f64 = 2.5;
/// How long a backend server's own report that it is leaving is valid without being repeated.
const LEAVING_REPORT_TTL: Duration = Duration::from_secs(60);

/// How far away a backend server is; a later variant is farther.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// In the local data centre.
    SameDc,
    /// In another data centre of the local region: 1 ms one way in the users' networks.
    SameRegion,
    /// In another region: 12 ms one way, over the narrow region link.
    OtherRegion,
}

/// A backend server as the router sees it.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) vm: VmId,
    pub(crate) distance: Distance,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// Maximum number of connections that this entry VM may open to it.
    pub(crate) connections: u32,
    /// Number of slots reserved for this entry VM.
    pub(crate) own_slots: u32,
    /// Whether the routes mark it as leaving.
    pub(crate) leaving_in_routes: bool,
    /// When it last reported itself that it is leaving.
    pub(crate) reported_leaving_at: Option<Instant>,
    /// Number of requests in flight from this entry VM.
    pub(crate) own_in_flight: u32,
    /// Number of requests in flight from other entry VMs, calculated from its last answer that
    /// reported it, and the time of that answer.
    pub(crate) answer_in_flight: Option<(Instant, u32)>,
    /// Number of requests in flight from other entry VMs, as reported by those entry VMs.
    pub(crate) peers_in_flight: u32,
    /// Limit of requests in flight from this entry VM, adapted to refusals.
    pub(crate) limit: f64,
    pub(crate) mean_latency: LogMean,
    pub(crate) health: Health,
}

impl Server {
    /// Returns whether the backend server is leaving and gets no new requests.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let reported_leaving =
            self.reported_leaving_at.is_some_and(|at| now.since(at) < LEAVING_REPORT_TTL);
        self.leaving_in_routes || reported_leaving
    }

    /// Returns the probable number of requests in flight from other entry VMs.
    pub(crate) fn others_in_flight(&self, now: Instant) -> u32 {
        match self.answer_in_flight {
            Some((at, count)) if now.since(at) <= MAX_REPORT_AGE => count,
            _ => self.peers_in_flight,
        }
    }

    /// Returns how many requests this entry VM may have in flight there at `now`.
    pub(crate) fn current_limit(&self, now: Instant) -> u32 {
        let adapted = (self.limit as u32).max(1).min(self.connections);
        self.health.limit(adapted, now)
    }

    /// Adapts the limit of requests in flight: an answer increases it by `1 / limit`, a refusal
    /// decreases it by a third. It stays between one and the number of slots.
    pub(crate) fn adapt_limit(&mut self, refused: bool) {
        let changed = if refused { self.limit * 2.0 / 3.0 } else { self.limit + 1.0 / self.limit };
        self.limit = changed.clamp(1.0, f64::from(self.slots.max(1)));
    }

    /// Records the number of requests in progress that an answer reported, which includes those of
    /// this entry VM.
    pub(crate) fn record_in_flight(&mut self, reported: u32, now: Instant) {
        self.answer_in_flight = Some((now, reported.saturating_sub(self.own_in_flight)));
    }

    /// Records an answer that took `latency` and compares the mean latency with the median, given
    /// as a logarithm of microseconds.
    pub(crate) fn assess(
        &mut self,
        latency: Duration,
        median_log_latency: Option<f64>,
    ) -> TryAssessment {
        let quarantined = self.health.is_quarantined();
        self.mean_latency.add(latency);
        let Some(median_log_latency) = median_log_latency else { return TryAssessment::Good };
        // A quarantined backend server is assessed from its first probe on: its mean was reset when
        // it was quarantined.
        let enough = if quarantined { 1 } else { MIN_LATENCY_SAMPLES };
        let log = self.mean_latency.try_log_mean(enough);
        if log.is_some_and(|log| log - median_log_latency > SLOW_FACTOR.ln()) {
            TryAssessment::Slow
        } else {
            TryAssessment::Good
        }
    }

    /// Returns how many times slower than the median the backend server is, at least 1.
    pub(crate) fn slowness(&self, median_log_latency: Option<f64>) -> f64 {
        match (self.mean_latency.try_log_mean(MIN_LATENCY_SAMPLES), median_log_latency) {
            (Some(log), Some(median_log_latency)) => (log - median_log_latency).exp().max(1.0),
            _ => 1.0,
        }
    }
}
