//! A small HTTP/1.1 server and client.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// A request with its whole body.
pub struct Call {
    pub path: String,
    pub query: String,
    pub expected_instance: String,
    pub body: Vec<u8>,
}

impl Call {
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, it)| it).next()
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }

    /// Returns the last part of the path.
    pub fn name(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or_default()
    }
}

/// The status and the body of an answer; `None` leaves the call unanswered.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves `handler` on a free port of 127.0.0.1.
pub async fn serve<S, F>(state: Arc<S>, handler: fn(Arc<S>, Call) -> F) -> SocketAddr
where
    S: Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let state = state.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while let Some(call) = read_call(&mut stream).await {
                    let Some((status, body)) = handler(state.clone(), call).await else {
                        // Nothing more is returned on this connection.
                        std::future::pending::<()>().await;
                        return;
                    };
                    let head =
                        format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
                    let bytes = [head.as_bytes(), &body].concat();
                    if stream.get_mut().write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn read_call(stream: &mut BufReader<TcpStream>) -> Option<Call> {
    let (first, headers) = read_head(stream).await?;
    let target = first.split(' ').nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut body = vec![0; header(&headers, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(Call {
        path: path.to_owned(),
        query: query.to_owned(),
        expected_instance: header(&headers, "x-daisyshift-expect-instance").to_owned(),
        body,
    })
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    stream.read_line(&mut first).await.ok().filter(|it| *it > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|it| *it > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((first, headers));
        };
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key == name).map_or("", |(_, it)| it)
}

/// Sends a client's request on a connection of its own; returns the status and the body, or status
/// 0 if no complete answer came within `limit`.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> (u16, String) {
    let exchange = async {
        let mut stream = BufReader::new(TcpStream::connect(address).await.ok()?);
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
             x-daisyshift-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
            limit.as_millis(),
            body.len()
        );
        stream.get_mut().write_all(text.as_bytes()).await.ok()?;
        let (first, headers) = read_head(&mut stream).await?;
        let mut body = vec![0; header(&headers, "content-length").parse().unwrap_or(0)];
        stream.read_exact(&mut body).await.ok()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    timeout(limit, exchange).await.ok().flatten().unwrap_or_default()
}
