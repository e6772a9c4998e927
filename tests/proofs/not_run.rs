//! Guarantee 5: a request that the system reports as not run has not run.

use std::time::Duration;

use daisy_history::{CallOutcome, EventKind, not_run, own_answer};
use daisy_standin::{
    Faults,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

/// Callers send twice as many requests as the backend servers can process, and one of the servers
/// loses answers, then refuses connections and is finally killed. Callers that are told "not run"
/// may repeat the request elsewhere; if it had run, it would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_and_broken_connections_make_no_false_denials() {
    let mut cluster = Cluster::start("denials", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    let backend = cluster.addresses.backend(cluster.workers[0].0.id);

    let options = Options {
        service_ms: Some(60),
        keyed_per_mille: 500,
        deadline: Duration::from_millis(800),
        ..cluster.load_options(1_800, 450.0)
    };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    sleep(Duration::from_millis(800)).await;
    let lost_answers = Faults { lose_per_mille: 200, seed: 5, ..Faults::default() };
    cluster.set_faults(backend, lost_answers).await;
    sleep(Duration::from_millis(800)).await;
    cluster.set_faults(backend, Faults { refuse: true, ..Faults::default() }).await;
    sleep(Duration::from_millis(800)).await;
    cluster.set_faults(backend, Faults::default()).await;
    sleep(Duration::from_millis(400)).await;
    cluster.workers[0].1.kill(None);
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(not_run::check(&history));
    assert_no_violations(own_answer::check(&history));
    let is_not_run = |kind: &EventKind| {
        matches!(kind, EventKind::CallEnded { outcome: CallOutcome::NotRun, .. })
    };
    assert!(
        history.events().iter().any(|event| is_not_run(&event.kind)),
        "no request was reported as not run: {report}"
    );
}
