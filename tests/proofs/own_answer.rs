//! Guarantee 4: every caller receives the complete answer to its own request.

use std::time::Duration;

use daisy_history::{not_run, own_answer};
use daisy_standin::{
    Faults,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_no_violations, cluster::Cluster, cluster_config::ClusterConfig};

/// Backend servers truncate answers, send them twice, send them under another id, or send the
/// complete answer to another request. A caller would then read another caller's data, or only a
/// part of its own. The entry VMs must not forward any such answer as the caller's own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mangled_answers_reach_nobody() {
    let mut cluster = Cluster::start("mangled", ClusterConfig::default()).await;
    cluster.create_service(2).await;
    for (vm, _) in &cluster.workers {
        let faults = Faults {
            truncate: 10,
            doubled: 10,
            wrong_id: 10,
            reorder: 10,
            late_ms: 5,
            ..Faults::default()
        };
        cluster.set_faults(cluster.addresses.backend(vm.id), faults).await;
    }

    let options = Options { answer_bytes: 4_000, ..cluster.load_options(400, 100.0) };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(own_answer::check(&history));
    assert_no_violations(not_run::check(&history));
    assert_eq!(report.wrong, 0, "{report}");
    assert!(report.answered > 300, "{report}");
}

/// A backend server is killed while it streams long answers. Its callers have received a part by
/// then, which must not look like a complete answer. If the request is retried elsewhere, the
/// answer must be complete and from one server only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_killed_in_mid_answer_gives_no_half_answer() {
    let mut cluster = Cluster::start("killed-backend", ClusterConfig::default()).await;
    cluster.create_service(2).await;

    let stream = Some((20, 10));
    let options = Options { answer_bytes: 100_000, stream, ..cluster.load_options(60, 15.0) };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    sleep(Duration::from_secs(1)).await;
    cluster.workers[0].1.kill(None);
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_no_violations(own_answer::check(&history));
    assert_eq!(report.wrong, 0, "{report}");
    assert!(report.answered > 45, "{report}");
}
