//! Counters, gauges and latencies in the Prometheus text format.

use std::{
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use daisy_admission::{CapacityReport, Decision, Verdict};
use daisy_platform::LogUsage;
use daisy_workflow::{Evacuations, ShardId};
use http::{Method, StatusCode};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// The upper bounds of the latency histogram in seconds: from an answer out of memory to the
/// longest time that callers wait.
const LATENCY_BUCKETS: [f64; 9] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 3.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    method: &'static str,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShardLabels {
    shard: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DataCentreLabels {
    data_centre: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LogCallLabels {
    call: &'static str,
    topic: &'static str,
}

/// The metrics of a process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    starts: Family<OutcomeLabels, Counter>,
    ends: Family<OutcomeLabels, Counter>,
    lost_runs: Counter,
    ownership: Family<OutcomeLabels, Counter>,
    backlog: Family<ShardLabels, Gauge>,
    usable_workers: Family<ShardLabels, Gauge>,
    evacuated: Family<DataCentreLabels, Gauge>,
    admissions: Family<OutcomeLabels, Counter>,
    spare_cpu: Family<ShardLabels, Gauge>,
    short_cpu: Family<ShardLabels, Gauge>,
    log_calls: Family<LogCallLabels, Counter>,
    log_bytes: Family<LogCallLabels, Counter>,
    refused_records: Counter,
    removed_jobs: Counter,
    closed_connections: Counter,
    is_reader: Gauge,
    followers: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Metrics {
        let metrics = Metrics {
            registry: Arc::default(),
            requests: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            starts: Family::default(),
            ends: Family::default(),
            lost_runs: Counter::default(),
            ownership: Family::default(),
            backlog: Family::default(),
            usable_workers: Family::default(),
            evacuated: Family::default(),
            admissions: Family::default(),
            spare_cpu: Family::default(),
            short_cpu: Family::default(),
            log_calls: Family::default(),
            log_bytes: Family::default(),
            refused_records: Counter::default(),
            removed_jobs: Counter::default(),
            closed_connections: Counter::default(),
            is_reader: Gauge::default(),
            followers: Gauge::default(),
        };
        let mut registry = Registry::with_prefix("daisyshift");
        registry.register("requests", "Callers' requests", metrics.requests.clone());
        let help = "Time from a request's head to its answer";
        registry.register("request_seconds", help, metrics.latency.clone());
        registry.register("starts", "Orders to start a task", metrics.starts.clone());
        registry.register("ends", "Runs that workers list as ended", metrics.ends.clone());
        let help = "Runs given up without word from their worker";
        registry.register("lost_runs", help, metrics.lost_runs.clone());
        registry.register("ownership", "Changes of the owner", metrics.ownership.clone());
        registry.register("backlog", "Jobs not ended", metrics.backlog.clone());
        let help = "Workers that take new tasks";
        registry.register("usable_workers", help, metrics.usable_workers.clone());
        let help = "Records that the log does not store";
        registry.register("refused_records", help, metrics.refused_records.clone());
        let help = "Ended jobs whose records were requested to be removed from the log";
        registry.register("removed_jobs", help, metrics.removed_jobs.clone());
        let help = "Connections closed to make place for others";
        registry.register("closed_connections", help, metrics.closed_connections.clone());
        let help = "Data centres whose workers get no new tasks";
        registry.register("evacuated", help, metrics.evacuated.clone());
        let help = "Decisions on long-running jobs";
        registry.register("admissions", help, metrics.admissions.clone());
        let help = "Thousandths of a core that more long-running tasks could reserve";
        registry.register("spare_cpu", help, metrics.spare_cpu.clone());
        let help = "Thousandths of a core that finite work lacks";
        registry.register("short_cpu", help, metrics.short_cpu.clone());
        registry.register("log_calls", "Calls to the log", metrics.log_calls.clone());
        let help = "Bytes of the bodies of calls to the log, both ways";
        registry.register("log_bytes", help, metrics.log_bytes.clone());
        let help = "Whether this VM reads the log for others";
        registry.register("reader", help, metrics.is_reader.clone());
        let help = "Connections of VMs that read from this one";
        registry.register("followers", help, metrics.followers.clone());
        *metrics.registry.lock().unwrap_or_else(PoisonError::into_inner) = registry;
        metrics
    }

    /// Counts a caller's request and records its latency.
    pub fn count_request(&self, method: &Method, status: StatusCode, took: Duration) {
        let method = match *method {
            Method::POST => "post",
            Method::GET => "get",
            Method::DELETE => "delete",
            _ => "other",
        };
        self.requests.get_or_create(&RequestLabels { method, status: status.as_u16() }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts an order to start a task.
    pub fn count_start(&self, outcome: &'static str) {
        self.starts.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a run that ended.
    pub fn count_run_end(&self, outcome: &'static str) {
        self.ends.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a run that was given up as lost.
    pub fn count_lost_run(&self) {
        self.lost_runs.inc();
    }

    /// Counts records that the log does not store.
    pub fn count_refused_records(&self, count: usize) {
        self.refused_records.inc_by(count as u64);
    }

    /// Counts ended jobs whose records are removed from the log.
    pub fn count_removed_jobs(&self, count: usize) {
        self.removed_jobs.inc_by(count as u64);
    }

    /// Counts a connection of a caller that was closed to make place for another.
    pub fn count_closed_connection(&self) {
        self.closed_connections.inc();
    }

    /// Counts the start or end of an ownership of this process.
    pub fn count_ownership_change(&self, outcome: &'static str) {
        self.ownership.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Sets the number of unfinished jobs and of workers that accept new tasks, for a shard that
    /// this process owns; both are 0 for a shard that it no longer owns.
    pub fn set_shard_gauges(&self, shard: ShardId, jobs: usize, usable_workers: usize) {
        let labels = ShardLabels { shard: shard.0 };
        self.backlog.get_or_create(&labels).set(jobs as i64);
        self.usable_workers.get_or_create(&labels).set(usable_workers as i64);
    }

    /// Counts a decision on a long-running job.
    pub fn count_admission(&self, decision: &Decision) {
        let outcome = match decision.verdict {
            Verdict::Accept => "accepted",
            Verdict::AcceptUnknown => "accepted_unknown",
            Verdict::Reject(_) => "rejected",
        };
        self.admissions.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Sets what the workers of a shard that this process owns can still take.
    pub fn set_capacity(&self, shard: ShardId, reports: &[CapacityReport]) {
        let labels = ShardLabels { shard: shard.0 };
        let spare_cpu: u64 = reports.iter().map(|it| it.plan.spare_cpu).sum();
        let short_cpu: u64 = reports.iter().map(|it| it.plan.short_cpu).sum();
        self.spare_cpu.get_or_create(&labels).set(spare_cpu as i64);
        self.short_cpu.get_or_create(&labels).set(short_cpu as i64);
    }

    /// Sets the calls to the log so far.
    pub fn set_log_usage(&self, usage: &[LogUsage]) {
        for it in usage {
            let labels = LogCallLabels { call: it.call.label(), topic: it.topic };
            self.log_calls.get_or_create(&labels).inner().store(it.calls, Ordering::Relaxed);
            self.log_bytes.get_or_create(&labels).inner().store(it.bytes, Ordering::Relaxed);
        }
    }

    /// Sets whether this process reads the log for others.
    pub fn set_reader(&self, is_reader: bool) {
        self.is_reader.set(i64::from(is_reader));
    }

    /// Adds to the number of connections of VMs that read from this process.
    pub fn add_followers(&self, change: i64) {
        self.followers.inc_by(change);
    }

    /// Sets which data centres are evacuated.
    pub fn set_evacuations(&self, evacuations: &Evacuations) {
        self.evacuated.clear();
        for (data_centre, _) in evacuations.iter() {
            let labels = DataCentreLabels { data_centre: data_centre.to_owned() };
            self.evacuated.get_or_create(&labels).set(1);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(e) = encode(&mut text, &registry) {
            log::warn!("event=metrics_failed cause=\"{e}\"");
        }
        text
    }
}
