//! Metrics of requests; `docs/OPERATING.md` lists their names and units.

use std::time::Duration;

use daisy_wire::headers;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::proxy::body::AnswerBody;

/// Upper bounds of the latency buckets, in seconds: from an answer out of a cache to the time that
/// a caller waits.
const BUCKETS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];
/// The label of an unknown service, so that callers cannot create labels.
const UNKNOWN: &str = "-";

/// Labels of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    service: String,
    outcome: String,
}

/// The label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// The metrics of requests; clones share them.
#[derive(Debug, Clone)]
pub(super) struct RequestMetrics {
    requests: Family<AnswerLabels, Counter>,
    latency: Family<ServiceLabel, Histogram>,
}

impl RequestMetrics {
    pub(super) fn new() -> RequestMetrics {
        RequestMetrics {
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(BUCKETS)),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests answered", self.requests.clone());
        registry.register_with_unit(
            "request_latency",
            "From a request's head to its answer's head",
            Unit::Seconds,
            self.latency.clone(),
        );
    }

    /// Counts an answer to a request that named `service`.
    pub(super) fn answered(
        &self,
        service: Option<&HeaderValue>,
        response: &Response<AnswerBody>,
        took: Duration,
    ) {
        let malformed =
            matches!(response.status(), StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND);
        let is_local_answer = response.headers().contains_key(headers::REASON);
        let named =
            service.and_then(|it| it.to_str().ok()).filter(|_| !(malformed && is_local_answer));
        let service = named.unwrap_or(UNKNOWN).to_owned();
        let outcome = outcome(response.headers()).to_owned();
        self.latency
            .get_or_create(&ServiceLabel { service: service.clone() })
            .observe(took.as_secs_f64());
        self.requests.get_or_create(&AnswerLabels { service, outcome }).inc();
    }
}

fn outcome(map: &HeaderMap) -> &str {
    map.get(headers::OUTCOME).and_then(|it| it.to_str().ok()).unwrap_or(UNKNOWN)
}
