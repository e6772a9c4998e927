//! Requests with one try: complete answers are forwarded, everything else is an error to the caller
//! of that request.

use crate::fixture::{FakeResponse, call, entry, fake_backend, head};

#[tokio::test]
async fn an_answer_is_forwarded_completely_with_the_request_id() {
    let backend = fake_backend(|_, received| {
        let body = String::from_utf8(received.body.clone()).unwrap();
        FakeResponse::Write(received.answer("200 OK", "x-price: 12\r\n", &body))
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "die-line").await;

    assert_eq!((got.status, got.outcome()), (200, "answered"));
    assert_eq!(got.body.as_deref(), Some(&b"die-line"[..]));
    assert_eq!(got.header("x-price"), Some("12"));
    assert_eq!(got.header("daisy-request-id").map(str::len), Some(16));
}

/// Guards against a caller that takes the first half of a price list with status 200 for the whole.
/// The backend server dies in the middle of its answer, and its connection just ends. The caller
/// must see the failure.
#[tokio::test]
async fn a_truncated_body_is_not_a_successful_answer() {
    let backend = fake_backend(|_, received| {
        let mut bytes = received.answer("200 OK", "", "a price list of many pages");
        bytes.truncate(bytes.len() - 10);
        FakeResponse::WriteAndClose(bytes)
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!(got.body, None);
}

/// Guards against a caller that gets another caller's price. A backend server mixes its answers up
/// and returns the ID of another request.
#[tokio::test]
async fn an_answer_with_the_id_of_another_request_is_not_forwarded() {
    let backend = fake_backend(|_, _| {
        let other = "HTTP/1.1 200 OK\r\ndaisy-request-id: 00000000000000ff\r\n\
            content-length: 6\r\n\r\nsecret";
        FakeResponse::Write(other.as_bytes().to_vec())
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!((got.status, got.outcome()), (502, "outcome-unknown"));
    assert_eq!(got.reason(), "wrong-request-id");
    assert!(!String::from_utf8_lossy(&got.body.unwrap()).contains("secret"));
}

/// Guards against a caller that gets the answer to the previous request. A backend server writes
/// one answer twice; the second copy is in the connection when the next request is sent over it.
#[tokio::test]
async fn a_duplicate_answer_does_not_reach_the_next_request() {
    let backend = fake_backend(|number, received| {
        let mut bytes = received.answer("200 OK", "", &format!("answer {number}"));
        if number == 0 {
            bytes.extend(bytes.clone());
        }
        FakeResponse::Write(bytes)
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let first = call(entry.address, &head("GET", ""), "").await;
    let second = call(entry.address, &head("GET", ""), "").await;

    assert_eq!(first.body.as_deref(), Some(&b"answer 0"[..]));
    assert_ne!(second.body.as_deref(), Some(&b"answer 0"[..]));
}

/// Guards against a buyer who is told that her order did not run, orders again and gets two boxes.
/// The backend server accepted the order and lost its connection before it answered.
#[tokio::test]
async fn a_connection_lost_after_sending_gives_an_unknown_outcome() {
    let backend = fake_backend(|_, _| FakeResponse::Close).await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome()), (502, "outcome-unknown"));
    assert_eq!(backend.requests(), 1);
}

/// A buyer waits for a backend server that never answers. At her deadline she must be told that the
/// outcome is unknown.
#[tokio::test]
async fn no_answer_by_the_deadline_gives_an_unknown_outcome() {
    let backend = fake_backend(|_, _| {
        FakeResponse::WriteAfter(std::time::Duration::from_secs(5), Vec::new())
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", "\r\ndaisy-deadline-ms: 60"), "order").await;

    assert_eq!((got.status, got.outcome()), (504, "outcome-unknown"));
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let entry = entry(&[address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.outcome(), got.reason()), ("not-run", "connect"));
}

/// Guards against a caller that takes the first half of a price list for the whole. The answer has
/// neither a length nor chunks, so that its end looks like a broken connection.
#[tokio::test]
async fn an_answer_without_framing_is_an_error() {
    let backend = fake_backend(|_, received| {
        let id = received.header("daisy-request-id").unwrap();
        let answer = format!("HTTP/1.1 200 OK\r\ndaisy-request-id: {id}\r\n\r\nhalf a price");
        FakeResponse::WriteAndClose(answer.into_bytes())
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!((got.status, got.reason()), (502, "unframed-answer"));
}

#[tokio::test]
async fn a_503_without_the_outcome_header_does_not_prove_not_run() {
    let backend = fake_backend(|_, received| {
        FakeResponse::Write(received.answer("503 Service Unavailable", "", "busy"))
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome(), backend.requests()), (503, "answered", 1));
}

/// Guards against one entry VM that opens more than its share of connections, so that a backend
/// server refuses connections, also those of other entry VMs.
#[tokio::test]
async fn an_entry_vm_opens_no_more_than_its_share_of_connections() {
    let wait = std::time::Duration::from_millis(100);
    let backend = fake_backend(move |_, received| {
        FakeResponse::WriteAfter(wait, received.answer("200 OK", "", ""))
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let calls = (0..40).map(|_| call(entry.address, "GET / HTTP/1.1\r\ndaisy-service: quote", ""));
    futures::future::join_all(calls).await;

    // There are eight slots, and idle connections are reused.
    assert!(backend.connections() <= 8, "{}", backend.connections());
}
