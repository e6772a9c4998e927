//! Tests the backend server stand-in over HTTP.

use std::time::Duration;

use daisy_history::EventKind;
use daisy_standin::{
    Backend, Faults,
    backend::Options,
    client::{Answer, CallError, Client},
};
use http::{Request, StatusCode};
use http_body_util::Full;

const SOON: Duration = Duration::from_secs(5);

async fn backend() -> Backend {
    Backend::start(Options { slots: 1, ..Options::default() }).await.unwrap()
}

async fn send(client: &Client, to: &Backend, id: &str, query: &str) -> Result<Answer, CallError> {
    let req = Request::post(format!("http://{}/?{query}", to.address()))
        .header("daisy-request-id", id)
        .header("daisy-service", "shop")
        .body(Full::from(format!("{id}.body")))
        .unwrap();
    client.send(req, SOON).await
}

fn began(backend: &Backend) -> usize {
    let began = |kind: &EventKind| matches!(kind, EventKind::RequestBegan { .. });
    backend.history().events().iter().filter(|event| began(&event.kind)).count()
}

const ID: &str = "00000000000000aa";
const ID_2: &str = "00000000000000ab";

#[tokio::test]
async fn answers_with_the_id_of_the_request() {
    let backend = backend().await;

    let answer = send(&Client::new(), &backend, ID, "size=100").await.unwrap();

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["daisy-request-id"], ID);
    assert_eq!(answer.headers["daisy-outcome"], "answered");
    assert!(answer.body.len() > 100);
}

#[tokio::test]
async fn rejects_a_request_as_not_run_when_all_slots_are_in_use() {
    let backend = backend().await;
    let client = Client::new();

    let (first, second) = tokio::join!(send(&client, &backend, ID, "ms=200"), async {
        tokio::time::sleep(Duration::from_millis(80)).await;
        send(&client, &backend, ID_2, "").await
    },);

    assert_eq!(first.unwrap().status, StatusCode::OK);
    let second = second.unwrap();
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(second.headers["daisy-outcome"], "not-run");
    assert_eq!(began(&backend), 1);
}

#[tokio::test]
async fn a_request_whose_answer_is_lost_was_run() {
    let backend = backend().await;
    backend.set_faults(Faults { lose_answers: 1, ..Faults::default() }).unwrap();

    let lost = send(&Client::new(), &backend, ID, "").await;

    assert!(matches!(lost, Err(CallError::Broken(_))), "{lost:?}");
    assert_eq!(began(&backend), 1);
}

#[tokio::test]
async fn a_request_finishes_after_its_caller_disconnected() {
    let backend = backend().await;
    let client = Client::new();
    let req = Request::post(format!("http://{}/?ms=100", backend.address()))
        .header("daisy-request-id", ID)
        .body(Full::default())
        .unwrap();

    let timed_out = client.send(req, Duration::from_millis(50)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    assert!(matches!(timed_out, Err(CallError::TimedOut(_))));
    let ended = |kind: &EventKind| matches!(kind, EventKind::RequestEnded { .. });
    assert!(backend.history().events().iter().any(|event| ended(&event.kind)));
}

#[tokio::test]
async fn a_truncated_answer_is_reported_as_a_broken_connection() {
    let backend = backend().await;
    backend.set_faults(Faults { truncate: 1, ..Faults::default() }).unwrap();

    let cut = send(&Client::new(), &backend, ID, "size=4000").await;

    assert!(matches!(cut, Err(CallError::Broken(_))), "{cut:?}");
}

#[tokio::test]
async fn a_doubled_answer_is_sent_twice_on_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let backend = backend().await;
    backend.set_faults(Faults { doubled: 1, ..Faults::default() }).unwrap();
    let mut stream = tokio::net::TcpStream::connect(backend.address()).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ndaisy-request-id: {ID}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();

    let mut seen = String::new();
    while seen.matches("HTTP/1.1 200").count() < 2 {
        let mut buf = [0; 1024];
        let read = tokio::time::timeout(SOON, stream.read(&mut buf)).await.unwrap().unwrap();
        assert!(read > 0, "connection closed after {seen}");
        seen += std::str::from_utf8(&buf[..read]).unwrap();
    }

    assert_eq!(seen.matches(ID).count(), 2);
}

#[tokio::test]
async fn reordered_answers_and_answers_with_a_wrong_id_have_the_id_of_another_request() {
    let backend = backend().await;
    let client = Client::new();
    send(&client, &backend, ID, "").await.unwrap();
    backend.set_faults(Faults { wrong_id: 1, reorder: 1, ..Faults::default() }).unwrap();

    let foreign = send(&client, &backend, ID_2, "").await.unwrap();
    let reordered = send(&client, &backend, ID, "").await.unwrap();

    assert_ne!(foreign.headers["daisy-request-id"], ID_2);
    assert_eq!(reordered.headers["daisy-request-id"], ID_2);
}

#[tokio::test]
async fn a_request_to_an_absent_service_is_rejected_as_not_run() {
    let backend = backend().await;
    let absent = Faults { absent: vec!["shop".to_owned()], ..Faults::default() };
    backend.set_faults(absent).unwrap();

    let refused = send(&Client::new(), &backend, ID, "").await.unwrap();

    assert_eq!(refused.headers["daisy-outcome"], "not-run");
    assert_eq!(began(&backend), 0);
}
