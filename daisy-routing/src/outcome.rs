//! What the end of a try teaches about its backend server and its service.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::{
    QueueDecision, Router, TryId,
    health::{ServiceCondition, Verdict},
    router::ESTIMATED_ANSWER_BYTES,
    server::Server,
    service::ServiceKey,
    slab::Try,
};

/// Of a service's backend servers, at most one in this many is put aside.
const QUARANTINE_AT_MOST_ONE_IN: usize = 2;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryOutcome {
    /// The whole answer came.
    Answered,
    /// The backend server refused it and proved that it did not run.
    Refused,
    /// No connection could be had; nothing was sent.
    NotSent,
    /// It was sent, and what came back is no whole answer, or none in time.
    Broken,
    /// The caller left or another try answered first.
    Cancelled,
}

/// What a try taught about its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TryReport {
    /// How the try ended.
    pub end: TryOutcome,
    /// Requests in progress there after this one, as its answer said.
    pub in_flight: Option<u32>,
    /// Whether its answer said that it is leaving.
    pub leaving: bool,
    /// Bytes of its answer.
    pub bytes: u64,
}

impl TryReport {
    /// The report of a try that ended without an answer.
    pub fn without_answer(end: TryOutcome) -> TryReport {
        TryReport { end, in_flight: None, leaving: false, bytes: 0 }
    }
}

impl Router {
    /// Ends a try; an end that was told before changes nothing.
    pub fn finish(
        &mut self,
        now: Instant,
        try_id: TryId,
        report: TryReport,
        rng: &mut fastrand::Rng,
    ) -> Vec<QueueDecision> {
        let Some(ended) = self.tries.try_remove(try_id) else { return Vec::new() };
        if ended.crosses_region {
            self.region.spend(report.bytes.saturating_sub(ESTIMATED_ANSWER_BYTES));
        }
        let latency = now.since(ended.started_at);
        self.record_for_service(now, ended.service, report.end, latency);
        self.record_for_server(now, &ended, report, latency);
        self.dispatch(now, rng)
    }

    fn record_for_service(
        &mut self,
        now: Instant,
        key: ServiceKey,
        end: TryOutcome,
        latency: Duration,
    ) {
        let share = self.routes.policy.retry_budget;
        let Some(service) = self.services.get_mut(key) else { return };
        service.in_flight = service.in_flight.saturating_sub(1);
        service.completions.add(now);
        service.failure_share.add(matches!(end, TryOutcome::NotSent | TryOutcome::Broken));
        if end == TryOutcome::Answered {
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
        let Some(verdict) = judge(server, report.end, latency, median_log_latency) else { return };
        let before = server.health;
        server.health = before.after_try(verdict, condition, now);
        if server.health.is_quarantined() && !before.is_quarantined() {
            server.mean_latency = Default::default();
        }
    }

    /// Whether enough of the service's backend servers would be left without `vm`.
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

    /// Takes the median speed of each service's backend servers anew.
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

fn judge(
    server: &mut Server,
    end: TryOutcome,
    latency: Duration,
    median_log_latency: Option<f64>,
) -> Option<Verdict> {
    match end {
        TryOutcome::Answered => {
            server.adapt_limit(false);
            Some(server.judge(latency, median_log_latency))
        }
        TryOutcome::Refused => {
            server.adapt_limit(true);
            None
        }
        TryOutcome::NotSent | TryOutcome::Broken => Some(Verdict::Failed),
        TryOutcome::Cancelled => judge_cancelled(server, latency, median_log_latency),
    }
}

/// A try that was cut short took at least so long, which counts only against its server.
fn judge_cancelled(
    server: &mut Server,
    latency: Duration,
    median_log_latency: Option<f64>,
) -> Option<Verdict> {
    let log = (latency.as_micros().max(1) as f64).ln();
    if median_log_latency.is_some_and(|median_log_latency| log > median_log_latency) {
        Some(server.judge(latency, median_log_latency))
    } else {
        None
    }
}
