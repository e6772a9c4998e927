//! End-to-end tests: operators, workers, callers and a planned stop.

use std::time::Duration;

use daisy_entry::Entry;
use daisy_standin::{Faults, client::Answer};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::cluster::{Cluster, TEST_TIMEOUT, cluster};

const CREATE: &str = "quota team sales cpu 8 memory 32Gi accelerators 0;\n\
    create service shop team sales tasks 2 cpu 1 memory 1Gi";

/// Calls the service `shop` through `entry`, with additional headers.
async fn call_shop(cluster: &Cluster, entry: &Entry, headers: &[(&str, &str)]) -> Answer {
    let method = if headers.is_empty() { Method::GET } else { Method::POST };
    let uri = format!("http://{}/price", entry.addresses().callers);
    let mut req = Request::builder().method(method).uri(uri).header("daisy-service", "shop");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::default()).expect("valid request");
    cluster.client.send(req, TEST_TIMEOUT).await.expect("an answer")
}

/// Creates the service and waits until `entry` answers for it.
async fn create_shop(cluster: &Cluster, entry: &Entry) {
    let answer = cluster.run_statements(entry, CREATE).await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    for _ in 0..200 {
        if call_shop(cluster, entry, &[]).await.status == StatusCode::OK {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the service did not answer in time: {:#}", cluster.status(entry).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_service_answers_and_a_planned_stop_transfers_the_data_centre() {
    let mut cluster = cluster().await;
    cluster.start_worker(101, 0).await;
    cluster.start_worker(102, 0).await;
    let first = cluster.start_entry(1, 0).await;
    let second = cluster.start_entry(2, 0).await;
    cluster.wait_for_status(&first, |it| it["ready"] == true && it["holder"].is_u64()).await;
    cluster.wait_for_status(&second, |it| it["ready"] == true).await;

    create_shop(&cluster, &second).await;
    let generation = cluster.status(&second).await["generation"].clone();
    cluster.wait_for_status(&first, |it| it["generation"] == generation).await;

    let holder = cluster.status(&first).await["holder"].as_u64();
    let (leaving, staying) = if holder == Some(1) { (first, second) } else { (second, first) };
    leaving.stop().await;
    let status = cluster.wait_for_status(&staying, |it| it["role"] == "holder").await;
    assert_eq!(status["released"], false);
    staying.stop().await;
}

/// A buyer's order requires the stronger guarantee: it is recorded in the log before it runs. While
/// the log is down it is unknown whether another entry VM runs it, so it must not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_requires_the_log_does_not_run_while_the_log_is_down() {
    let mut cluster = cluster().await;
    cluster.start_worker(101, 0).await;
    let entry = cluster.start_ready_entry(1, 0).await;
    create_shop(&cluster, &entry).await;
    let order = |key| [("idempotency-key", key), ("daisy-at-most-once", "log")];

    let recorded = call_shop(&cluster, &entry, &order("order-1")).await;
    let down = Faults { down: true, ..Faults::default() };
    cluster.platform.set_faults(down).expect("a known switch");
    let in_time_out = call_shop(&cluster, &entry, &order("order-2")).await;
    // From here on the log is known to be unreachable, and the answer is immediate.
    let rejected = call_shop(&cluster, &entry, &order("order-3")).await;

    assert_eq!(recorded.status, StatusCode::OK, "{:?}", recorded.body);
    assert_eq!(recorded.headers["daisy-outcome"], "answered");
    for unrecorded in [in_time_out, rejected] {
        assert_ne!(unrecorded.headers["daisy-outcome"], "answered", "{:?}", unrecorded.body);
    }
}
