//! Guarantee 8: a planned stop is a graceful shutdown, which cuts off no request in flight.

use std::time::Duration;

use daisy_history::{at_most_once, not_run, own_answer, planned_stop};
use daisy_standin::load::{Load, Options};
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

/// Time limit for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns a load whose callers wait long enough to retry after a rejection.
///
/// The load must stay far below the number of slots: the remaining entry VMs learn only gradually
/// that they may use all slots, and a rejection for lack of slots says nothing about the stop.
fn load_with_long_deadline(cluster: &Cluster, count: u64, rate: f64) -> Options {
    Options { deadline: Duration::from_secs(6), ..cluster.load_options(count, rate) }
}

/// Waits for the end of the load and checks the histories.
async fn finish_and_check(cluster: &Cluster, load: Load) {
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");
    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(planned_stop::check(&history));
    assert_no_violations(own_answer::check(&history));
    assert_no_violations(at_most_once::check(&history));
    assert_no_violations(not_run::check(&history));
    assert_eq!(report.answered, report.requests, "{report}");
}

/// An entry VM receives SIGTERM while requests that take 1.2 s, longer than it waits for the load
/// balancer, are in flight through it. If the process closed its connections, it would cut these
/// off; if it closed its port at once, it would reject callers that the load balancer still sends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_load_cuts_off_nothing() {
    let mut cluster = Cluster::start("stop", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    cluster.wait_for_key_histories().await;

    let options = Options {
        service_ms: Some(1_200),
        keyed_per_mille: 300,
        ..load_with_long_deadline(&cluster, 24, 4.0)
    };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_secs(1)).await;
    cluster.terminate_entry(0);
    let status = cluster.entries[0].1.wait_for_exit(STOP_TIMEOUT).await;

    assert!(status.success(), "{status}");
    finish_and_check(&cluster, load).await;
}

/// All entry VMs are replaced one after the other, as in a rolling upgrade; each new one is
/// ready before the next old one stops. Callers must not notice it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_cuts_off_nothing() {
    let mut cluster = Cluster::start("rolling", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    cluster.wait_for_key_histories().await;

    let options = Options { service_ms: Some(50), ..load_with_long_deadline(&cluster, 400, 40.0) };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_millis(500)).await;
    cluster.replace_all_entries(STOP_TIMEOUT).await;

    finish_and_check(&cluster, load).await;
}

/// Two of three entry VMs, one of them the holder, stop at the same time while long requests are in
/// flight. Each transfers its state to a peer that may be stopping itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_planned_stops_at_once_cut_off_nothing() {
    let config = ClusterConfig { dcs: vec![("porto", "north", 3, 2)], ..ClusterConfig::default() };
    let mut cluster = Cluster::start("stops", config).await;
    cluster.create_service(2).await;
    cluster.wait_for_key_histories().await;
    let holder = cluster.wait_for_holder(0).await;

    let options = Options { service_ms: Some(200), ..load_with_long_deadline(&cluster, 60, 15.0) };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_secs(1)).await;
    let other = (holder + 1) % cluster.entries.len();
    cluster.terminate_entry(holder);
    cluster.terminate_entry(other);
    cluster.entries[holder].1.wait_for_exit(STOP_TIMEOUT).await;
    cluster.entries[other].1.wait_for_exit(STOP_TIMEOUT).await;

    finish_and_check(&cluster, load).await;
}
