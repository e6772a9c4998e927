//! The peers' port: notices, records and queries from other entry VMs.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use bytes::Bytes;
use daisy_model::{DcId, Offset, SortedMap, VmId};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_stream::{Receiver, Sender, StreamError};
use daisy_wire::{
    headers,
    peer::{
        Notice, NoticeWire, PeerAnswer, PeerAnswerWire, PeerQuery, PeerQueryWire,
        RecordStreamMessage, RecordStreamMessageWire, RecordsRequest, Replica, ReplicaChange,
    },
};
use h2::{
    RecvStream,
    server::{self, SendResponse},
};
use http::{HeaderMap, Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, oneshot},
    time::timeout,
};

use crate::{
    boundary::RequestSide,
    control::{Input, Replicas},
    peers::{NOTICES, QUERY, RECORDS, Tail, Traffic, tail::Chunk},
};

/// The maximum size of an unsolicited message from a peer, in bytes; handovers of keys are the
/// longest.
const MESSAGE_LIMIT: usize = 8 << 20;
/// The maximum number of concurrent streams of one peer.
const STREAMS: u32 = 256;
/// The maximum number of connections of all peers: 48 entry VMs, each twice while one is replaced.
const CONNECTIONS: usize = 128;
/// The maximum size of a request's headers, in bytes.
const HEADER_LIMIT: u32 = 4 << 10;
/// The flow-control window, in bytes.
const WINDOW: u32 = 1 << 20;
/// How long the handshake of a new connection may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a query may take to arrive, and its answer to be found.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// The addresses that may connect.
#[derive(Debug, Clone)]
pub(crate) struct AllowedPeers {
    addresses: Vec<IpAddr>,
}

impl AllowedPeers {
    /// Allows only `addresses`, or all addresses if there are none.
    pub fn new(addresses: Vec<IpAddr>) -> AllowedPeers {
        AllowedPeers { addresses }
    }

    fn is_allowed(&self, address: SocketAddr) -> bool {
        self.addresses.is_empty() || self.addresses.contains(&address.ip())
    }
}

/// The server of the peers' port.
#[derive(Debug, Clone)]
pub(crate) struct Server<R> {
    pub allowed: AllowedPeers,
    pub requests: R,
    pub control: mpsc::Sender<Input>,
    pub tail: Tail,
    pub traffic: Traffic,
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Server<R> {
    /// Accepts connections until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let (socket, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("event=peer_accept_failed cause=\"{e}\"");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            if !self.allowed.is_allowed(address) {
                log::warn!("event=peer_refused address={address} cause=not_allowed");
                continue;
            }
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                log::warn!("event=peer_refused address={address} cause=too_many");
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                if let Err(e) = server.serve_connection(socket).await {
                    log::debug!("event=peer_connection_broken address={address} cause=\"{e:#}\"");
                }
                drop(permit);
            });
        }
    }

    async fn serve_connection(&self, socket: TcpStream) -> anyhow::Result<()> {
        socket.set_nodelay(true)?;
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(STREAMS)
            .max_header_list_size(HEADER_LIMIT)
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW);
        let handshake = builder.handshake::<_, Bytes>(self.traffic.count(socket));
        let mut connection =
            timeout(HANDSHAKE_TIMEOUT, handshake).await.context("handshake timed out")??;
        while let Some(accepted) = connection.accept().await {
            let (req, respond) = accepted?;
            let server = self.clone();
            tokio::spawn(async move {
                if let Err(e) = server.serve_stream(req, respond).await {
                    log::warn!("event=peer_stream_refused cause=\"{e:#}\"");
                }
            });
        }
        Ok(())
    }

    async fn serve_stream(
        &self,
        req: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> anyhow::Result<()> {
        let (parts, body) = req.into_parts();
        let Some(from) = read_sender(&parts.headers) else {
            reject(&mut respond, StatusCode::BAD_REQUEST)?;
            anyhow::bail!("header {} is missing or malformed", headers::FROM);
        };
        let receiver = Receiver::new(body, MESSAGE_LIMIT);
        match parts.uri.path() {
            NOTICES => self.serve_notices(from, receiver, respond).await,
            RECORDS => self.serve_records(receiver, respond).await,
            QUERY => self.serve_query(from, receiver, respond).await,
            other => {
                reject(&mut respond, StatusCode::NOT_FOUND)?;
                anyhow::bail!("unknown path {other:?}")
            }
        }
    }

    /// Handles a peer's notices until the peer ends the stream.
    async fn serve_notices(
        &self,
        from: VmId,
        mut receiver: Receiver,
        mut respond: SendResponse<Bytes>,
    ) -> anyhow::Result<()> {
        let mut notice_state = NoticeState::default();
        loop {
            let notice = match next_notice(&mut receiver).await {
                Ok(Some(notice)) => notice,
                // A link that is dropped ends here: its peer is lost or reconnects.
                Ok(None) | Err(StreamError::H2(_)) => return Ok(()),
                Err(e) => {
                    reject(&mut respond, StatusCode::BAD_REQUEST)?;
                    return Err(e.into());
                }
            };
            let input = match notice {
                Notice::Heartbeat { heartbeat, .. } if heartbeat.vm != from => {
                    reject(&mut respond, StatusCode::BAD_REQUEST)?;
                    anyhow::bail!("heartbeat of {} on the stream of {from}", heartbeat.vm);
                }
                Notice::Heartbeat { heartbeat, full, in_flight } => {
                    let in_flight = notice_state.in_flight(full, in_flight);
                    Input::Heartbeat { heartbeat, in_flight }
                }
                Notice::Replicas(change) => Input::Replicas(notice_state.replicas(change)),
            };
            self.control.send(input).await.context("stopping")?;
        }
    }

    /// Forwards the log's records until the peer closes the stream.
    async fn serve_records(
        &self,
        mut receiver: Receiver,
        mut respond: SendResponse<Bytes>,
    ) -> anyhow::Result<()> {
        let RecordsRequest { offset } = receiver.only().await?;
        let mut from = Offset(offset);
        let stream = respond.send_response(Response::new(()), false)?;
        let mut sender = Sender::new(stream);
        let mut fold_updates = self.tail.subscribe();
        loop {
            fold_updates.borrow_and_update();
            let message = match self.tail.chunk(from) {
                Chunk::Nothing => {
                    if fold_updates.changed().await.is_err() {
                        sender.finish();
                        return Ok(());
                    }
                    continue;
                }
                Chunk::Records(records) => {
                    let first = from;
                    from = Offset(from.0 + records.len() as u64);
                    let bodies = records.iter().map(|it| it.to_vec()).collect();
                    RecordStreamMessage::Records { first, bodies }
                }
                Chunk::TooOld => {
                    let (next, bytes) = self.snapshot().await?;
                    from = next;
                    RecordStreamMessage::Snapshot { next, bytes }
                }
            };
            // If the peer closes the stream, sending fails here and ends the task.
            sender.send(&RecordStreamMessageWire::from(message), false).await?;
        }
    }

    async fn snapshot(&self) -> anyhow::Result<(Offset, Vec<u8>)> {
        let (reply, encoded) = oneshot::channel();
        self.control.send(Input::EncodeState { reply }).await.context("stopping")?;
        encoded.await.context("stopping")
    }

    async fn serve_query(
        &self,
        from: VmId,
        mut receiver: Receiver,
        mut respond: SendResponse<Bytes>,
    ) -> anyhow::Result<()> {
        let query = async {
            let wire = receiver.only::<PeerQueryWire>().await?;
            Ok::<_, StreamError>(PeerQuery::try_from(wire)?)
        };
        let query = match timeout(QUERY_TIMEOUT, query).await.context("query timed out")? {
            Ok(query) => query,
            Err(e) => {
                reject(&mut respond, StatusCode::BAD_REQUEST)?;
                return Err(e.into());
            }
        };
        let answer = timeout(QUERY_TIMEOUT, self.answer(from, query)).await?;
        let stream = respond.send_response(Response::new(()), false)?;
        let mut sender = Sender::new(stream);
        Ok(sender.send(&PeerAnswerWire::from(answer), true).await?)
    }

    async fn answer(&self, from: VmId, query: PeerQuery) -> PeerAnswer {
        if let PeerQuery::Key(key_query) = query {
            return PeerAnswer::Key(self.requests.answer(from, key_query).await);
        }
        let (reply, answer) = oneshot::channel();
        match self.control.send(Input::PeerQuery { query, reply }).await {
            Ok(()) => answer.await.unwrap_or(PeerAnswer::Unable),
            Err(_) => PeerAnswer::Unable,
        }
    }
}

async fn next_notice(receiver: &mut Receiver) -> Result<Option<Notice>, StreamError> {
    match receiver.next::<NoticeWire>().await? {
        Some(wire) => Ok(Some(Notice::try_from(wire)?)),
        None => Ok(None),
    }
}

fn reject(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(drop)
}

fn read_sender(map: &HeaderMap) -> Option<VmId> {
    map.get(headers::FROM)?.to_str().ok()?.parse().ok().map(VmId)
}

/// The state received on one stream of notices, to which changes are applied.
#[derive(Debug, Default)]
struct NoticeState {
    in_flight: SortedMap<VmId, u32>,
    replicas: SortedMap<DcId, Vec<Replica>>,
}

impl NoticeState {
    fn in_flight(&mut self, full: bool, changes: Vec<(VmId, u32)>) -> Vec<(VmId, u32)> {
        if full {
            self.in_flight = SortedMap::new();
        }
        for (vm, count) in changes {
            match count {
                0 => self.in_flight.remove(&vm),
                count => self.in_flight.insert(vm, count),
            };
        }
        self.in_flight.iter().map(|(vm, count)| (*vm, *count)).collect()
    }

    fn replicas(&mut self, change: ReplicaChange) -> Arc<Replicas> {
        let all = self.replicas.get_or_insert_with(change.dc, Vec::new);
        if change.full {
            all.clear();
        }
        all.retain(|it| change.removed.binary_search(it).is_err());
        all.extend(change.added);
        all.sort_unstable();
        all.dedup();
        Arc::new(Replicas {
            dc: change.dc,
            epoch: change.epoch,
            version: change.version,
            all: all.clone(),
        })
    }
}
