//! The connection to one peer, on which notices and queries are sent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use daisy_membership::Heartbeat;
use daisy_model::{DcId, Offset, SortedMap, VmId};
use daisy_stream::{Receiver, Sender, StreamError};
use daisy_wire::{
    headers,
    peer::{
        MAX_FRAME, Notice, NoticeWire, PeerAnswer, PeerAnswerWire, PeerQuery, PeerQueryWire,
        RecordStreamMessage, RecordStreamMessageWire, RecordsRequest, Replica, ReplicaChange,
    },
};
use h2::client::{self, SendRequest};
use http::{Method, Request};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{Instant, timeout},
};

use crate::{
    control::Replicas,
    peers::{NOTICES, QUERY, RECORDS, Traffic},
};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long sending a notice may take; a peer that is paused accepts none.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the stream of a query is kept open; the asker has usually timed out before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The first pause before another connection attempt; doubled up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause between connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The flow-control window, in bytes.
const WINDOW: u32 = 1 << 20;

/// The state that is sent to a peer at a time.
#[derive(Debug, Clone)]
pub(crate) struct PeerUpdate {
    pub heartbeat: Heartbeat,
    /// Requests in flight by backend server, sorted.
    pub in_flight: Arc<Vec<(VmId, u32)>>,
    /// Replicas of services, by data centre.
    pub replicas: Vec<Arc<Replicas>>,
}

/// A command to a link.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send the state to the peer.
    Update(PeerUpdate),
    /// Send a query to the peer.
    Query(PeerQuery, oneshot::Sender<Option<PeerAnswer>>),
    /// Read the log's records from the peer.
    Records(Offset, oneshot::Sender<Option<Records>>),
    /// Drop the connection: the peer does not seem to receive anything through it.
    Reset,
}

/// The stream of the log's records from a peer.
#[derive(Debug)]
pub(crate) struct Records {
    receiver: Receiver,
}

impl Records {
    /// Returns the next message, or `None` if the stream has ended or failed.
    pub async fn next(&mut self) -> Option<RecordStreamMessage> {
        match self.receiver.next::<RecordStreamMessageWire>().await {
            Ok(Some(message)) => Some(message.into()),
            Ok(None) => None,
            Err(e) => {
                log::debug!("event=records_stream_broken cause=\"{e}\"");
                None
            }
        }
    }
}

/// One connection, and the state that was last sent through it.
struct Connection {
    requests: SendRequest<Bytes>,
    notices: Sender,
    in_flight: Option<Arc<Vec<(VmId, u32)>>>,
    replicas: SortedMap<DcId, Arc<Replicas>>,
}

/// The link to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    pub own: VmId,
    pub peer: VmId,
    pub address: SocketAddr,
    pub traffic: Traffic,
}

impl Link {
    /// Executes commands until their senders are dropped.
    pub async fn run(self, mut commands: mpsc::Receiver<Command>) {
        let mut connection = None;
        let mut backoff = MIN_BACKOFF;
        let mut retry_at = Instant::now();
        while let Some(command) = commands.recv().await {
            if matches!(command, Command::Reset) {
                connection = None;
                continue;
            }
            if connection.is_none() && Instant::now() >= retry_at {
                connection = self.connect().await;
                match connection.is_some() {
                    true => backoff = MIN_BACKOFF,
                    false => {
                        retry_at = Instant::now() + backoff;
                        backoff = (backoff * 2).min(MAX_BACKOFF);
                    }
                }
            }
            // Without a connection the command is dropped: heartbeats are soon out of date, and a
            // dropped reply sender tells the receiver that there is no answer.
            let Some(open) = connection.as_mut() else { continue };
            if let Err(e) = self.execute(open, command).await {
                log::debug!("event=peer_link_broken peer={} cause=\"{e}\"", self.peer);
                connection = None;
            }
        }
    }

    async fn connect(&self) -> Option<Connection> {
        match timeout(CONNECT_TIMEOUT, self.open()).await {
            Ok(Ok(connection)) => {
                log::debug!("event=peer_connected peer={} address={}", self.peer, self.address);
                Some(connection)
            }
            Ok(Err(e)) => {
                log::debug!("event=peer_connect_failed peer={} cause=\"{e}\"", self.peer);
                None
            }
            Err(_) => {
                log::debug!("event=peer_connect_failed peer={} cause=timeout", self.peer);
                None
            }
        }
    }

    async fn open(&self) -> anyhow::Result<Connection> {
        let socket = TcpStream::connect(self.address).await?;
        socket.set_nodelay(true)?;
        let mut builder = client::Builder::new();
        builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
        builder.enable_push(false);
        let (requests, driver) = builder.handshake::<_, Bytes>(self.traffic.count(socket)).await?;
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=peer_connection_ended cause=\"{e}\"");
            }
        });
        let mut requests = requests.ready().await?;
        let (_, stream) = requests.send_request(self.request(NOTICES)?, false)?;
        Ok(Connection {
            requests,
            notices: Sender::new(stream),
            in_flight: None,
            replicas: SortedMap::new(),
        })
    }

    fn request(&self, path: &str) -> http::Result<Request<()>> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(headers::FROM, self.own.to_string())
            .body(())
    }

    async fn execute(&self, connection: &mut Connection, command: Command) -> anyhow::Result<()> {
        match command {
            Command::Update(update) => {
                Ok(timeout(NOTICE_TIMEOUT, connection.send_update(update)).await??)
            }
            Command::Query(query, reply) => {
                let mut requests = connection.ready().await?;
                let (response, stream) = requests.send_request(self.request(QUERY)?, false)?;
                let sender = Sender::new(stream);
                tokio::spawn(exchange_query(sender, response, query, reply));
                Ok(())
            }
            Command::Records(from, reply) => {
                let mut requests = connection.ready().await?;
                let (response, stream) = requests.send_request(self.request(RECORDS)?, false)?;
                let sender = Sender::new(stream);
                tokio::spawn(open_records(sender, response, from, reply));
                Ok(())
            }
            Command::Reset => Ok(()),
        }
    }
}

impl Connection {
    /// Returns a handle that can open a new stream.
    ///
    /// Guard: a paused peer answers nothing, so that the limit of streams to it is reached. Without
    /// a timeout the link would wait for a free stream, and the queued heartbeats would wait too.
    async fn ready(&self) -> anyhow::Result<SendRequest<Bytes>> {
        Ok(timeout(NOTICE_TIMEOUT, self.requests.clone().ready()).await??)
    }

    async fn send_update(&mut self, update: PeerUpdate) -> Result<(), StreamError> {
        for replicas in &update.replicas {
            let known = self.replicas.get(&replicas.dc);
            if known.is_some_and(|known| known.is_same(replicas)) {
                continue;
            }
            let change = replica_change(known.map(Arc::as_ref), replicas);
            let notice = NoticeWire::from(&Notice::Replicas(change));
            self.notices.send(&notice, false).await?;
            self.replicas.insert(replicas.dc, Arc::clone(replicas));
        }
        let full = self.in_flight.is_none();
        let known = self.in_flight.as_deref().map_or(&[][..], Vec::as_slice);
        let in_flight = changed_counts(known, &update.in_flight);
        let notice =
            NoticeWire::from(&Notice::Heartbeat { heartbeat: update.heartbeat, full, in_flight });
        self.notices.send(&notice, false).await?;
        self.in_flight = Some(update.in_flight);
        Ok(())
    }
}

async fn exchange_query(
    mut sender: Sender,
    response: client::ResponseFuture,
    query: PeerQuery,
    reply: oneshot::Sender<Option<PeerAnswer>>,
) {
    let exchange = async {
        sender.send(&PeerQueryWire::from(query), true).await?;
        let mut receiver = Receiver::new(response.await?.into_body(), MAX_FRAME);
        Ok::<_, StreamError>(PeerAnswer::try_from(receiver.only::<PeerAnswerWire>().await?)?)
    };
    let answer = match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(e)) => {
            log::debug!("event=question_failed cause=\"{e}\"");
            None
        }
        Err(_) => None,
    };
    let _ = reply.send(answer);
}

async fn open_records(
    mut sender: Sender,
    response: client::ResponseFuture,
    from: Offset,
    reply: oneshot::Sender<Option<Records>>,
) {
    let exchange = async {
        sender.send(&RecordsRequest { offset: from.0 }, true).await?;
        Ok::<_, StreamError>(Receiver::new(response.await?.into_body(), MAX_FRAME))
    };
    let records = timeout(ANSWER_TIMEOUT, exchange).await.ok().and_then(Result::ok);
    let _ = reply.send(records.map(|receiver| Records { receiver }));
}

/// Returns the changes from `known` to `replicas`.
fn replica_change(known: Option<&Replicas>, replicas: &Replicas) -> ReplicaChange {
    let before: &[Replica] = known.map_or(&[], |it| &it.all);
    let missing_in = |all: &[Replica], it: &Replica| all.binary_search(it).is_err();
    let added = replicas.all.iter().filter(|it| missing_in(before, it));
    let removed = before.iter().filter(|it| missing_in(&replicas.all, it));
    ReplicaChange {
        dc: replicas.dc,
        epoch: replicas.epoch,
        version: replicas.version,
        full: known.is_none(),
        added: added.copied().collect(),
        removed: removed.copied().collect(),
    }
}

/// Returns the counts that differ; zero for those that are missing from `now`.
fn changed_counts(known: &[(VmId, u32)], now: &[(VmId, u32)]) -> Vec<(VmId, u32)> {
    let count_in = |counts: &[(VmId, u32)], vm: VmId| {
        counts.binary_search_by_key(&vm, |it| it.0).map_or(0, |at| counts[at].1)
    };
    let changed = now.iter().filter(|(vm, count)| count_in(known, *vm) != *count).copied();
    let removed = known.iter().filter(|(vm, _)| count_in(now, *vm) == 0).map(|(vm, _)| (*vm, 0));
    changed.chain(removed).collect()
}
