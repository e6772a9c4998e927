//! Tests the callers with a minimal entry VM that changes answers as each test needs.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use daisy_history::{EventKind, at_most_once, not_run, own_answer};
use daisy_standin::{
    Backend, Faults, backend,
    client::Client,
    load::{Load, Options},
};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

const SOON: Duration = Duration::from_secs(5);

/// Starts an entry VM that forwards each request to `backend` under a new id and sends the answer as
/// changed by the function `answer`. Returns its address.
async fn entry(
    backend: SocketAddr,
    answer: fn(u64, Response<Full<Bytes>>) -> Response<Full<Bytes>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (ids, client) = (Arc::new(AtomicU64::new(1)), Client::new());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (ids, client) = (ids.clone(), client.clone());
            let service = service_fn(move |req| {
                let (id, client) = (ids.fetch_add(1, Ordering::Relaxed), client.clone());
                async move { Ok::<_, Infallible>(answer(id, pass(req, backend, id, client).await)) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn pass(
    req: Request<Incoming>,
    backend: SocketAddr,
    id: u64,
    client: Client,
) -> Response<Full<Bytes>> {
    if req.uri().path() == "/readyz" {
        return Response::new(Full::default());
    }
    let (mut parts, body) = req.into_parts();
    let path = parts.uri.path_and_query().unwrap().as_str();
    parts.uri = format!("http://{backend}{path}").parse().unwrap();
    let id = HeaderValue::from_str(&format!("{id:016x}")).unwrap();
    parts.headers.insert("daisy-request-id", id);
    let body = Full::from(body.collect().await.unwrap().to_bytes());
    match client.send(Request::from_parts(parts, body), SOON).await {
        Ok(answer) => {
            let mut response = Response::new(Full::from(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            response
        }
        Err(_) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }
    }
}

async fn backend() -> Backend {
    Backend::start(backend::Options::default()).await.unwrap()
}

fn options(entry: SocketAddr) -> Options {
    Options { entries: vec![entry], count: 20, rate: 200.0, ..Options::default() }
}

#[tokio::test]
async fn the_report_counts_complete_own_answers_and_their_latencies() {
    let backend = backend().await;
    let entry = entry(backend.address(), |_, answer| answer).await;

    let load = Load::start(options(entry)).await.unwrap();
    let history = load.history();
    let report = load.finish().await.unwrap();

    assert_eq!((report.requests, report.answered), (20, 20), "{report}");
    assert!(report.latency_ms(0.5) >= 2.0, "{report}");
    assert!(history.events().len() <= 40);
}

#[tokio::test]
async fn the_report_counts_answers_that_belong_to_other_calls_as_wrong() {
    let backend = backend().await;
    let entry = entry(backend.address(), |id, mut answer| {
        if id % 5 == 0 {
            answer.headers_mut().remove("content-length");
            *answer.body_mut() = Full::from("another's");
        }
        answer
    })
    .await;

    let load = Load::start(options(entry)).await.unwrap();
    let report = load.finish().await.unwrap();

    assert!(report.wrong > 0, "{report}");
    assert_eq!(report.answered + report.wrong, 20, "{report}");
}

#[tokio::test]
async fn idempotent_calls_are_retried_after_their_answer_was_lost() {
    // With fewer slots than requests, the server could reject some on a busy machine, which would
    // cause further retries.
    let slots = backend::Options { slots: 20, ..backend::Options::default() };
    let backend = Backend::start(slots).await.unwrap();
    backend.set_faults(Faults { lose_answers: 3, ..Faults::default() }).unwrap();
    let entry = entry(backend.address(), |_, answer| answer).await;

    let report = Load::start(options(entry)).await.unwrap().finish().await.unwrap();

    assert_eq!((report.answered, report.retries), (20, 3), "{report}");
}

#[tokio::test]
async fn the_checker_reports_keyed_requests_that_run_twice_because_the_entry_vm_forwards_retries() {
    let backend = backend().await;
    backend.set_faults(Faults { lose_answers: 3, ..Faults::default() }).unwrap();
    let entry = entry(backend.address(), |_, answer| answer).await;
    let options = Options { keyed_per_mille: 1000, ..options(entry) };

    Load::start(options).await.unwrap().finish().await.unwrap();

    let history = backend.history();
    assert_eq!(at_most_once::check(&history).len(), 3);
    assert!(own_answer::check(&history).is_empty() && not_run::check(&history).is_empty());
    let keyed = |kind: &EventKind| matches!(kind, EventKind::RequestBegan { key: Some(_), .. });
    assert!(history.events().iter().any(|event| keyed(&event.kind)));
}

#[tokio::test]
async fn calls_are_refused_when_no_entry_vm_is_ready() {
    let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let deadline = Duration::from_millis(100);
    let options = Options { deadline, count: 3, ..options(nobody) };

    let report = Load::start(options).await.unwrap().finish().await.unwrap();

    assert_eq!(report.refused, 3, "{report}");
}
