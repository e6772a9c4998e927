//! One request, one try: whole answers pass, everything else is an error to its own caller.

use crate::fixture::{Act, call, entry, fake, head};

#[tokio::test]
async fn an_answer_passes_whole_with_the_requests_id() {
    let backend = fake(|_, seen| {
        let body = String::from_utf8(seen.body.clone()).unwrap();
        Act::Write(seen.answer("200 OK", "x-price: 12\r\n", &body))
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "die-line").await;

    assert_eq!((got.status, got.outcome()), (200, "answered"));
    assert_eq!(got.body.as_deref(), Some(&b"die-line"[..]));
    assert_eq!(got.header("x-price"), Some("12"));
    assert_eq!(got.header("daisy-request-id").map(str::len), Some(16));
}

/// A caller gets the first half of a price list with status 200 and takes it for the whole.
/// The backend server dies in the middle of its answer; its connection just ends.
/// The caller must see the break.
#[tokio::test]
async fn a_body_cut_off_is_no_short_success() {
    let backend = fake(|_, seen| {
        let mut bytes = seen.answer("200 OK", "", "a price list of many pages");
        bytes.truncate(bytes.len() - 10);
        Act::WriteAndClose(bytes)
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!(got.body, None);
}

/// A caller gets another caller's price.
/// A backend server mixes its answers up and echoes another request's id.
#[tokio::test]
async fn an_answer_with_another_requests_id_reaches_nobody() {
    let backend = fake(|_, _| {
        let other = "HTTP/1.1 200 OK\r\ndaisy-request-id: 00000000000000ff\r\n\
            content-length: 6\r\n\r\nsecret";
        Act::Write(other.as_bytes().to_vec())
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!((got.status, got.outcome()), (502, "outcome-unknown"));
    assert_eq!(got.reason(), "wrong-request-id");
    assert!(!String::from_utf8_lossy(&got.body.unwrap()).contains("secret"));
}

/// A caller gets the answer to the request before its own.
/// A backend server writes one answer twice; the second copy lies in the connection when the
/// next request is sent over it.
#[tokio::test]
async fn a_doubled_answer_does_not_reach_the_next_request() {
    let backend = fake(|number, seen| {
        let mut bytes = seen.answer("200 OK", "", &format!("answer {number}"));
        if number == 0 {
            bytes.extend(bytes.clone());
        }
        Act::Write(bytes)
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let first = call(entry.address, &head("GET", ""), "").await;
    let second = call(entry.address, &head("GET", ""), "").await;

    assert_eq!(first.body.as_deref(), Some(&b"answer 0"[..]));
    assert_ne!(second.body.as_deref(), Some(&b"answer 0"[..]));
}

/// A buyer is told that her order did not run, orders again and gets two boxes.
/// The backend server took the order and lost its connection before it answered.
#[tokio::test]
async fn a_connection_lost_after_sending_is_no_proof() {
    let backend = fake(|_, _| Act::Close).await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome()), (502, "outcome-unknown"));
    assert_eq!(backend.requests(), 1);
}

/// A buyer waits for a backend server that never answers.
/// At her deadline she must hear that nobody knows whether it ran.
#[tokio::test]
async fn silence_until_the_deadline_is_an_unknown_outcome() {
    let backend = fake(|_, _| Act::Later(std::time::Duration::from_secs(5), Vec::new())).await;
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

/// A caller gets the first half of a price list and takes it for the whole.
/// The answer has neither a length nor chunks, so that its end looks like a broken connection.
#[tokio::test]
async fn an_answer_whose_end_cannot_be_told_is_an_error() {
    let backend = fake(|_, seen| {
        let id = seen.header("daisy-request-id").unwrap();
        let answer = format!("HTTP/1.1 200 OK\r\ndaisy-request-id: {id}\r\n\r\nhalf a price");
        Act::WriteAndClose(answer.into_bytes())
    })
    .await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "").await;

    assert_eq!((got.status, got.reason()), (502, "unframed-answer"));
}

#[tokio::test]
async fn an_overloaded_backends_word_alone_is_no_proof() {
    let backend =
        fake(|_, seen| Act::Write(seen.answer("503 Service Unavailable", "", "busy"))).await;
    let entry = entry(&[backend.address]).await;

    let got = call(entry.address, &head("POST", ""), "order").await;

    assert_eq!((got.status, got.outcome(), backend.requests()), (503, "answered", 1));
}

/// A backend server refuses connections, those of other entry VMs too.
/// One entry VM has opened more than its part of them.
#[tokio::test]
async fn no_more_connections_are_opened_than_are_this_entry_vms() {
    let wait = std::time::Duration::from_millis(100);
    let backend = fake(move |_, seen| Act::Later(wait, seen.answer("200 OK", "", ""))).await;
    let entry = entry(&[backend.address]).await;

    let calls = (0..40).map(|_| call(entry.address, "GET / HTTP/1.1\r\ndaisy-service: quote", ""));
    futures::future::join_all(calls).await;

    // Eight slots; connections that stay idle are used again.
    assert!(backend.connections() <= 8, "{}", backend.connections());
}
