//! The planned stop of an entry VM.

use std::{sync::Arc, time::Duration};

use daisy_entry::boundary::RequestSide;

use crate::fixture::{FakeResponse, call, entry, fake_backend, head, routes_to};

/// Guards against a caller's connection that breaks while operators replace an entry VM. SIGTERM
/// arrives while its request is at the backend server, and arrives again. The answer must still
/// arrive completely, and only then may the process end.
#[tokio::test]
async fn a_planned_stop_completes_requests_in_flight() {
    let backend = fake_backend(|_, received| {
        FakeResponse::WriteAfter(Duration::from_millis(200), received.answer("200 OK", "", "whole"))
    })
    .await;
    let entry = entry(&[backend.address]).await;
    let address = entry.address;
    let calling = tokio::spawn(async move { call(address, &head("POST", ""), "").await });
    while backend.requests() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    tokio::join!(entry.proxy.drain(), entry.proxy.drain());

    assert!(entry.proxy.in_flight().is_empty());
    let got = calling.await.unwrap();
    assert_eq!(got.body.as_deref(), Some(&b"whole"[..]));
    entry.served.await.unwrap();
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn a_removed_backend_server_gets_no_more_requests() {
    let backend =
        fake_backend(|_, received| FakeResponse::Write(received.answer("200 OK", "", ""))).await;
    let entry = entry(&[backend.address]).await;
    call(entry.address, &head("GET", ""), "").await;

    let mut routes = routes_to(&[]);
    routes.version = 2;
    entry.routes.send_replace(Arc::new(routes));
    let mut got = call(entry.address, &head("GET", ""), "").await;
    while got.status == 200 {
        got = call(entry.address, &head("GET", ""), "").await;
    }

    assert_eq!((got.status, got.outcome(), got.reason()), (503, "not-run", "no-backend"));
}
