//! Point 5: when the system says that a request was not run, it was not run.

use std::time::Duration;

use daisy_history::{CallOutcome, EventKind, not_run, own_answer};
use daisy_standin::{
    Faults,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

/// Twice as many requests come as the backend servers can work on, and one of them loses
/// answers, refuses connections and is killed in the end. Callers that are told "not run"
/// order elsewhere; if the request had run, they would get two deliveries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_and_broken_connections_make_no_false_denials() {
    let mut cluster = Cluster::start("denials", Shape::default()).await;
    cluster.create_service(2).await;
    let backend = cluster.at.backend(cluster.workers[0].0.id);

    let options = Options {
        service_ms: Some(60),
        keyed_per_mille: 500,
        deadline: Duration::from_millis(800),
        ..cluster.load(1_800, 450.0)
    };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    sleep(Duration::from_millis(800)).await;
    let lost = Faults { lose_per_mille: 200, seed: 5, ..Faults::default() };
    cluster.set_faults(backend, lost).await;
    sleep(Duration::from_millis(800)).await;
    cluster.set_faults(backend, Faults { refuse: true, ..Faults::default() }).await;
    sleep(Duration::from_millis(800)).await;
    cluster.set_faults(backend, Faults::default()).await;
    sleep(Duration::from_millis(400)).await;
    cluster.workers[0].1.kill(None);
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_none(not_run::check(&history));
    assert_none(own_answer::check(&history));
    let denied = |kind: &EventKind| {
        matches!(kind, EventKind::CallEnded { outcome: CallOutcome::NotRun, .. })
    };
    assert!(history.events().iter().any(|event| denied(&event.kind)), "no overload: {report}");
}
