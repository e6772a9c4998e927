//! Guarantee 2: no task ever runs in two places at the same time.

use std::time::Duration;

use daisy_history::{EventKind, one_place};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

const CREATE_RENDERS: &str = "create job renders team web tasks 24 cpu 1 memory 256Mi restartable";

/// The holder is killed while it starts tasks, and the workers lose some of their answers to it:
/// neither the holder nor its successor can know from the log which tasks have started. If the
/// successor started them again without querying the workers, a task would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_killed_in_mid_start_leaves_no_task_twice() {
    let mut cluster = Cluster::start("killed-holder", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { lose_answers: 3, ..Faults::default() };
        cluster.set_faults(cluster.addresses.control(vm.id), faults).await;
    }
    let holder = cluster.wait_for_holder(0).await;

    cluster.submit_statement(CREATE_RENDERS).await;
    cluster.wait_for_task_start(1, Duration::from_secs(10)).await;
    cluster.kill_entry(holder);
    cluster.wait_for_done_tasks(1, 24, Duration::from_secs(20)).await;

    assert_no_violations(one_place::check(&cluster.history(Vec::new())));
}

/// A worker is cut off from every entry VM for longer than its lease. Its tasks may continue until
/// the lease expires by its own clock; if a task were started elsewhere before, it would run in two
/// places. Afterwards the worker is reconnected and the remaining tasks are done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_is_cut_off_keeps_its_tasks_until_their_lease_lapses() {
    let config = ClusterConfig { run_ms: 1_500, ..ClusterConfig::default() };
    let mut cluster = Cluster::start("cut-worker", config).await;
    cluster.create_service(2).await;
    let entry_names = cluster.entries.iter().map(|(vm, _)| vm.name.clone()).collect();
    let control = cluster.addresses.control(cluster.workers[0].0.id);

    cluster.submit_statement(CREATE_RENDERS).await;
    cluster.wait_for_task_start(1, Duration::from_secs(10)).await;
    cluster.set_faults(control, Faults { cut: entry_names, ..Faults::default() }).await;
    sleep(Duration::from_millis(5_500)).await;
    cluster.set_faults(control, Faults::default()).await;
    cluster.wait_for_done_tasks(1, 24, Duration::from_secs(20)).await;

    assert_no_violations(one_place::check(&cluster.history(Vec::new())));
}

/// The network delivers calls of a holder a second time, after later calls. The worker starts each
/// incarnation once; if the holder used an incarnation number twice, a task would never start or
/// would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replayed_calls_start_nothing_twice() {
    let mut cluster = Cluster::start("replayed", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { replay: 50, lose_per_mille: 200, seed: 7, ..Faults::default() };
        cluster.set_faults(cluster.addresses.control(vm.id), faults).await;
    }

    cluster.submit_statement(CREATE_RENDERS).await;
    cluster.wait_for_done_tasks(1, 24, Duration::from_secs(20)).await;

    assert_no_violations(one_place::check(&cluster.history(Vec::new())));
}

/// The network delays the holder's calls; the holder is killed, and its successor waits for as long
/// as a start by the old holder could still take effect, then starts the tasks again. The delayed
/// calls arrive only after that. If a worker accepted them, it would run tasks that run elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_holders_late_calls_start_nothing() {
    let config = ClusterConfig {
        run_ms: 4_000,
        heartbeat_ms: 100,
        holder_timeout_ms: 500,
        worker_lease_ms: 1_500,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start("late-calls", config).await;
    cluster.create_service(2).await;
    let holder = cluster.wait_for_holder(0).await;

    for (vm, _) in &cluster.workers {
        let faults = Faults { late_calls: 1_000, late_ms: 9_500, ..Faults::default() };
        cluster.set_faults(cluster.addresses.control(vm.id), faults).await;
    }
    cluster
        .submit_statement("create job renders team web tasks 4 cpu 1 memory 256Mi restartable")
        .await;
    sleep(Duration::from_secs(1)).await;
    cluster.kill_entry(holder);
    for (vm, _) in &cluster.workers {
        cluster.set_faults(cluster.addresses.control(vm.id), Faults::default()).await;
    }
    cluster.wait_for_done_tasks(1, 4, Duration::from_secs(20)).await;

    let history = cluster.history(Vec::new());
    assert_no_violations(one_place::check(&history));
    let is_rejection = |kind: &EventKind| matches!(kind, EventKind::EpochRefused { .. });
    assert!(
        history.events().iter().any(|event| is_rejection(&event.kind)),
        "no delayed call was rejected"
    );
}
