//! Point 7: a backend server that is leaving receives no new work after a few seconds.

use std::time::Duration;

use daisy_history::{EventKind, leaving, own_answer};
use daisy_standin::{Faults, load::Load, platform::VmChange};
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

/// The entry VMs' own bound is 2 s; the VM list lags by 300 ms, and they read it every 200 ms.
const WITHIN: Duration = Duration::from_secs(4);

async fn check(cluster: &Cluster, load: Load) {
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");
    let history = cluster.history(vec![callers.history()]);
    assert_none(leaving::check(&history, &leaving::Options { time_limit: WITHIN }));
    assert_none(own_answer::check(&history));
    assert!(report.answered * 10 > report.requests * 9, "{report}");
}

/// The platform marks a worker as leaving while requests come. After a few seconds it is taken
/// away; what was still sent there would be cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_the_platform_takes_back_gets_nothing_new() {
    let mut cluster = Cluster::start("platform-leaving", Shape::default()).await;
    cluster.create_service(2).await;

    let load = Load::start(cluster.load(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(800)).await;
    cluster.change_vm(&VmChange::Leave(cluster.workers[0].0.id)).await;

    check(&cluster, load).await;
}

/// The platform goes down just before an operator drains a worker... so the drain reaches the
/// log only when it is back; but the backend server itself says in its answers that it leaves.
/// The entry VMs must heed that without any log or VM list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_says_so_gets_nothing_new_while_the_platform_is_down() {
    let mut cluster = Cluster::start("self-leaving", Shape::default()).await;
    cluster.create_service(2).await;

    let load = Load::start(cluster.load(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(500)).await;
    cluster.platform_faults(Faults { down: true, ..Faults::default() }).await;
    let backend = cluster.at.backend(cluster.workers[0].0.id);
    cluster.set_faults(backend, Faults { leaving: true, ..Faults::default() }).await;

    check(&cluster, load).await;
}

/// An operator drains a worker; an entry VM is frozen at that moment and wakes with old routes.
/// It has a few seconds from then on, as everybody else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_vm_gets_nothing_new() {
    let mut cluster = Cluster::start("drained", Shape::default()).await;
    cluster.create_service(2).await;
    let name = cluster.workers[0].0.name.clone();

    let load = Load::start(cluster.load(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(800)).await;
    cluster.accept(&format!("drain vm {name}")).await;
    cluster.operator.recorder().record(EventKind::Drained { vm: name });

    check(&cluster, load).await;
}
