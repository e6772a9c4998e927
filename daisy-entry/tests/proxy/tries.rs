//! Retries, hedges and the truth about what ran.

use std::{sync::Arc, time::Duration};

use crate::fixture::{Act, Fake, call, entry, fake, head};

async fn good() -> Fake {
    fake(|_, seen| Act::Write(seen.answer("200 OK", "", "good"))).await
}

async fn refusing() -> Fake {
    fake(|_, seen| {
        Act::Write(seen.answer("503 Service Unavailable", "daisy-outcome: not-run\r\n", ""))
    })
    .await
}

/// Calls until `backend` has been asked, so that the failing one was surely tried.
async fn call_until_asked(
    backend: &Fake,
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
async fn what_a_backend_server_proves_not_run_is_run_elsewhere() {
    let (refusing, good) = (refusing().await, good().await);
    let entry = entry(&[refusing.address, good.address]).await;

    let outcomes = call_until_asked(&refusing, &entry, "POST").await;

    assert_eq!(refusing.requests(), 1);
    assert!(outcomes.iter().all(|one| one == "200 answered none"), "{outcomes:?}");
}

/// A buyer gets two boxes of piping nozzles.
/// A backend server takes the order and dies; the order is sent to a second one.
#[tokio::test]
async fn what_may_have_run_is_not_run_elsewhere() {
    let (dying, good) = (fake(|_, _| Act::Close).await, good().await);
    let entry = entry(&[dying.address, good.address]).await;

    let outcomes = call_until_asked(&dying, &entry, "POST").await;

    assert_eq!(outcomes.last().unwrap(), "502 outcome-unknown connection-lost");
    assert_eq!(good.requests() as usize, outcomes.len() - 1);
}

#[tokio::test]
async fn an_idempotent_request_is_run_elsewhere_after_a_broken_connection() {
    let (dying, good) = (fake(|_, _| Act::Close).await, good().await);
    let entry = entry(&[dying.address, good.address]).await;

    let outcomes = call_until_asked(&dying, &entry, "GET").await;

    assert!(outcomes.iter().all(|one| one == "200 answered none"), "{outcomes:?}");
}

/// A caller is told that its request did not run although a backend server has done its work.
/// The first try broke off after sending, and the second could not be sent.
#[tokio::test]
async fn a_second_try_that_is_not_sent_proves_nothing_of_the_first() {
    let dying = fake(|_, _| Act::Close).await;
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let entry = entry(&[dying.address, address]).await;

    let outcomes = call_until_asked(&dying, &entry, "GET").await;

    assert!(outcomes.last().unwrap().contains("outcome-unknown"), "{outcomes:?}");
}

#[tokio::test]
async fn a_refusal_of_all_is_passed_on_with_its_proof_and_a_time() {
    let refusing = refusing().await;
    let entry = entry(&[refusing.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome(), got.reason()), (503, "not-run", "backend-refused"));
    assert!(got.header("retry-after").is_some());
}

/// A buyer waits for a stalled backend server although another is idle.
#[tokio::test]
async fn a_slow_first_try_is_overtaken_by_a_hedge() {
    let stalls = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stalling = Arc::clone(&stalls);
    let first = fake(move |_, seen| {
        let bytes = seen.answer("200 OK", "", "good");
        if stalling.load(std::sync::atomic::Ordering::SeqCst) {
            Act::Later(Duration::from_secs(5), bytes)
        } else {
            Act::Write(bytes)
        }
    })
    .await;
    let second = good().await;
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
