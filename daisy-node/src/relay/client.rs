//! Reads from another VM.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use daisy_stream::{Receiver, Sender, StreamError};
use daisy_wire::{
    peer::MAX_FRAME,
    relay::{ReadAnswer, ReadAnswerWire, ReadRequest, ReadRequestWire},
};
use h2::client::{self, SendRequest};
use http::{Method, Request};
use tokio::{net::TcpStream, time::timeout};

use super::{lock, serve::READ_PATH};

/// How long opening a connection may take: several times the way between VMs of a data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an answer may take, not counting the time for which the reader waits for a record.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// The flow-control window, in bytes.
const WINDOW: u32 = 1 << 20;

/// Why a reader gave no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    H2(#[from] h2::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
    #[error("timed out")]
    Timeout,
}

/// The connection to the reader that this VM follows.
#[derive(Debug, Default)]
pub(super) struct ReaderClient {
    connection: Mutex<Option<(SocketAddr, SendRequest<Bytes>)>>,
}

impl ReaderClient {
    /// Sends a read and returns the answer.
    pub async fn read(
        &self,
        reader: SocketAddr,
        req: ReadRequest,
    ) -> Result<ReadAnswer, ReadError> {
        let open =
            lock(&self.connection).as_ref().filter(|it| it.0 == reader).map(|it| it.1.clone());
        let requests = match open {
            Some(it) => it,
            None => {
                let opening = timeout(CONNECT_TIMEOUT, connect(reader)).await;
                let requests = opening.map_err(|_| ReadError::Timeout)??;
                *lock(&self.connection) = Some((reader, requests.clone()));
                requests
            }
        };
        let exchange = exchange(requests, reader, req);
        timeout(req.wait + ANSWER_TIMEOUT, exchange).await.map_err(|_| ReadError::Timeout)?
    }

    /// Drops the connection: it may be silent while a new one works.
    pub fn disconnect(&self, reader: SocketAddr) {
        lock(&self.connection).take_if(|it| it.0 == reader);
    }
}

async fn connect(reader: SocketAddr) -> Result<SendRequest<Bytes>, ReadError> {
    let socket = TcpStream::connect(reader).await?;
    socket.set_nodelay(true)?;
    let mut builder = client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW).enable_push(false);
    let (requests, driver) = builder.handshake::<_, Bytes>(socket).await?;
    tokio::spawn(async move {
        if let Err(e) = driver.await {
            log::debug!("event=reader_connection_ended reader={reader} cause=\"{e}\"");
        }
    });
    Ok(requests)
}

async fn exchange(
    requests: SendRequest<Bytes>,
    reader: SocketAddr,
    req: ReadRequest,
) -> Result<ReadAnswer, ReadError> {
    let head = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{reader}{READ_PATH}"))
        .body(())?;
    let (response, stream) = requests.ready().await?.send_request(head, false)?;
    Sender::new(stream).send(&ReadRequestWire::from(req), true).await?;
    let mut receiver = Receiver::new(response.await?.into_body(), MAX_FRAME);
    Ok(receiver.only::<ReadAnswerWire>().await?.into())
}
