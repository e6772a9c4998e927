//! Updates the state of a backend server and its service with the outcome of a try.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::{
    QueueDecision, Router, TryId,
    health::{ServiceCondition, TryAssessment},
    router::ESTIMATED_ANSWER_BYTES,
    server::Server,
    service::ServiceKey,
    slab::Try,
};

/// At most one in this many backend servers of a service is quarantined.
const QUARANTINE_AT_MOST_ONE_IN: usize = 2;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryOutcome {
    /// The complete answer was received.
    Answered,
    /// The backend server refused the request and proved that it did not run.
    Refused,
    /// No connection could be established; nothing was sent.
    NotSent,
    /// The request was sent, but no complete answer was received in time.
    Broken,
    /// The caller disconnected or another try answered first.
    Cancelled,
}

/// The outcome of a try and what its answer reported about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TryReport {
    /// How the try ended.
    pub outcome: TryOutcome,
    /// Requests in progress on the backend server after this one, as reported in its answer.
    pub in_flight: Option<u32>,
    /// Whether the answer reported that the backend server is leaving.
    pub leaving: bool,
    /// Size of the answer in bytes.
    pub bytes: u64,
}

impl TryReport {
    /// Returns the report of a try that ended without an answer.
    pub fn without_answer(outcome: TryOutcome) -> TryReport {
        TryReport { outcome, in_flight: None, leaving: false, bytes: 0 }
    }
}

impl Router {
    /// Ends a try and returns the decisions for waiting requests. Ending the same try again has no
    /// effect.
    pub fn finish(
        &mut self,
        now: Instant,
        try_id: TryId,
        report: TryReport,
        rng: &mut fastrand::Rng,
    ) -> Vec<QueueDecision> {
        let Some(ended) = self.tries.try_remove(try_id) else { return Vec::new() };
        if ended.crosses_region {
            self.region_budget.spend(report.bytes.saturating_sub(ESTIMATED_ANSWER_BYTES));
        }
        let latency = now.since(ended.started_at);
        self.record_for_service(now, ended.service, report.outcome, latency);
        self.record_for_server(now, &ended, report, latency);
        self.dispatch(now, rng)
    }

    fn record_for_service(
        &mut self,
        now: Instant,
        key: ServiceKey,
        outcome: TryOutcome,
        latency: Duration,
    ) {
        let share = self.routes.policy.retry_budget;
        let Some(service) = self.services.get_mut(key) else { return };
        service.in_flight = service.in_flight.saturating_sub(1);
        service.completions.add(now);
        service.failure_share.add(matches!(outcome, TryOutcome::NotSent | TryOutcome::Broken));
        if outcome == TryOutcome::Answered {
            service.retry_budget.earn(share);
            service.latencies.add(latency);
            service.typical_latency.add(latency);
        }
    }

    fn record_for_server(
        &mut self,
        now: Instant,
        ended: &Try,
        report: TryReport,
        latency: Duration,
    ) {
        let Some(service) = self.services.get(ended.service) else { return };
        let median_log_latency = service.median_log_latency;
        let failure_share = service.failure_share.value();
        let condition = ServiceCondition {
            may_quarantine: self.may_quarantine(ended.service, ended.vm),
            failure_share,
        };
        let Some(server) = self.try_server_mut(ended.vm) else { return };
        server.own_in_flight = server.own_in_flight.saturating_sub(1);
        if let Some(reported) = report.in_flight {
            server.record_in_flight(reported, now);
        }
        if report.leaving {
            server.reported_leaving_at = Some(now);
        }
        let Some(assessment) = assess(server, report.outcome, latency, median_log_latency) else {
            return;
        };
        let before = server.health;
        server.health = before.after_try(assessment, condition, now);
        if server.health.is_quarantined() && !before.is_quarantined() {
            server.mean_latency = Default::default();
        }
    }

    /// Returns whether `vm` may be quarantined without leaving too few of the service's backend
    /// servers.
    fn may_quarantine(&self, key: ServiceKey, vm: VmId) -> bool {
        let Some(service) = self.services.get(key) else { return false };
        let quarantined = |position: &&u32| {
            let server = &self.servers[**position as usize];
            server.vm != vm && server.health.is_quarantined()
        };
        let count = service.servers.iter().filter(quarantined).count();
        (count + 1) * QUARANTINE_AT_MOST_ONE_IN <= service.servers.len()
    }

    pub(crate) fn try_server_mut(&mut self, vm: VmId) -> Option<&mut Server> {
        let position = self.servers.binary_search_by_key(&vm, |server| server.vm).ok()?;
        self.servers.get_mut(position)
    }

    /// Recomputes the median latency of each service's backend servers.
    pub(crate) fn refresh_medians(&mut self) {
        let keys: Vec<ServiceKey> = self.services.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(service) = self.services.get_mut(key) else { continue };
            let servers = service.servers.iter().map(|&at| &self.servers[at as usize]);
            let mut logs: Vec<f64> = servers
                .filter(|server| !server.health.is_quarantined())
                .filter_map(|server| server.mean_latency.try_log_mean(1))
                .collect();
            logs.sort_unstable_by(f64::total_cmp);
            service.median_log_latency = logs.get(logs.len() / 2).copied();
        }
    }
}

fn assess(
    server: &mut Server,
    outcome: TryOutcome,
    latency: Duration,
    median_log_latency: Option<f64>,
) -> Option<TryAssessment> {
    match outcome {
        TryOutcome::Answered => {
            server.adapt_limit(false);
            Some(server.assess(latency, median_log_latency))
        }
        TryOutcome::Refused => {
            server.adapt_limit(true);
            None
        }
        TryOutcome::NotSent | TryOutcome::Broken => Some(TryAssessment::Failed),
        TryOutcome::Cancelled => assess_cancelled(server, latency, median_log_latency),
    }
}

/// Assesses a cancelled try. Its answer would have taken at least `latency`, but how long is
/// unknown. The try is therefore used only if it shows that the backend server is slower than the
/// median.
fn assess_cancelled(
    server: &mut Server,
    latency: Duration,
    median_log_latency: Option<f64>,
) -> Option<TryAssessment> {
    let log = (latency.as_micros().max(1) as f64).ln();
    if median_log_latency.is_some_and(|median_log_latency| log > median_log_latency) {
        Some(server.assess(latency, median_log_latency))
    } else {
        None
    }
}
