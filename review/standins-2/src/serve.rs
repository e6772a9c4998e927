//! A small HTTP/1.1 server over one handler, which can be stopped and started at its address.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// A request with its whole body.
#[derive(Debug)]
pub struct Call {
    pub uri: Uri,
    pub expected: Option<String>,
    pub body: Bytes,
}

impl Call {
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.uri.query().unwrap_or_default().split('&');
        pairs
            .filter_map(|it| it.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, it)| it.to_owned())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }

    /// The last part of the path.
    pub fn name(&self) -> &str {
        self.uri.path().rsplit('/').next().unwrap_or_default()
    }
}

/// The answer of a handler; `None` leaves the call unanswered.
pub type Answer = Option<(StatusCode, Vec<u8>)>;
pub type Handler = Arc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Answer> + Send>> + Send + Sync>;

/// A server; dropping it ends it and resets its connections.
pub struct Server {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub async fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        // Dropped with the task, which aborts all connections.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(move |req| respond(handler.clone(), req));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, task })
}

async fn respond(
    handler: Handler,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = req.into_parts();
    let expected = parts.headers.get("x-daisyshift-expect-instance");
    let expected = expected.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
    let Some((status, body)) = handler(Call { uri: parts.uri, expected, body }).await else {
        return std::future::pending().await;
    };
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    Ok(res)
}
