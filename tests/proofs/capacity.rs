//! Guarantee 1: no VM is ever given more work than its capacity.

use std::time::Duration;

use daisy_history::{EventKind, capacity, one_place};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

/// Starts a cluster whose workers start every task that they are ordered to, so that only the
/// holders' accounting keeps them within their capacity.
async fn start_overcommitting_cluster(test: &str) -> Cluster {
    let cluster = Cluster::start(test, ClusterConfig::default()).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { overcommit: true, ..Faults::default() };
        cluster.set_faults(cluster.addresses.control(vm.id), faults).await;
    }
    cluster
}

/// Forty tasks are submitted at once for six free cores. If the holder's accounting were wrong, it
/// would start more tasks than fit, and services on the same workers would slow down. The workers
/// here reject nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_starts_overfills_no_worker() {
    let mut cluster = start_overcommitting_cluster("burst").await;
    cluster.create_service(2).await;

    cluster.submit_statement("create job renders team web tasks 40 cpu 1 memory 256Mi").await;
    cluster.wait_for_done_tasks(1, 40, Duration::from_secs(15)).await;

    let history = cluster.history(Vec::new());
    assert_no_violations(capacity::check(&history));
    assert_no_violations(one_place::check(&history));
}

/// The holder is paused during a burst. Another entry VM becomes the holder and places tasks; then
/// the old holder resumes with unsent orders and outdated accounting. If its orders were carried
/// out, a worker would run both holders' tasks at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_holder_that_wakes_overfills_no_worker() {
    let mut cluster = start_overcommitting_cluster("frozen-holder").await;
    cluster.create_service(2).await;
    let holder = cluster.wait_for_holder(0).await;

    cluster.submit_statement("create job renders team web tasks 60 cpu 1 memory 256Mi").await;
    cluster.wait_for_done_tasks(1, 5, Duration::from_secs(10)).await;
    cluster.entries[holder].1.pause();
    sleep(Duration::from_millis(2_500)).await;
    cluster.entries[holder].1.resume();
    cluster.wait_for_done_tasks(1, 60, Duration::from_secs(20)).await;

    let history = cluster.history(Vec::new());
    assert_no_violations(capacity::check(&history));
    assert_no_violations(one_place::check(&history));
}

/// The holder is cut off from its peers and the log, but not from the workers, when most tasks of a
/// burst are checked out and not started. It continues with these; a peer that receives no
/// heartbeat from it becomes the holder. Both reach the workers: if these accepted the orders of
/// both, they would run twice as much as fits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_holders_that_reach_the_workers_overfill_none() {
    let mut cluster = start_overcommitting_cluster("two-holders").await;
    cluster.create_service(2).await;
    let holder = cluster.wait_for_holder(0).await;
    let link = cluster.insert_link_around_entry(holder).await;

    cluster
        .submit_statement("create job renders team web tasks 40 cpu 1 memory 256Mi restartable")
        .await;
    cluster.wait_for_task_start(1, Duration::from_secs(10)).await;
    cluster.isolate_entry(&link, holder).await;
    sleep(Duration::from_secs(4)).await;
    cluster.reconnect_entry(&link, holder).await;
    cluster.wait_for_done_tasks(1, 40, Duration::from_secs(25)).await;

    let history = cluster.history(Vec::new());
    assert_no_violations(capacity::check(&history));
    assert_no_violations(one_place::check(&history));
    let is_rejection = |kind: &EventKind| matches!(kind, EventKind::EpochRefused { .. });
    let has_rejection = history.events().iter().any(|event| is_rejection(&event.kind));
    assert!(has_rejection, "no worker rejected an order of the old holder after its successor's");
}
