//! A proxy on loopback, fakes of backend servers that misbehave byte by byte, and a simple caller.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use daisy_entry::{
    boundary::{IntentOutcome, PeerKeys, RequestSide, RoutesWatch},
    proxy::{Options, Proxy},
};
use daisy_model::{DcId, JobId, Name, Priority, SortedMap, VmId};
use daisy_routing::{Backend, KeyAnswer, KeyQuery, Routes, Service};
use daisy_settings::Limits;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// A peer client that reaches no other entry VM.
#[derive(Debug, Clone)]
pub struct NoPeers;

impl PeerKeys<KeyQuery, KeyAnswer> for NoPeers {
    async fn send_query(&self, _: VmId, _: KeyQuery, _: Duration) -> Option<KeyAnswer> {
        None
    }
}

/// The entry VMs that reach each other.
type Proxies = Vec<(VmId, Proxy<Peers>)>;

/// Entry VMs that reach each other, and a log of intents.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    own: VmId,
    proxies: Arc<Mutex<Proxies>>,
    intents: Arc<Mutex<Vec<u128>>>,
    pub log_down: Arc<AtomicBool>,
}

impl PeerKeys<KeyQuery, KeyAnswer> for Peers {
    async fn send_query(&self, peer: VmId, query: KeyQuery, _: Duration) -> Option<KeyAnswer> {
        let proxies = self.proxies.lock().unwrap().clone();
        let (_, proxy) = proxies.into_iter().find(|(vm, _)| *vm == peer)?;
        Some(proxy.answer(self.own, query).await)
    }

    async fn announce_intent(&self, key: u128, _: Duration) -> IntentOutcome {
        if self.log_down.load(Ordering::SeqCst) {
            return IntentOutcome::Unavailable;
        }
        let mut intents = self.intents.lock().unwrap();
        if intents.contains(&key) {
            return IntentOutcome::Lost;
        }
        intents.push(key);
        IntentOutcome::Won
    }
}

impl Peers {
    /// Returns the same log of intents without the entry VMs.
    pub fn without_proxies(self) -> Peers {
        Peers { proxies: Arc::default(), ..self }
    }

    fn for_entry(&self, own: VmId) -> Peers {
        Peers { own, ..self.clone() }
    }
}

/// Starts two entry VMs of one data centre in front of `backends`.
pub async fn entry_pair(peers: &Peers, backends: &[SocketAddr]) -> [Entry<Peers>; 2] {
    let entry_pair = unconnected_pair(peers, backends).await;
    connect_peers(peers, &entry_pair);
    entry_pair
}

/// Starts such entry VMs that do not reach each other yet.
pub async fn unconnected_pair(peers: &Peers, backends: &[SocketAddr]) -> [Entry<Peers>; 2] {
    let entries = vec![(DcId(0), VmId(1)), (DcId(0), VmId(2))];
    let routes =
        Routes { live_entries: entries.clone(), listed_entries: entries, ..routes_to(backends) };
    let first = serve(options(), routes.clone(), peers.for_entry(VmId(1))).await;
    let other = Options { vm: VmId(2), seed: 8, ..options() };
    let second = serve(other, routes, peers.for_entry(VmId(2))).await;
    [first, second]
}

/// Lets two entry VMs reach each other.
pub fn connect_peers(peers: &Peers, [first, second]: &[Entry<Peers>; 2]) {
    let mut proxies = peers.proxies.lock().unwrap();
    proxies.push((VmId(1), first.proxy.clone()));
    proxies.push((VmId(2), second.proxy.clone()));
}

/// A proxy that serves callers at `address`.
pub struct Entry<K = NoPeers> {
    pub address: SocketAddr,
    pub proxy: Proxy<K>,
    pub routes: watch::Sender<Arc<Routes>>,
    pub served: tokio::task::JoinHandle<()>,
}

pub fn options() -> Options {
    Options {
        vm: VmId(1),
        dc: DcId(0),
        limits: Limits::default(),
        balancer_delay: Duration::from_millis(50),
        seed: 7,
    }
}

pub fn routes_to(backends: &[SocketAddr]) -> Routes {
    let backends = backends
        .iter()
        .zip(100..)
        .map(|(address, vm)| Backend {
            vm: VmId(vm),
            dc: DcId(0),
            address: *address,
            slots: 8,
            connections: 64,
            leaving: false,
        })
        .collect();
    let service =
        Service { job: JobId(0), priority: Priority::Critical, may_reject: false, backends };
    let entries = vec![(DcId(0), VmId(1))];
    Routes {
        version: 1,
        dc: DcId(0),
        regions: vec![0],
        live_entries: entries.clone(),
        listed_entries: entries,
        services: SortedMap::from_iter([(Name::new("quote").unwrap(), service)]),
        ..Routes::default()
    }
}

/// Starts a proxy in front of `backends`.
pub async fn entry(backends: &[SocketAddr]) -> Entry {
    entry_with(options(), backends).await
}

pub async fn entry_with(options: Options, backends: &[SocketAddr]) -> Entry {
    serve(options, routes_to(backends), NoPeers).await
}

async fn serve<K>(options: Options, routes: Routes, peers: K) -> Entry<K>
where
    K: PeerKeys<KeyQuery, KeyAnswer>,
{
    let (routes, watched) = watch::channel(Arc::new(routes));
    let watched: RoutesWatch = watched;
    let proxy = Proxy::new(options, watched, peers);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = proxy.clone();
    let served = tokio::spawn(async move {
        serving.serve(listener, viz::Router::new()).await.unwrap();
    });
    Entry { address, proxy, routes, served }
}

/// A request as a fake backend server receives it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns an answer with the request's ID, `rest` of its head, and `body`.
    pub fn answer(&self, status: &str, rest: &str, body: &str) -> Vec<u8> {
        let id = self.header("daisy-request-id").unwrap();
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\ndaisy-request-id: {id}\r\ncontent-length: {length}\r\n{rest}\r\n{body}"
        )
        .into_bytes()
    }
}

/// How a fake responds to a request.
pub enum FakeResponse {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Closes the connection without an answer.
    Close,
    /// Waits, then writes these bytes.
    WriteAfter(Duration, Vec<u8>),
}

/// A fake backend server; counts the requests that reached it.
#[derive(Clone)]
pub struct FakeBackend {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU32>,
    pub connections: Arc<AtomicU32>,
}

impl FakeBackend {
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Starts a fake that responds to each request, numbered from 0, with the result of `response`.
pub async fn fake_backend(
    response: impl Fn(u32, &ReceivedRequest) -> FakeResponse + Send + Sync + 'static,
) -> FakeBackend {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let connections = Arc::new(AtomicU32::new(0));
    let (count, connected) = (Arc::clone(&requests), Arc::clone(&connections));
    let response = Arc::new(response);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connected.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve_connection(stream, Arc::clone(&response), Arc::clone(&count)));
        }
    });
    FakeBackend { address, requests, connections }
}

async fn serve_connection(
    mut stream: TcpStream,
    response: Arc<impl Fn(u32, &ReceivedRequest) -> FakeResponse>,
    count: Arc<AtomicU32>,
) {
    let mut buf = Vec::new();
    while let Some(received) = read_message(&mut stream, &mut buf).await {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let (bytes, close) = match response(number, &received) {
            FakeResponse::Write(bytes) => (bytes, false),
            FakeResponse::WriteAndClose(bytes) => (bytes, true),
            FakeResponse::Close => return,
            FakeResponse::WriteAfter(wait, bytes) => {
                tokio::time::sleep(wait).await;
                (bytes, false)
            }
        };
        if stream.write_all(&bytes).await.is_err() || close {
            return;
        }
    }
}

/// Reads one message with a length; returns `None` if the connection ends first.
async fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            if buf.len() >= end + 4 + length {
                let rest = buf.split_off(end + 4 + length);
                let body = buf.split_off(end + 4);
                *buf = rest;
                return Some(ReceivedRequest { head, body });
            }
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// An answer as a caller sees it; its body is `None` if it was cut off.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub head: String,
    pub body: Option<Vec<u8>>,
}

impl CallerAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn outcome(&self) -> &str {
        self.header("daisy-outcome").unwrap_or("none")
    }

    pub fn reason(&self) -> &str {
        self.header("daisy-reason").unwrap_or("none")
    }
}

/// Sends `head` and `body` over a new connection and reads the whole answer.
pub async fn call(address: SocketAddr, head: &str, body: &str) -> CallerAnswer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let message = format!(
        "{head}\r\nhost: entry\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    // The proxy may answer and close before everything is written.
    let _ = stream.write_all(message.as_bytes()).await;
    read_answer(&mut stream).await.expect("an answer")
}

/// Reads one answer until the connection ends.
pub async fn read_answer(stream: &mut TcpStream) -> Option<CallerAnswer> {
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf).await;
    let end = buf.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = buf[end + 4..].to_vec();
    let whole = header(&head, "content-length").is_none_or(|text| text.parse() == Ok(body.len()));
    Some(CallerAnswer { status, head, body: whole.then_some(body) })
}

/// Returns the head of a request to the service `quote`.
pub fn head(method: &str, extra: &str) -> String {
    format!("{method} /price HTTP/1.1\r\ndaisy-service: quote{extra}")
}
