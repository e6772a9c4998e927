//! Several faults at once, and the same fault twice.

use std::time::Duration;

use daisy_history::{
    at_most_once, capacity, configuration, not_run, one_place, own_answer, planned_stop, resume,
};
use daisy_standin::{
    Faults, Recorder,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

const RENDERS: &str =
    "create job renders team web tasks 30 cpu 1 memory 256Mi may delay, evict restartable";

fn check(cluster: &Cluster, callers: &Recorder) {
    let history = cluster.history(vec![callers.history()]);
    assert_none(capacity::check(&history));
    assert_none(one_place::check(&history));
    assert_none(resume::check(&history, &resume::Options::default()));
    assert_none(own_answer::check(&history));
    assert_none(not_run::check(&history));
    assert_none(at_most_once::check(&history));
    let options = configuration::Options { time_limit: Duration::from_secs(5) };
    assert_none(configuration::check(&history, &options));
}

fn orders(cluster: &Cluster, count: u64) -> Options {
    Options { keyed_per_mille: 500, ..cluster.load(count, 60.0) }
}

/// The holder is frozen twice while the log loses answers, so that its claim, its successor's
/// and the tasks checked out are all sent more than once. Batch work must get done, once each,
/// and orders stay single.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_frozen_twice_while_the_log_loses_answers() {
    let shape = Shape { dcs: vec![("porto", "north", 3, 2)], ..Shape::default() };
    let mut cluster = Cluster::start("frozen-twice", shape).await;
    cluster.create_service(2).await;
    cluster.keys_settled().await;
    let faults = Faults { lose_per_mille: 300, seed: 21, ..Faults::default() };
    cluster.platform_faults(faults).await;

    let load = Load::start(orders(&cluster, 500)).await.expect("callers");
    let callers = load.recorder();
    cluster.accept(RENDERS).await;
    for _ in 0..2 {
        let holder = cluster.holder(0).await;
        cluster.entries[holder].1.freeze();
        sleep(Duration::from_millis(2_500)).await;
        cluster.entries[holder].1.thaw();
        sleep(Duration::from_millis(500)).await;
    }
    load.finish().await.expect("a report");
    cluster.done(1, 30, Duration::from_secs(15)).await;

    check(&cluster, &callers);
}

/// A data centre is cut off, and its holder is killed in the cut: its successor cannot claim in
/// the log until the cut heals, and the workers there go on under leases that nobody may renew
/// for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_cut_while_its_holder_is_replaced() {
    let dcs = vec![("porto", "north", 2, 2), ("lisbon", "south", 2, 2)];
    let mut cluster = Cluster::start("cut-holder", Shape { dcs, ..Shape::default() }).await;
    let link = cluster.link_off(1).await;
    cluster.create_service(4).await;
    cluster.keys_settled().await;

    let load = Load::start(orders(&cluster, 500)).await.expect("callers");
    let callers = load.recorder();
    cluster.accept(RENDERS).await;
    let holder = cluster.holder(1).await;
    cluster.cut(&link, 1).await;
    sleep(Duration::from_millis(500)).await;
    cluster.kill_entry(holder);
    sleep(Duration::from_millis(3_000)).await;
    cluster.heal(&link, 1).await;
    load.finish().await.expect("a report");
    cluster.done(1, 30, Duration::from_secs(20)).await;

    check(&cluster, &callers);
}

/// Entry VMs are replaced one after the other while policies are published. Each fresh one must
/// come up with the newest, and no request is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_during_configuration_changes() {
    let mut cluster = Cluster::start("rolling-config", Shape::default()).await;
    cluster.create_service(2).await;
    cluster.keys_settled().await;

    let load = Load::start(orders(&cluster, 600)).await.expect("callers");
    let callers = load.recorder();
    cluster.accept("publish policy tail=700").await;
    cluster.roll(Duration::from_secs(12)).await;
    cluster.accept("publish policy tail=701").await;
    let report = load.finish().await.expect("a report");

    check(&cluster, &callers);
    let history = cluster.history(vec![callers.history()]);
    assert_none(planned_stop::check(&history));
    assert_eq!(report.answered, report.requests, "{report}");
}
