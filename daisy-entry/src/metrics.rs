//! Metrics of the control side; `docs/OPERATING.md` lists their names and units.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

/// The label of a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// The label of a direction of traffic.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabel {
    direction: &'static str,
}

/// The metrics of the control side; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    pub next_offset: Gauge,
    pub generation: Gauge,
    pub holder: Gauge,
    pub peers_alive: Gauge,
    pub unsent: Gauge,
    pub claims: Counter,
    appends: Family<ResultLabel, Counter>,
    worker_calls: Family<ResultLabel, Counter>,
    statements: Family<ResultLabel, Counter>,
    peer_bytes: Family<DirectionLabel, Counter>,
}

impl Metrics {
    /// Returns the metrics, and the registry that renders them.
    pub fn registered() -> (Metrics, Registry) {
        let it = Metrics::default();
        let mut registry = Registry::with_prefix("daisy");
        let gauges = [
            ("log_next_offset", "Offset of the next log record to fold", &it.next_offset),
            ("config_generation", "Generation of the configuration in force", &it.generation),
            ("holder", "1 while this entry VM holds its data centre", &it.holder),
            ("peers_alive", "Other entry VMs that sent a heartbeat recently", &it.peers_alive),
            ("unsent_records", "Records that wait to be appended", &it.unsent),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register("claims", "Claims of the data centre sent", it.claims.clone());
        registry.register("appends", "Tries to append to the log", it.appends.clone());
        registry.register("worker_calls", "Calls to workers", it.worker_calls.clone());
        registry.register("statements", "Operators' statements", it.statements.clone());
        registry.register_with_unit(
            "peer_exchange",
            "Exchange with other entry VMs, without TCP and IP heads",
            Unit::Bytes,
            it.peer_bytes.clone(),
        );
        (it, registry)
    }

    /// Counts an append attempt.
    pub fn append(&self, confirmed: bool) {
        self.appends.get_or_create(&ResultLabel { result: result(confirmed) }).inc();
    }

    /// Counts a call to a worker.
    pub fn worker_call(&self, answered: bool) {
        self.worker_calls.get_or_create(&ResultLabel { result: result(answered) }).inc();
    }

    /// Counts an answered statement.
    pub fn statement(&self, accepted: bool) {
        self.statements.get_or_create(&ResultLabel { result: result(accepted) }).inc();
    }

    /// Sets the total bytes exchanged with peers.
    pub fn peer_traffic(&self, sent: u64, received: u64) {
        let set = |direction: &'static str, bytes: u64| {
            let counter = self.peer_bytes.get_or_create(&DirectionLabel { direction });
            counter.inc_by(bytes.saturating_sub(counter.get()));
        };
        set("sent", sent);
        set("received", received);
    }
}

fn result(ok: bool) -> &'static str {
    if ok { "ok" } else { "failed" }
}

/// Renders the registry's metrics as text.
pub(crate) fn render(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut text, registry);
    text
}
