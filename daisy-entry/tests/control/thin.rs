//! The whole path, thin.

use std::time::Duration;

use daisy_entry::Entry;
use daisy_standin::{Faults, client::Answer};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::cluster::{Cluster, PATIENCE, cluster};

const CREATE: &str = "quota team sales cpu 8 memory 32Gi accelerators 0;\n\
    create service shop team sales tasks 2 cpu 1 memory 1Gi";

/// Asks the service `shop` through `entry`, with headers besides.
async fn ask(cluster: &Cluster, entry: &Entry, headers: &[(&str, &str)]) -> Answer {
    let method = if headers.is_empty() { Method::GET } else { Method::POST };
    let uri = format!("http://{}/price", entry.addresses().callers);
    let mut req = Request::builder().method(method).uri(uri).header("daisy-service", "shop");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::default()).expect("valid request");
    cluster.client.send(req, PATIENCE).await.expect("an answer")
}

/// Creates the service and waits until `entry` answers for it.
async fn serve(cluster: &Cluster, entry: &Entry) {
    let answer = cluster.say(entry, CREATE).await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    for _ in 0..200 {
        if ask(cluster, entry, &[]).await.status == StatusCode::OK {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("never answered: {:#}", cluster.status(entry).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_service_answers_and_a_planned_stop_hands_the_data_centre_over() {
    let mut cluster = cluster().await;
    cluster.worker(101, 0).await;
    cluster.worker(102, 0).await;
    let first = cluster.entry(1, 0).await;
    let second = cluster.entry(2, 0).await;
    cluster.until(&first, |it| it["ready"] == true && it["holder"].is_u64()).await;
    cluster.until(&second, |it| it["ready"] == true).await;

    serve(&cluster, &second).await;
    let generation = cluster.status(&second).await["generation"].clone();
    cluster.until(&first, |it| it["generation"] == generation).await;

    let holder = cluster.status(&first).await["holder"].as_u64();
    let (leaving, staying) = if holder == Some(1) { (first, second) } else { (second, first) };
    leaving.stop().await;
    let status = cluster.until(&staying, |it| it["role"] == "holder").await;
    assert_eq!(status["released"], false);
    staying.stop().await;
}

/// A buyer's order asks for the stronger form: it is noted in the log before it runs. While the
/// log is down nobody can tell whether another entry VM runs it, so it must not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_that_asks_for_the_log_runs_only_with_it() {
    let mut cluster = cluster().await;
    cluster.worker(101, 0).await;
    let entry = cluster.ready_entry(1, 0).await;
    serve(&cluster, &entry).await;
    let order = |key| [("idempotency-key", key), ("daisy-at-most-once", "log")];

    let noted = ask(&cluster, &entry, &order("order-1")).await;
    let down = Faults { down: true, ..Faults::default() };
    cluster.platform.set_faults(down).expect("a known switch");
    let in_time_out = ask(&cluster, &entry, &order("order-2")).await;
    // From here on the log is known to be out of reach, and the answer comes at once.
    let refused = ask(&cluster, &entry, &order("order-3")).await;

    assert_eq!(noted.status, StatusCode::OK, "{:?}", noted.body);
    assert_eq!(noted.headers["daisy-outcome"], "answered");
    for unnoted in [in_time_out, refused] {
        assert_ne!(unnoted.headers["daisy-outcome"], "answered", "{:?}", unnoted.body);
    }
}
