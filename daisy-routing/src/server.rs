//! What the router knows of one backend server.

use std::{net::SocketAddr, time::Duration};

use daisy_model::{Instant, VmId};

use crate::{
    health::{Health, Verdict},
    measure::LogMean,
};

/// Age beyond which an answer's report of requests in progress counts less than peers' reports.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Answers after which a backend server's speed is judged.
const MIN_LATENCY_SAMPLES: u32 = 40;
/// How many times slower than the median puts a backend server aside.
const SLOW_FACTOR: f64 = 2.5;
/// How long a backend server's own word that it is leaving counts without being repeated.
const LEAVING_REPORT_TTL: Duration = Duration::from_secs(60);

/// How far away a backend server is; a later variant is farther.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// In the own data centre.
    Own,
    /// In another data centre of the own region: 1 ms one way in the users' networks.
    Near,
    /// In another region: 12 ms one way, over the narrow link.
    Far,
}

/// A backend server as the router sees it.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) vm: VmId,
    pub(crate) distance: Distance,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// Connections that this entry VM may open.
    pub(crate) connections: u32,
    /// Slots that are this entry VM's own.
    pub(crate) own_slots: u32,
    /// Whether the routes say that it is leaving.
    pub(crate) leaving_in_routes: bool,
    /// When it last said itself that it is leaving.
    pub(crate) reported_leaving_at: Option<Instant>,
    /// Requests in flight from this entry VM.
    pub(crate) own_in_flight: u32,
    /// Requests in flight from other entry VMs, as its answers said.
    pub(crate) answer_in_flight: Option<(Instant, u32)>,
    /// The same as the peers said.
    pub(crate) peers_in_flight: u32,
    /// The limit of requests in flight from this entry VM, adapted to refusals.
    pub(crate) limit: f64,
    pub(crate) mean_latency: LogMean,
    pub(crate) health: Health,
}

impl Server {
    /// Whether nothing new goes there.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let said = self.reported_leaving_at.is_some_and(|at| now.since(at) < LEAVING_REPORT_TTL);
        self.leaving_in_routes || said
    }

    /// Requests of other entry VMs that are probably in flight there.
    pub(crate) fn others_in_flight(&self, now: Instant) -> u32 {
        match self.answer_in_flight {
            Some((at, count)) if now.since(at) <= MAX_REPORT_AGE => count,
            _ => self.peers_in_flight,
        }
    }

    /// Requests that this entry VM may have in flight there now.
    pub(crate) fn current_limit(&self, now: Instant) -> u32 {
        let adapted = (self.limit as u32).max(1).min(self.connections);
        self.health.limit(adapted, now)
    }

    /// Adapts the limit: up by one for each limit's worth of answers, down by a third for a
    /// refusal, between one and all slots.
    pub(crate) fn adapt_limit(&mut self, refused: bool) {
        let changed = if refused { self.limit * 2.0 / 3.0 } else { self.limit + 1.0 / self.limit };
        self.limit = changed.clamp(1.0, f64::from(self.slots.max(1)));
    }

    /// Notes what an answer said of requests in progress, this entry VM's own included.
    pub(crate) fn record_in_flight(&mut self, reported: u32, now: Instant) {
        self.answer_in_flight = Some((now, reported.saturating_sub(self.own_in_flight)));
    }

    /// Judges an answer that took `latency` against the median's logarithm.
    pub(crate) fn judge(&mut self, latency: Duration, median_log_latency: Option<f64>) -> Verdict {
        let quarantined = self.health.is_quarantined();
        self.mean_latency.add(latency);
        let Some(median_log_latency) = median_log_latency else { return Verdict::Good };
        // Probes are judged from the first on: their mean began anew when it was put aside.
        let enough = if quarantined { 1 } else { MIN_LATENCY_SAMPLES };
        let log = self.mean_latency.try_log_mean(enough);
        if log.is_some_and(|log| log - median_log_latency > SLOW_FACTOR.ln()) {
            Verdict::Slow
        } else {
            Verdict::Good
        }
    }

    /// How many times slower than the median it is, at least 1.
    pub(crate) fn slowness(&self, median_log_latency: Option<f64>) -> f64 {
        match (self.mean_latency.try_log_mean(MIN_LATENCY_SAMPLES), median_log_latency) {
            (Some(log), Some(median_log_latency)) => (log - median_log_latency).exp().max(1.0),
            _ => 1.0,
        }
    }
}
