//! Requests with a key, over loopback: they run at most once, their answers are replayed, and
//! otherwise their outcome is reported correctly.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use daisy_entry::boundary::RequestSide;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::fixture::{
    CallerAnswer, Entry, FakeBackend, FakeResponse, Peers, call, connect_peers, entry, entry_pair,
    fake_backend, head, unconnected_pair,
};

fn keyed(key: &str, attempt: u32) -> String {
    head("POST", &format!("\r\nidempotency-key: {key}\r\ndaisy-attempt: {attempt}"))
}

async fn delayed_backend(wait: u64) -> FakeBackend {
    fake_backend(move |number, received| {
        let body = format!("run {number}");
        FakeResponse::WriteAfter(
            Duration::from_millis(wait),
            received.answer("201 Created", "x-price: 9\r\n", &body),
        )
    })
    .await
}

fn summary(got: &CallerAnswer) -> (u16, &str, &str) {
    (got.status, got.outcome(), got.reason())
}

#[tokio::test]
async fn a_repeated_attempt_gets_the_first_answer() {
    let backend = delayed_backend(0).await;
    let entry = entry(&[backend.address]).await;

    let first = call(entry.address, &keyed("k1", 1), "order").await;
    let second = call(entry.address, &keyed("k1", 2), "order").await;

    assert_eq!(summary(&first), (201, "answered", "none"));
    assert_eq!(summary(&second), (201, "answered", "none"));
    assert_eq!((second.header("x-price"), second.header("daisy-replayed")), (Some("9"), Some("1")));
    assert_eq!((first.body, backend.requests()), (second.body, 1));
}

/// A buyer's page loses its connection, and the buyer orders again. The order runs while its caller
/// is disconnected; its answer must be available for the repeated attempt.
#[tokio::test]
async fn a_keyed_request_runs_to_its_end_after_its_caller_disconnects() {
    let backend = delayed_backend(150).await;
    let entry = entry(&[backend.address]).await;
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    let message = format!("{}\r\nhost: e\r\ncontent-length: 0\r\n\r\n", keyed("k1", 1));
    stream.write_all(message.as_bytes()).await.unwrap();
    while backend.requests() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(stream);

    let repeat = call(entry.address, &keyed("k1", 2), "").await;

    assert_eq!((summary(&repeat), backend.requests()), ((201, "answered", "none"), 1));
}

#[tokio::test]
async fn concurrent_attempts_run_once_and_get_the_same_answer() {
    let backend = delayed_backend(50).await;
    let peers = Peers::default();
    let [a, b] = entry_pair(&peers, &[backend.address]).await;

    let calls = (1..=6).map(|attempt| {
        let address = if attempt % 2 == 0 { a.address } else { b.address };
        async move { call(address, &keyed("k1", attempt), "order").await }
    });
    let head = keyed("k1", 1);
    let first = call(a.address, &head, "order");
    let (first, rest) = tokio::join!(first, futures::future::join_all(calls));

    assert_eq!(backend.requests(), 1);
    let bodies = rest.iter().filter(|got| got.status == 201).map(|got| &got.body);
    assert!(bodies.into_iter().all(|body| *body == Some(b"run 0".to_vec())));
    assert!([201, 409].contains(&first.status), "{first:?}");
}

/// Guards against a buyer who gets two boxes: the backend server accepted her order and died, and
/// the repeated attempt ran.
#[tokio::test]
async fn an_unknown_outcome_stays_unknown_and_does_not_run_again() {
    let backend = fake_backend(|_, _| FakeResponse::Close).await;
    let entry = entry(&[backend.address]).await;

    let first = call(entry.address, &keyed("k1", 1), "order").await;
    let second = call(entry.address, &keyed("k1", 2), "order").await;

    assert_eq!(summary(&first), (502, "outcome-unknown", "connection-lost"));
    // A caller that does not number its attempts gets the same result.
    let third = call(entry.address, &keyed("k1", 1), "order").await;
    assert_eq!(summary(&second), (409, "outcome-unknown", "key-unknown"));
    assert_eq!(summary(&third), (409, "outcome-unknown", "key-unknown"));
    assert_eq!(backend.requests(), 1);
}

#[tokio::test]
async fn a_rejected_attempt_can_be_sent_again() {
    let backend = fake_backend(|number, received| match number {
        0 => FakeResponse::Write(received.answer(
            "503 Service Unavailable",
            "daisy-outcome: not-run\r\n",
            "",
        )),
        _ => FakeResponse::Write(received.answer("200 OK", "", "")),
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let first = call(entry.address, &keyed("k1", 1), "order").await;
    let again = call(entry.address, &keyed("k1", 1), "order").await;

    assert_eq!(summary(&first), (503, "not-run", "backend-refused"));
    assert_eq!(summary(&again), (200, "answered", "none"));
}

/// Guards against a buyer's order that runs twice: the entry VM that ran it was replaced without
/// handing its keys over, and the new one does not know the key.
#[tokio::test]
async fn a_new_entry_vm_does_not_run_a_repeated_attempt_of_an_unknown_key() {
    let backend = delayed_backend(0).await;
    let entry = entry(&[backend.address]).await;

    let repeat = call(entry.address, &keyed("k1", 2), "order").await;

    assert_eq!(summary(&repeat), (409, "outcome-unknown", "key-unknown"));
    assert_eq!(backend.requests(), 0);
}

#[tokio::test]
async fn a_key_reused_for_another_request_is_rejected() {
    let backend = delayed_backend(0).await;
    let entry = entry(&[backend.address]).await;
    call(entry.address, &keyed("k1", 1), "").await;

    let other = keyed("k1", 1).replace("/price", "/order");
    let got = call(entry.address, &other, "").await;

    assert_eq!(summary(&got), (422, "not-run", "key-reused"));
}

/// Guards against a buyer who is told that her repeated attempt did not run, takes that for her
/// order and orders again. Only the head of the repeated attempt was malformed; the first attempt
/// had run.
#[tokio::test]
async fn a_malformed_repeated_attempt_gives_an_unknown_outcome() {
    let backend = delayed_backend(0).await;
    let entry = entry(&[backend.address]).await;
    let malformed = format!("{}\r\ndaisy-deadline-ms: soon", keyed("k1", 2));

    let got = call(entry.address, &malformed, "order").await;

    assert_eq!(summary(&got), (400, "outcome-unknown", "malformed-daisy-deadline-ms"));
}

/// Guards against orders of unknown outcome after each nightly replacement of an entry VM.
#[tokio::test]
async fn a_planned_stop_hands_stored_answers_to_the_other_entry_vms() {
    let backend = delayed_backend(0).await;
    let peers = Peers::default();
    let [a, b] = entry_pair(&peers, &[backend.address]).await;
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
    for key in &keys {
        let got = call(a.address, &keyed(key, 1), "order").await;
        assert_eq!(got.status, 201, "{got:?}");
    }

    b.proxy.drain().await;

    for key in &keys {
        let repeat = call(a.address, &keyed(key, 2), "order").await;
        assert_eq!(summary(&repeat), (201, "answered", "none"));
    }
    assert_eq!(backend.requests(), 8);
}

/// Guards against five seconds of rejections for callers when a link comes up later than its peer's
/// heartbeat.
#[tokio::test]
async fn keys_are_handed_over_once_a_late_link_is_up() {
    let backend = delayed_backend(0).await;
    let peers = Peers::default();
    let entry_pair = unconnected_pair(&peers, &[backend.address]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;

    connect_peers(&peers, &entry_pair);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let calls = (0..8).map(async |number| {
        call(entry_pair[0].address, &keyed(&format!("k{number}"), 1), "order").await.status
    });
    let statuses = futures::future::join_all(calls).await;

    assert_eq!(statuses, [201; 8]);
}

#[tokio::test]
async fn of_several_intents_the_first_in_the_log_wins() {
    let backend = delayed_backend(0).await;
    let peers = Peers::default();
    let logged = |attempt| format!("{}\r\ndaisy-at-most-once: log", keyed("k1", attempt));
    let [a, _b] = entry_pair(&peers, &[backend.address]).await;
    let first = call(a.address, &logged(1), "order").await;
    // A second cluster, which has lost everything but the log.
    let [lost, _other] = entry_pair(&peers.without_proxies(), &[backend.address]).await;

    let second = call(lost.address, &logged(2), "order").await;

    assert_eq!(summary(&first), (201, "answered", "none"));
    assert_eq!(summary(&second), (409, "outcome-unknown", "key-unknown"));
    assert_eq!(backend.requests(), 1);
}

#[tokio::test]
async fn a_request_that_requires_the_log_does_not_run_without_it() {
    let backend = delayed_backend(0).await;
    let peers = Peers::default();
    peers.log_down.store(true, Ordering::SeqCst);
    let [a, _b] = entry_pair(&peers, &[backend.address]).await;
    let logged = format!("{}\r\ndaisy-at-most-once: log", keyed("k1", 1));

    let started = Instant::now();
    let got = call(a.address, &logged, "order").await;

    assert_eq!((got.status, got.outcome(), backend.requests()), (503, "not-run", 0));
    assert!(started.elapsed() < Duration::from_secs(5), "refused at once");
}

/// The rejection must not be delayed: a request that cannot succeed is rejected as soon as that is
/// known.
#[tokio::test]
async fn a_request_without_backends_is_rejected_long_before_its_deadline() {
    let entry: Entry = entry(&[]).await;

    let started = Instant::now();
    let got = call(entry.address, &keyed("k1", 1), "order").await;

    assert_eq!(got.outcome(), "not-run");
    assert!(started.elapsed() < Duration::from_secs(5), "the default deadline is 10 s");
}
