//! A TCP forwarder that can simulate a partition, delay and limited bandwidth.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use daisy_history::{EventKind, History};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    Recorder,
    http::{Handler, HandlerResult, Server, json, read_body, text},
    run::wait_for_stop_signal,
};

/// An address to listen on and the address to which its connections are forwarded.
#[derive(Debug, Clone, Copy)]
pub struct ForwardRule {
    /// The address that the link listens on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// The address that it forwards to.
    pub to: SocketAddr,
}

/// Settings of a link.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name in the history.
    pub name: String,
    /// The control address, which serves `POST /standin/faults`.
    pub control: SocketAddr,
    /// The addresses to forward; the switches apply to all of them.
    pub forward_rules: Vec<ForwardRule>,
    /// The initial state of the switches.
    pub faults: LinkFaults,
    /// The file to which each event is written as soon as it is recorded.
    pub history: Option<PathBuf>,
}

/// The fault switches of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// Forwards no bytes while it is set. Connections stay open, as in a network partition.
    pub cut: bool,
    /// Forwards no bytes from the target back to the client: requests arrive, but their answers do
    /// not.
    pub cut_back: bool,
    /// Closes all connections, and new ones immediately.
    pub reset: bool,
    /// Delay in milliseconds that is added in each direction.
    pub delay_ms: u64,
    /// Bandwidth of each connection in each direction, in bytes per second; 0 for no limit.
    pub bytes_a_second: u64,
}

/// A running link.
#[derive(Debug)]
pub struct Link {
    shared: Arc<Shared>,
    server: Server,
    addresses: Vec<SocketAddr>,
    forwarders: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    recorder: Recorder,
    faults: watch::Sender<LinkFaults>,
}

/// Forwards until SIGTERM or SIGINT.
///
/// # Errors
///
/// If the link cannot be started.
pub async fn run(options: Options) -> anyhow::Result<()> {
    let link = Link::start(options).await?;
    log::info!("event=link-started control={} addresses={:?}", link.control(), link.addresses());
    wait_for_stop_signal().await?;
    link.stop().await;
    Ok(())
}

impl Link {
    /// Listens and forwards until [`Link::stop`].
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or the history file cannot be created.
    pub async fn start(options: Options) -> anyhow::Result<Link> {
        let recorder = Recorder::open(&options.name, options.history.as_deref())?;
        let shared = Arc::new(Shared { recorder, faults: watch::Sender::new(options.faults) });
        let server = Server::bind(options.control, shared.clone()).await?;
        let mut forwarders = JoinSet::new();
        let mut addresses = Vec::new();
        for rule in options.forward_rules {
            let listener = TcpListener::bind(rule.listen).await?;
            addresses.push(listener.local_addr()?);
            forwarders.spawn(accept(listener, rule.to, shared.faults.subscribe()));
        }
        Ok(Link { shared, server, addresses, forwarders })
    }

    /// Returns the address at which its switches are set.
    pub fn control(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the first address that it forwards, or its control address if there is none.
    pub fn address(&self) -> SocketAddr {
        self.addresses.first().copied().unwrap_or_else(|| self.control())
    }

    /// Returns the addresses that it forwards, in the order of its rules.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Replaces all switches.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the events so far: one each time that its switches were set.
    pub fn history(&self) -> History {
        self.shared.recorder.history()
    }

    /// Closes the ports and all connections.
    pub async fn stop(mut self) {
        self.forwarders.shutdown().await;
        self.server.stop().await;
    }
}

const FAULTS_LIMIT: usize = 4 << 10;

impl Handler for Shared {
    async fn handle(&self, req: Request<Incoming>) -> HandlerResult {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/standin/history") => Ok(crate::http::history(&self.recorder)),
            (&Method::GET, "/standin/faults") => Ok(json(StatusCode::OK, &*self.faults.borrow())),
            (&Method::POST, "/standin/faults") => self.post_faults(req).await,
            (_, path) => Ok(text(StatusCode::NOT_FOUND, &format!("no {path} here"))),
        }
    }
}

impl Shared {
    async fn post_faults(&self, req: Request<Incoming>) -> HandlerResult {
        let body = match read_body(req.into_body(), FAULTS_LIMIT).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                Ok(json(StatusCode::OK, &faults))
            }
            Err(error) => Ok(text(StatusCode::BAD_REQUEST, &format!("faults: {error}"))),
        }
    }

    fn set_faults(&self, faults: LinkFaults) {
        self.recorder.record(EventKind::Fault { what: format!("{faults:?}") });
        self.faults.send_replace(faults);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, faults: watch::Receiver<LinkFaults>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(forward(stream, to, faults.clone()));
            }
            Err(error) => log::warn!("event=accept-failed error={error:?}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn forward(client: TcpStream, to: SocketAddr, mut faults: watch::Receiver<LinkFaults>) {
    // A connection that is opened during a cut is forwarded when the cut ends.
    let current = faults.wait_for(|faults| !faults.cut || faults.reset).await;
    if current.map_or(true, |faults| faults.reset) {
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (target_rx, target_tx) = target.into_split();
    let mut resets = faults.clone();
    tokio::select! {
        _ = async {
            tokio::join!(
                copy_direction(client_rx, target_tx, faults.clone(), |it| it.cut),
                copy_direction(target_rx, client_tx, faults.clone(), |it| it.cut || it.cut_back),
            )
        } => {}
        _ = resets.wait_for(|faults| faults.reset) => {}
    }
}

/// Maximum number of bytes that are read and forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of buffers in transit in one direction; the sender waits while the queue is full, as
/// on a saturated link.
const MAX_QUEUED_BUFFERS: usize = 64;

/// Copies bytes in one direction; `is_cut` returns whether this direction is cut.
async fn copy_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    faults: watch::Receiver<LinkFaults>,
    is_cut: fn(&LinkFaults) -> bool,
) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_BUFFERS);
    let _ = tokio::join!(read(from, tx, faults.clone()), write(to, rx, faults, is_cut));
}

async fn read(
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
    faults: watch::Receiver<LinkFaults>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buf).await?;
        if length == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        if tx.send((Instant::now() + delay, buf[..length].to_vec())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut faults: watch::Receiver<LinkFaults>,
    is_cut: fn(&LinkFaults) -> bool,
) -> io::Result<()> {
    while let Some((deliver_at, buffer)) = rx.recv().await {
        sleep_until(deliver_at).await;
        let Ok(current) = faults.wait_for(|faults| !is_cut(faults)).await.map(|faults| *faults)
        else {
            return Ok(());
        };
        let micros = (buffer.len() as u64 * 1_000_000).checked_div(current.bytes_a_second);
        sleep(Duration::from_micros(micros.unwrap_or(0))).await;
        to.write_all(&buffer).await?;
    }
    to.shutdown().await
}
