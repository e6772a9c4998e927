//! Guarantee 7: a backend server that is leaving receives no new work after a few seconds.

use std::time::Duration;

use daisy_history::{EventKind, leaving, own_answer};
use daisy_standin::{Faults, load::Load, platform::VmChange};
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

/// The time after which a leaving server may receive no new request. The entry VMs' own limit is
/// 2 s; the VM list is delayed by 300 ms, and they read it every 200 ms.
const TIME_LIMIT: Duration = Duration::from_secs(4);

/// Waits for the end of the load and checks the histories.
async fn finish_and_check(cluster: &Cluster, load: Load) {
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");
    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(leaving::check(&history, &leaving::Options { time_limit: TIME_LIMIT }));
    assert_no_violations(own_answer::check(&history));
    assert!(report.answered * 10 > report.requests * 9, "{report}");
}

/// The platform marks a worker as leaving under load. After a few seconds it takes the VM away,
/// which would cut off all requests that are still sent there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_the_platform_takes_back_gets_nothing_new() {
    let mut cluster = Cluster::start("platform-leaving", ClusterConfig::default()).await;
    cluster.create_service(2).await;

    let load = Load::start(cluster.load_options(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(800)).await;
    cluster.change_vm(&VmChange::Leave(cluster.workers[0].0.id)).await;

    finish_and_check(&cluster, load).await;
}

/// The platform goes down just before an operator drains a worker, so that the drain cannot reach
/// the log until the platform is up again; but the backend server itself states in its answers that
/// it is leaving. The entry VMs must honour that without the log or the VM list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_says_so_gets_nothing_new_while_the_platform_is_down() {
    let mut cluster = Cluster::start("self-leaving", ClusterConfig::default()).await;
    cluster.create_service(2).await;

    let load = Load::start(cluster.load_options(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(500)).await;
    cluster.set_platform_faults(Faults { down: true, ..Faults::default() }).await;
    let backend = cluster.addresses.backend(cluster.workers[0].0.id);
    cluster.set_faults(backend, Faults { leaving: true, ..Faults::default() }).await;

    finish_and_check(&cluster, load).await;
}

/// An operator drains a worker under load. After a few seconds, no entry VM may send new requests
/// there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_vm_gets_nothing_new() {
    let mut cluster = Cluster::start("drained", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    let name = cluster.workers[0].0.name.clone();

    let load = Load::start(cluster.load_options(800, 100.0)).await.expect("callers");
    sleep(Duration::from_millis(800)).await;
    cluster.submit_statement(&format!("drain vm {name}")).await;
    cluster.operator.recorder().record(EventKind::Drained { vm: name });

    finish_and_check(&cluster, load).await;
}
