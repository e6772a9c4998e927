//! Point 4: every caller receives the whole answer to its own request.

use std::time::Duration;

use daisy_history::{not_run, own_answer};
use daisy_standin::{
    Faults,
    load::{Load, Options},
};
use tokio::time::sleep;

use crate::{assert_none, cluster::Cluster, shape::Shape};

/// Backend servers break answers off, send them twice, send them under another id, or send
/// another request's whole answer. A bakery would read another one's prices, or half a list.
/// The entry VMs must pass no such answer on as the caller's own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mangled_answers_reach_nobody() {
    let mut cluster = Cluster::start("mangled", Shape::default()).await;
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
        cluster.set_faults(cluster.at.backend(vm.id), faults).await;
    }

    let options = Options { answer_bytes: 4_000, ..cluster.load(400, 100.0) };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_none(own_answer::check(&history));
    assert_none(not_run::check(&history));
    assert_eq!(report.wrong, 0, "{report}");
    assert!(report.answered > 300, "{report}");
}

/// A backend server is killed while it streams long answers. What its callers have received by
/// then is a part; it must not look like a whole answer. Repeated elsewhere, the answer must
/// be whole and of one piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_killed_in_mid_answer_gives_no_half_answer() {
    let mut cluster = Cluster::start("killed-backend", Shape::default()).await;
    cluster.create_service(2).await;

    let stream = Some((20, 10));
    let options = Options { answer_bytes: 100_000, stream, ..cluster.load(60, 15.0) };
    let load = Load::start(options).await.expect("callers");
    let callers = load.recorder();
    sleep(Duration::from_secs(1)).await;
    cluster.workers[0].1.kill(None);
    let report = load.finish().await.expect("a report");

    let history = cluster.history(vec![callers.history()]);
    assert_none(own_answer::check(&history));
    assert_eq!(report.wrong, 0, "{report}");
    assert!(report.answered > 45, "{report}");
}
