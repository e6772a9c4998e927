//! Planned stop of an entry VM.

use std::{sync::Arc, time::Duration};

use daisy_entry::boundary::RequestSide;

use crate::fixture::{Act, call, entry, fake, head, routes_to};

/// A caller's connection breaks while the operators replace an entry VM.
/// SIGTERM comes while its request is at the backend server, and comes again.
/// The answer must still arrive whole, and only then may the process end.
#[tokio::test]
async fn a_planned_stop_cuts_off_nothing_in_flight() {
    let backend =
        fake(|_, seen| Act::Later(Duration::from_millis(200), seen.answer("200 OK", "", "whole")))
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
async fn a_route_that_goes_away_takes_no_more_requests() {
    let backend = fake(|_, seen| Act::Write(seen.answer("200 OK", "", ""))).await;
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
