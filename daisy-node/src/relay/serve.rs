//! Answers the reads of other VMs.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use daisy_stream::{Receiver, Sender};
use daisy_wire::relay::{ReadAnswer, ReadAnswerWire, ReadRequest, ReadRequestWire, RelayedTopic};
use daisy_workflow::{Layout, ShardId};
use h2::{
    RecvStream,
    server::{self, SendResponse},
};
use http::{Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};

use super::{Relay, WAIT_MAX, lock};
use crate::clock;

/// The path of a read.
pub(super) const READ_PATH: &str = "/v1/relay/read";
/// The most connections: more than the VMs of a data centre of a fleet of a thousand.
const CONNECTIONS: usize = 512;
/// The most concurrent streams of a connection; a follower needs one a topic.
const STREAMS: u32 = 8;
/// The longest request, in bytes.
const REQUEST_LIMIT: usize = 1 << 10;
/// The longest answer that is not a snapshot, in bytes; a follower reads on at once.
const ANSWER_BYTES: usize = 128 << 10;
/// The flow-control window, in bytes.
const WINDOW: u32 = 1 << 20;
/// How long a handshake or the arrival of a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection without requests stays open: a follower reads every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts connections of followers.
pub(crate) async fn serve(relay: Relay, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let (socket, address) = match listener.accept().await {
            Ok(it) => it,
            Err(e) => {
                log::warn!("event=follower_accept_failed cause=\"{e}\"");
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!("event=follower_refused address={address} cause=\"too many connections\"");
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            relay.0.metrics.add_followers(1);
            if let Err(e) = serve_connection(&relay, socket).await {
                log::debug!("event=follower_lost address={address} cause=\"{e:#}\"");
            }
            relay.0.metrics.add_followers(-1);
            drop(permit);
        });
    }
}

async fn serve_connection(relay: &Relay, socket: TcpStream) -> anyhow::Result<()> {
    socket.set_nodelay(true)?;
    let mut builder = server::Builder::new();
    builder
        .max_concurrent_streams(STREAMS)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let handshake = builder.handshake::<_, Bytes>(socket);
    let mut connection =
        timeout(REQUEST_TIMEOUT, handshake).await.context("the handshake timed out")??;
    while let Some(accepted) =
        timeout(IDLE_TIMEOUT, connection.accept()).await.context("no request came")?
    {
        let (req, respond) = accepted?;
        let relay = relay.clone();
        tokio::spawn(async move {
            if let Err(e) = serve_read(&relay, req, respond).await {
                log::debug!("event=follower_read_failed cause=\"{e:#}\"");
            }
        });
    }
    Ok(())
}

async fn serve_read(
    relay: &Relay,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> anyhow::Result<()> {
    if req.uri().path() != READ_PATH {
        let mut res = Response::new(());
        *res.status_mut() = StatusCode::NOT_FOUND;
        respond.send_response(res, true)?;
        anyhow::bail!("unknown path {:?}", req.uri().path());
    }
    let mut receiver = Receiver::new(req.into_body(), REQUEST_LIMIT);
    let wire = timeout(REQUEST_TIMEOUT, receiver.only::<ReadRequestWire>()).await;
    let req = ReadRequest::try_from(wire.context("the request timed out")??)?;
    let answer = ReadAnswerWire::from(answer(relay, req).await);
    let mut sender = Sender::new(respond.send_response(Response::new(()), false)?);
    Ok(sender.send(&answer, true).await?)
}

/// Waits until there are records for the request, or until its wait is over.
async fn answer(relay: &Relay, req: ReadRequest) -> ReadAnswer {
    let arrived_at = clock::now();
    let wait = req.wait.min(WAIT_MAX);
    let kept = relay.topic(req.topic);
    let mut changes = kept.changes.subscribe();
    loop {
        let now = clock::now();
        let held = now.since(arrived_at);
        // A VM that follows others answers too: what it keeps is as old as it says.
        let batch = match req.topic {
            RelayedTopic::Operators | RelayedTopic::States => {
                lock(&kept.cache).read(now, req.from, ANSWER_BYTES)
            }
            RelayedTopic::Workers { shard, shards } => {
                *lock(&relay.0.workers_asked_at) = Some(now);
                let is_of_shard =
                    |key: &str| Layout { shards }.shard_of_worker(&key.into()) == ShardId(shard);
                lock(&kept.cache).read_matching(now, req.from, ANSWER_BYTES, is_of_shard)
            }
        };
        let Some(batch) = batch else { return ReadAnswer::NoRecords };
        if !batch.records.is_empty() || held >= wait {
            let log_rtt = relay.0.shared.lock().log_rtt.estimate();
            let is_leaving = relay.is_leaving(now);
            return ReadAnswer::Records { batch, held, log_rtt, is_leaving };
        }
        // Neither the end of the wait nor a closed channel needs an answer of its own.
        let _ = timeout(wait - held, changes.changed()).await;
    }
}
