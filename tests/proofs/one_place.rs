//! Point 2: no task ever runs in two places at once.

use std::time::Duration;

use daisy_history::{EventKind, one_place};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

const RENDERS: &str = "create job renders team web tasks 24 cpu 1 memory 256Mi restartable";

/// The holder is killed while it starts tasks, and the workers lost some of its answers: it
/// and its successor cannot know from the log which tasks have started. Started again without
/// asking the workers, a render would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_killed_in_mid_start_leaves_no_task_twice() {
    let mut cluster = Cluster::start("killed-holder", Shape::default()).await;
    cluster.create_service(2).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { lose_answers: 3, ..Faults::default() };
        cluster.set_faults(cluster.at.control(vm.id), faults).await;
    }
    let holder = cluster.holder(0).await;

    cluster.accept(RENDERS).await;
    cluster.runs(1, Duration::from_secs(10)).await;
    cluster.kill_entry(holder);
    cluster.done(1, 24, Duration::from_secs(20)).await;

    assert_none(one_place::check(&cluster.history(Vec::new())));
}

/// A worker is cut off from every entry VM for longer than its lease. Its tasks may go on
/// until the lease lapses by its own clock; started elsewhere before that, a task would run
/// in two places. Afterwards the worker comes back and the rest gets done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_is_cut_off_keeps_its_tasks_until_their_lease_lapses() {
    let shape = Shape { run_ms: 1_500, ..Shape::default() };
    let mut cluster = Cluster::start("cut-worker", shape).await;
    cluster.create_service(2).await;
    let names = cluster.entries.iter().map(|(vm, _)| vm.name.clone()).collect();
    let control = cluster.at.control(cluster.workers[0].0.id);

    cluster.accept(RENDERS).await;
    cluster.runs(1, Duration::from_secs(10)).await;
    cluster.set_faults(control, Faults { cut: names, ..Faults::default() }).await;
    sleep(Duration::from_millis(5_500)).await;
    cluster.set_faults(control, Faults::default()).await;
    cluster.done(1, 24, Duration::from_secs(20)).await;

    assert_none(one_place::check(&cluster.history(Vec::new())));
}

/// The network delivers a holder's call a second time, after the calls that came later. The
/// worker starts each incarnation once; an incarnation number used twice by the holder would
/// show as a task that never starts or runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replayed_calls_start_nothing_twice() {
    let mut cluster = Cluster::start("replayed", Shape::default()).await;
    cluster.create_service(2).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults { replay: 50, lose_per_mille: 200, seed: 7, ..Faults::default() };
        cluster.set_faults(cluster.at.control(vm.id), faults).await;
    }

    cluster.accept(RENDERS).await;
    cluster.done(1, 24, Duration::from_secs(20)).await;

    assert_none(one_place::check(&cluster.history(Vec::new())));
}

/// The network holds the holder's calls back; the holder is killed, and its successor waits as
/// long as any start of it could still take effect, then starts the tasks anew. Only then do
/// the old calls come. A worker that obeyed them would run tasks that run elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_holders_late_calls_start_nothing() {
    let shape = Shape {
        run_ms: 4_000,
        heartbeat_ms: 100,
        holder_timeout_ms: 500,
        worker_lease_ms: 1_500,
        ..Shape::default()
    };
    let mut cluster = Cluster::start("late-calls", shape).await;
    cluster.create_service(2).await;
    let holder = cluster.holder(0).await;

    for (vm, _) in &cluster.workers {
        let faults = Faults { late_calls: 1_000, late_ms: 9_500, ..Faults::default() };
        cluster.set_faults(cluster.at.control(vm.id), faults).await;
    }
    cluster.accept("create job renders team web tasks 4 cpu 1 memory 256Mi restartable").await;
    sleep(Duration::from_secs(1)).await;
    cluster.kill_entry(holder);
    for (vm, _) in &cluster.workers {
        cluster.set_faults(cluster.at.control(vm.id), Faults::default()).await;
    }
    cluster.done(1, 4, Duration::from_secs(20)).await;

    let history = cluster.history(Vec::new());
    assert_none(one_place::check(&history));
    let refused = |kind: &EventKind| matches!(kind, EventKind::EpochRefused { .. });
    assert!(history.events().iter().any(|event| refused(&event.kind)), "no call came late");
}
