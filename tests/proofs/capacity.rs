//! Point 1: no VM is ever given more work than it holds.

use std::time::Duration;

use daisy_history::{EventKind, capacity, one_place};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

/// The workers start whatever they are told, so that only the holders' sums keep them within
/// bounds.
async fn overcommitting(test: &str) -> Cluster {
    let cluster = Cluster::start(test, Shape::default()).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { overcommit: true, ..Faults::default() };
        cluster.set_faults(cluster.at.control(vm.id), faults).await;
    }
    cluster
}

/// A burst of forty tasks comes to six free cores. A holder that sums up wrongly would start more
/// than fits, and services on the same worker would crawl. The workers here refuse nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_starts_overfills_no_worker() {
    let mut cluster = overcommitting("burst").await;
    cluster.create_service(2).await;

    cluster.accept("create job renders team web tasks 40 cpu 1 memory 256Mi").await;
    cluster.done(1, 40, Duration::from_secs(15)).await;

    let history = cluster.history(Vec::new());
    assert_none(capacity::check(&history));
    assert_none(one_place::check(&history));
}

/// The holder is frozen in the middle of a burst. Another entry VM takes over and places tasks;
/// then the old holder wakes with orders in hand and sums from before. Were they carried out,
/// a worker would run both holders' tasks at one time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_holder_that_wakes_overfills_no_worker() {
    let mut cluster = overcommitting("frozen-holder").await;
    cluster.create_service(2).await;
    let holder = cluster.holder(0).await;

    cluster.accept("create job renders team web tasks 60 cpu 1 memory 256Mi").await;
    cluster.done(1, 5, Duration::from_secs(10)).await;
    cluster.entries[holder].1.freeze();
    sleep(Duration::from_millis(2_500)).await;
    cluster.entries[holder].1.thaw();
    cluster.done(1, 60, Duration::from_secs(20)).await;

    let history = cluster.history(Vec::new());
    assert_none(capacity::check(&history));
    assert_none(one_place::check(&history));
}

/// The holder is cut off from its peers and the log, but not from the workers, with most of a
/// burst checked out and not started. It goes on by what it has; a peer that hears nothing of
/// it takes over. Both reach the workers: did these obey both, they would run what fits twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_holders_that_reach_the_workers_overfill_none() {
    let mut cluster = overcommitting("two-holders").await;
    cluster.create_service(2).await;
    let holder = cluster.holder(0).await;
    let link = cluster.link_off_entry(holder).await;

    cluster.accept("create job renders team web tasks 40 cpu 1 memory 256Mi restartable").await;
    cluster.runs(1, Duration::from_secs(10)).await;
    cluster.cut_entry(&link, holder).await;
    sleep(Duration::from_secs(4)).await;
    cluster.heal_entry(&link, holder).await;
    cluster.done(1, 40, Duration::from_secs(25)).await;

    let history = cluster.history(Vec::new());
    assert_none(capacity::check(&history));
    assert_none(one_place::check(&history));
    let refused = |kind: &EventKind| matches!(kind, EventKind::EpochRefused { .. });
    let refused = history.events().iter().any(|event| refused(&event.kind));
    assert!(refused, "the old holder never reached a worker after its successor");
}
