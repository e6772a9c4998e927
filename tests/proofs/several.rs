//! Several guarantees at once, under several faults at once or the same fault twice.

use std::time::Duration;

use daisy_history::{
    at_most_once, capacity, configuration, not_run, one_place, own_answer, planned_stop, resume,
};
use daisy_standin::{
    Faults, Recorder,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

const CREATE_RENDERS: &str =
    "create job renders team web tasks 30 cpu 1 memory 256Mi may delay, evict restartable";

/// Checks all guarantees on the histories of a cluster and its callers.
fn check_history(cluster: &Cluster, callers: &Recorder) {
    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(capacity::check(&history));
    assert_no_violations(one_place::check(&history));
    assert_no_violations(resume::check(&history, &resume::Options::default()));
    assert_no_violations(own_answer::check(&history));
    assert_no_violations(not_run::check(&history));
    assert_no_violations(at_most_once::check(&history));
    let options = configuration::Options { time_limit: Duration::from_secs(5) };
    assert_no_violations(configuration::check(&history, &options));
}

/// Returns a load of which half the requests have an idempotency key.
fn keyed_load(cluster: &Cluster, count: u64) -> Options {
    Options { keyed_per_mille: 500, ..cluster.load_options(count, 60.0) }
}

/// The holder is paused twice while the log loses answers, so that its claim, its successor's
/// claim and the checkouts of tasks are all sent more than once. Each batch task must be done once,
/// and no keyed request may run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_frozen_twice_while_the_log_loses_answers() {
    let config = ClusterConfig { dcs: vec![("porto", "north", 3, 2)], ..ClusterConfig::default() };
    let mut cluster = Cluster::start("frozen-twice", config).await;
    cluster.create_service(2).await;
    cluster.wait_for_key_histories().await;
    let faults = Faults { lose_per_mille: 300, seed: 21, ..Faults::default() };
    cluster.set_platform_faults(faults).await;

    let load = Load::start(keyed_load(&cluster, 500)).await.expect("callers");
    let callers = load.recorder();
    cluster.submit_statement(CREATE_RENDERS).await;
    for _ in 0..2 {
        let holder = cluster.wait_for_holder(0).await;
        cluster.entries[holder].1.pause();
        sleep(Duration::from_millis(2_500)).await;
        cluster.entries[holder].1.resume();
        sleep(Duration::from_millis(500)).await;
    }
    load.finish().await.expect("a report");
    cluster.wait_for_done_tasks(1, 30, Duration::from_secs(15)).await;

    check_history(&cluster, &callers);
}

/// A data centre is cut off, and its holder is killed meanwhile: its successor cannot write a claim
/// to the log until the data centre is reconnected, and the workers there continue under leases
/// that must not be renewed for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_cut_while_its_holder_is_replaced() {
    let dcs = vec![("porto", "north", 2, 2), ("lisbon", "south", 2, 2)];
    let mut cluster =
        Cluster::start("cut-holder", ClusterConfig { dcs, ..ClusterConfig::default() }).await;
    let link = cluster.insert_link_around_dc(1).await;
    cluster.create_service(4).await;
    cluster.wait_for_key_histories().await;

    let load = Load::start(keyed_load(&cluster, 500)).await.expect("callers");
    let callers = load.recorder();
    cluster.submit_statement(CREATE_RENDERS).await;
    let holder = cluster.wait_for_holder(1).await;
    cluster.isolate_dc(&link, 1).await;
    sleep(Duration::from_millis(500)).await;
    cluster.kill_entry(holder);
    sleep(Duration::from_millis(3_000)).await;
    cluster.reconnect_dc(&link, 1).await;
    load.finish().await.expect("a report");
    cluster.wait_for_done_tasks(1, 30, Duration::from_secs(20)).await;

    check_history(&cluster, &callers);
}

/// Entry VMs are replaced one after the other while policies are published. Each replacement must
/// start with the newest policy, and no request may be cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_during_configuration_changes() {
    let mut cluster = Cluster::start("rolling-config", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    cluster.wait_for_key_histories().await;

    let load = Load::start(keyed_load(&cluster, 600)).await.expect("callers");
    let callers = load.recorder();
    cluster.submit_statement("publish policy tail=700").await;
    cluster.replace_all_entries(Duration::from_secs(12)).await;
    cluster.submit_statement("publish policy tail=701").await;
    let report = load.finish().await.expect("a report");

    check_history(&cluster, &callers);
    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(planned_stop::check(&history));
    assert_eq!(report.answered, report.requests, "{report}");
}
