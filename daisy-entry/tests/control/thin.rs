//! The whole path, thin.

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::cluster::{PATIENCE, cluster};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_service_answers_and_a_planned_stop_hands_the_data_centre_over() {
    let mut cluster = cluster().await;
    cluster.worker(101, 0).await;
    cluster.worker(102, 0).await;
    let first = cluster.entry(1, 0).await;
    let second = cluster.entry(2, 0).await;
    cluster.until(&first, |it| it["ready"] == true && it["holder"].is_u64()).await;
    cluster.until(&second, |it| it["ready"] == true).await;

    let answer = cluster.say(&second, CREATE).await;
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let generation = cluster.status(&second).await["generation"].clone();
    cluster.until(&first, |it| it["generation"] == generation).await;

    let mut answered = false;
    for _ in 0..200 {
        let uri = format!("http://{}/price", second.addresses().callers);
        let req = Request::builder()
            .method(Method::GET)
            .uri(uri)
            .header("daisy-service", "shop")
            .body(Full::<Bytes>::default())
            .expect("valid request");
        let answer = cluster.client.send(req, PATIENCE).await.expect("an answer");
        answered = answer.status == StatusCode::OK;
        if answered {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(answered, "{:#}", cluster.status(&second).await);

    let holder = cluster.status(&first).await["holder"].as_u64();
    let (leaving, staying) = if holder == Some(1) { (first, second) } else { (second, first) };
    leaving.stop().await;
    let status = cluster.until(&staying, |it| it["role"] == "holder").await;
    assert_eq!(status["released"], false);
    staying.stop().await;
}

const CREATE: &str = "quota team sales cpu 8 memory 32Gi accelerators 0;\n\
    create service shop team sales tasks 2 cpu 1 memory 1Gi";
