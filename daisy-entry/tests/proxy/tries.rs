//! Retries, hedges and the reported outcome.

use std::{sync::Arc, time::Duration};

use crate::fixture::{FakeBackend, FakeResponse, call, entry, fake_backend, head};

async fn answering() -> FakeBackend {
    fake_backend(|_, received| FakeResponse::Write(received.answer("200 OK", "", "good"))).await
}

async fn rejecting() -> FakeBackend {
    fake_backend(|_, received| {
        FakeResponse::Write(received.answer(
            "503 Service Unavailable",
            "daisy-outcome: not-run\r\n",
            "",
        ))
    })
    .await
}

/// Calls until `backend` has received a request, so that the failing one was certainly tried.
async fn call_until_reached(
    backend: &FakeBackend,
    entry: &crate::fixture::Entry,
    method: &str,
) -> Vec<String> {
    let mut outcomes = Vec::new();
    for _ in 0..100 {
        let got = call(entry.address, &head(method, ""), "order").await;
        outcomes.push(format!("{} {} {}", got.status, got.outcome(), got.reason()));
        if backend.requests() > 0 {
            break;
        }
    }
    outcomes
}

#[tokio::test]
async fn a_request_rejected_as_not_run_is_retried_on_another_backend() {
    let (rejecting, answering) = (rejecting().await, answering().await);
    let entry = entry(&[rejecting.address, answering.address]).await;

    let outcomes = call_until_reached(&rejecting, &entry, "POST").await;

    assert_eq!(rejecting.requests(), 1);
    assert!(outcomes.iter().all(|one| one == "200 answered none"), "{outcomes:?}");
}

/// Guards against a buyer who gets two boxes of piping nozzles. A backend server accepts the order
/// and dies; the order is sent to a second one.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_retried() {
    let (dying, answering) = (fake_backend(|_, _| FakeResponse::Close).await, answering().await);
    let entry = entry(&[dying.address, answering.address]).await;

    let outcomes = call_until_reached(&dying, &entry, "POST").await;

    assert_eq!(outcomes.last().unwrap(), "502 outcome-unknown connection-lost");
    assert_eq!(answering.requests() as usize, outcomes.len() - 1);
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_broken_connection() {
    let (dying, answering) = (fake_backend(|_, _| FakeResponse::Close).await, answering().await);
    let entry = entry(&[dying.address, answering.address]).await;

    let outcomes = call_until_reached(&dying, &entry, "GET").await;

    assert!(outcomes.iter().all(|one| one == "200 answered none"), "{outcomes:?}");
}

/// Guards against a caller that is told that its request did not run although a backend server has
/// run it. The first try failed after sending, and the second could not be sent.
#[tokio::test]
async fn an_unsent_second_try_keeps_the_outcome_of_the_first_unknown() {
    let dying = fake_backend(|_, _| FakeResponse::Close).await;
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let entry = entry(&[dying.address, address]).await;

    let outcomes = call_until_reached(&dying, &entry, "GET").await;

    assert!(outcomes.last().unwrap().contains("outcome-unknown"), "{outcomes:?}");
}

#[tokio::test]
async fn a_rejection_by_all_backends_is_forwarded_as_not_run_with_a_retry_time() {
    let rejecting = rejecting().await;
    let entry = entry(&[rejecting.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome(), got.reason()), (503, "not-run", "backend-refused"));
    assert!(got.header("retry-after").is_some());
}

/// Guards against a buyer who waits for a stalled backend server although another is idle.
#[tokio::test]
async fn a_hedge_answers_when_the_first_try_stalls() {
    let stalls = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stalling = Arc::clone(&stalls);
    let first = fake_backend(move |_, received| {
        let bytes = received.answer("200 OK", "", "good");
        if stalling.load(std::sync::atomic::Ordering::SeqCst) {
            FakeResponse::WriteAfter(Duration::from_secs(5), bytes)
        } else {
            FakeResponse::Write(bytes)
        }
    })
    .await;
    let second = answering().await;
    let entry = entry(&[first.address, second.address]).await;
    for _ in 0..80 {
        call(entry.address, &head("GET", ""), "").await;
    }

    stalls.store(true, std::sync::atomic::Ordering::SeqCst);
    for _ in 0..20 {
        let got = call(entry.address, &head("GET", "\r\ndaisy-deadline-ms: 4000"), "").await;
        assert_eq!(got.status, 200);
    }
}
