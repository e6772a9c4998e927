//! Point 8: a planned stop is a graceful shutdown: it cuts off no request in flight.

use std::time::Duration;

use daisy_history::{at_most_once, not_run, own_answer, planned_stop};
use daisy_standin::load::{Load, Options};
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

const STOP: Duration = Duration::from_secs(12);

/// Callers who wait long enough to come back after an honest refusal.
///
/// The load stays far below the slots: the entry VMs that stay learn only by and by that the
/// slots are theirs alone, and a refusal for want of slots says nothing about the stop.
fn patient(cluster: &Cluster, count: u64, rate: f64) -> Options {
    Options { deadline: Duration::from_secs(6), ..cluster.load(count, rate) }
}

async fn check(cluster: &Cluster, load: Load) {
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");
    let history = cluster.history(vec![callers.history()]);
    assert_none(planned_stop::check(&history));
    assert_none(own_answer::check(&history));
    assert_none(at_most_once::check(&history));
    assert_none(not_run::check(&history));
    assert_eq!(report.answered, report.requests, "{report}");
}

/// An entry VM gets SIGTERM while requests that take 1.2 s, longer than it waits for the balancer,
/// are in flight through it. A process that closed its connections would cut these off; one that
/// closed its port at once would refuse callers whom the balancer still sends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_load_cuts_off_nothing() {
    let mut cluster = Cluster::start("stop", Shape::default()).await;
    cluster.create_service(2).await;
    cluster.keys_settled().await;

    let options =
        Options { service_ms: Some(1_200), keyed_per_mille: 300, ..patient(&cluster, 24, 4.0) };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_secs(1)).await;
    cluster.terminate_entry(0);
    let status = cluster.entries[0].1.ended(STOP).await;

    assert!(status.success(), "{status}");
    check(&cluster, load).await;
}

/// All entry VMs are replaced one after the other, as in a rolling upgrade; each new one is
/// ready before the next old one stops. Callers see nothing of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_cuts_off_nothing() {
    let mut cluster = Cluster::start("rolling", Shape::default()).await;
    cluster.create_service(2).await;
    cluster.keys_settled().await;

    let options = Options { service_ms: Some(50), ..patient(&cluster, 400, 40.0) };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_millis(500)).await;
    cluster.roll(STOP).await;

    check(&cluster, load).await;
}

/// Two of three entry VMs stop at the same time, the holder among them, while long requests
/// are in flight. Each hands over to a peer that may be stopping itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_planned_stops_at_once_cut_off_nothing() {
    let shape = Shape { dcs: vec![("porto", "north", 3, 2)], ..Shape::default() };
    let mut cluster = Cluster::start("stops", shape).await;
    cluster.create_service(2).await;
    cluster.keys_settled().await;
    let holder = cluster.holder(0).await;

    let options = Options { service_ms: Some(200), ..patient(&cluster, 60, 15.0) };
    let load = Load::start(options).await.expect("callers");
    sleep(Duration::from_secs(1)).await;
    let other = (holder + 1) % cluster.entries.len();
    cluster.terminate_entry(holder);
    cluster.terminate_entry(other);
    cluster.entries[holder].1.ended(STOP).await;
    cluster.entries[other].1.ended(STOP).await;

    check(&cluster, load).await;
}
