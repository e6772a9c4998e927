//! Callers that misbehave, by mistake or on purpose: they get a clear error, and the process keeps
//! running.

use std::time::Duration;

use daisy_entry::proxy::Options;
use daisy_settings::Limits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fixture::{
    Entry, FakeBackend, FakeResponse, call, entry_with, fake_backend, head, options, read_answer,
};

async fn answering() -> FakeBackend {
    fake_backend(|_, received| FakeResponse::Write(received.answer("200 OK", "", "good"))).await
}

async fn entry_with_limits(backend: &FakeBackend, limits: Limits) -> Entry {
    entry_with(Options { limits, ..options() }, &[backend.address]).await
}

async fn assert_still_serving(entry: &Entry) {
    let got = call(entry.address, &head("GET", ""), "").await;
    assert_eq!(got.status, 200);
}

#[tokio::test]
async fn malformed_heads_are_rejected_with_a_reason() {
    let backend = answering().await;
    let entry = entry_with_limits(&backend, Limits::default()).await;
    let long_key = "k".repeat(65);
    let cases = [
        ("GET /p HTTP/1.1".to_owned(), "missing-service"),
        ("GET /p HTTP/1.1\r\ndaisy-service: Not A Name".to_owned(), "malformed-daisy-service"),
        (head("GET", "\r\ndaisy-service: other"), "repeated-daisy-service"),
        (head("GET", "\r\ndaisy-deadline-ms: +1"), "malformed-daisy-deadline-ms"),
        (head("GET", "\r\ndaisy-deadline-ms: "), "malformed-daisy-deadline-ms"),
        (head("GET", "\r\ndaisy-priority: highest"), "malformed-daisy-priority"),
        (head("POST", "\r\nidempotency-key: two words"), "malformed-idempotency-key"),
        (head("POST", &format!("\r\nidempotency-key: {long_key}")), "malformed-idempotency-key"),
        (head("POST", "\r\nidempotency-key: a\r\nidempotency-key: b"), "repeated-idempotency-key"),
        (head("POST", "\r\ndaisy-attempt: 0"), "malformed-daisy-attempt"),
        (head("POST", "\r\ndaisy-at-most-once: maybe"), "malformed-daisy-at-most-once"),
    ];
    for (head, reason) in cases {
        let got = call(entry.address, &head, "").await;
        assert_eq!((got.status, got.outcome(), got.reason()), (400, "not-run", reason), "{head}");
    }
    assert_eq!(backend.requests(), 0);
    assert_still_serving(&entry).await;
}

#[tokio::test]
async fn an_unknown_service_is_not_found() {
    let backend = answering().await;
    let entry = entry_with_limits(&backend, Limits::default()).await;

    let got = call(entry.address, "GET /p HTTP/1.1\r\ndaisy-service: nobody", "").await;

    assert_eq!((got.status, got.outcome(), got.reason()), (404, "not-run", "unknown-service"));
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected_with_or_without_a_declared_length() {
    let backend = answering().await;
    let entry =
        entry_with_limits(&backend, Limits { body_bytes: 100_000, ..Limits::default() }).await;

    let announced = call(entry.address, &head("POST", ""), &"x".repeat(100_001)).await;
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    let chunked = format!("{}\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n", head("POST", ""));
    stream.write_all(chunked.as_bytes()).await.unwrap();
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    for _ in 0..8 {
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            break;
        }
    }
    let unannounced = read_answer(&mut stream).await;

    assert_eq!((announced.status, announced.reason()), (413, "body-too-large"));
    assert!(unannounced.is_none_or(|got| got.status >= 400));
    assert_still_serving(&entry).await;
}

#[tokio::test]
async fn a_head_over_the_limit_is_rejected() {
    let backend = answering().await;
    let entry =
        entry_with_limits(&backend, Limits { header_bytes: 8_192, ..Limits::default() }).await;

    let long = format!("\r\nx-long: {}", "x".repeat(20_000));
    let got = call(entry.address, &head("GET", &long), "").await;

    assert_eq!(got.status, 431);
    assert_still_serving(&entry).await;
}

/// Guards against buyers who cannot connect because a script holds connections open and sends a
/// byte now and then.
#[tokio::test]
async fn an_incomplete_head_times_out() {
    let backend = answering().await;
    let header_timeout = Duration::from_millis(100);
    let entry = entry_with_limits(&backend, Limits { header_timeout, ..Limits::default() }).await;
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    stream.write_all(b"GET /price HTTP/1.1\r\nx: ").await.unwrap();

    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;

    assert!(ended.is_ok(), "the connection is still open");
    assert_still_serving(&entry).await;
}

/// Guards against a slow sender that occupies a backend server's slot for as long as it likes.
#[tokio::test]
async fn a_body_that_never_arrives_occupies_no_slot() {
    let backend = answering().await;
    let entry = entry_with_limits(&backend, Limits::default()).await;
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    let partial_head = head("POST", "\r\ndaisy-deadline-ms: 100\r\nhost: e\r\ncontent-length: 10");
    stream.write_all(format!("{partial_head}\r\n\r\nabc").as_bytes()).await.unwrap();

    let mut buf = [0; 1_024];
    let read = stream.read(&mut buf).await.unwrap();

    let answer = String::from_utf8_lossy(&buf[..read]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("daisy-reason: slow-request"), "{answer}");
    assert_eq!(backend.requests(), 0);
}

#[tokio::test]
async fn connections_over_the_limit_get_a_rejection() {
    let backend = answering().await;
    let entry = entry_with_limits(&backend, Limits { connections: 4, ..Limits::default() }).await;
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(TcpStream::connect(entry.address).await.unwrap());
    }
    // The fourth connection may not be accepted yet.
    let mut beyond = TcpStream::connect(entry.address).await.unwrap();

    let answer = read_answer(&mut beyond).await.unwrap();
    drop(held);

    assert_eq!((answer.status, answer.outcome(), answer.reason()), (503, "not-run", "connections"));
    while TcpStream::connect(entry.address).await.is_err() {}
}

/// Guards against request smuggling: one caller's request enters another's connection through two
/// different lengths.
#[tokio::test]
async fn a_request_with_two_lengths_is_rejected() {
    let backend = answering().await;
    let entry = entry_with_limits(&backend, Limits::default()).await;

    let got = call(entry.address, &head("POST", "\r\ncontent-length: 3"), "abcdef").await;

    assert_eq!(got.status, 400);
    assert_eq!(backend.requests(), 0);
}

/// Guards against a caller that forges a header of a backend server, or has daisyshift's headers
/// removed.
#[tokio::test]
async fn a_request_id_from_a_caller_is_replaced() {
    let backend = fake_backend(|_, received| {
        let id = received.header("daisy-request-id").unwrap().to_owned();
        FakeResponse::Write(received.answer("200 OK", "", &id))
    })
    .await;
    let entry = entry_with_limits(&backend, Limits::default()).await;
    let forged = "\r\ndaisy-request-id: 00000000000000aa\r\nconnection: daisy-request-id";

    let got = call(entry.address, &head("GET", forged), "").await;

    assert_ne!(got.body.as_deref(), Some(&b"00000000000000aa"[..]));
    assert_eq!(got.status, 200);
}
