//! The links to all peers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daisy_ledger::{Record, RecordOutcome};
use daisy_model::{Offset, SortedMap, VmId};
use daisy_routing::{KeyAnswer, KeyQuery};
use daisy_wire::peer::{PeerAnswer, PeerQuery};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    boundary::{IntentOutcome, PeerKeys},
    control::{Input, SubmitOutcome},
    peers::{
        Command, Traffic,
        link::{Link, Records},
    },
};

/// Capacity of a link's command queue; further commands are dropped, as heartbeats are soon out of
/// date.
const COMMAND_QUEUE: usize = 256;
/// How long a peer may take to start forwarding records.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct OpenLink {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
}

#[derive(Debug)]
struct SharedLinks {
    own: VmId,
    addresses: SortedMap<VmId, SocketAddr>,
    open: SortedMap<VmId, OpenLink>,
}

/// The links to all peers; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    shared: Arc<Mutex<SharedLinks>>,
    pub traffic: Traffic,
}

impl Links {
    /// Creates an empty set of links of the entry VM `own`.
    pub fn new(own: VmId) -> Links {
        let shared = SharedLinks { own, addresses: SortedMap::new(), open: SortedMap::new() };
        Links { shared: Arc::new(Mutex::new(shared)), traffic: Traffic::default() }
    }

    /// Sets the addresses of peers; links to all others are closed.
    pub fn set_addresses(&self, addresses: SortedMap<VmId, SocketAddr>) {
        let mut shared = self.lock();
        shared.open.retain(|vm, open| addresses.get(vm) == Some(&open.address));
        shared.addresses = addresses;
    }

    /// Returns a peer chosen at random.
    pub fn any_peer(&self) -> Option<VmId> {
        let shared = self.lock();
        let count = shared.addresses.len();
        let at = fastrand::usize(..count.max(1));
        shared.addresses.iter().nth(at).map(|(vm, _)| *vm)
    }

    /// Queues a command for the link to `peer`; returns `false` if it is dropped.
    pub fn send(&self, peer: VmId, command: Command) -> bool {
        self.link(peer).is_some_and(|commands| commands.try_send(command).is_ok())
    }

    /// Sends a query to `peer`; returns `None` if no answer arrives within `limit`.
    pub async fn send_query(
        &self,
        peer: VmId,
        query: PeerQuery,
        limit: Duration,
    ) -> Option<PeerAnswer> {
        let (reply, answer) = oneshot::channel();
        if !self.send(peer, Command::Query(query, reply)) {
            return None;
        }
        timeout(limit, answer).await.ok()?.ok()?
    }

    /// Reads the log's records from `peer`, starting at `from`.
    pub async fn records(&self, peer: VmId, from: Offset) -> Option<Records> {
        let (reply, records) = oneshot::channel();
        if !self.send(peer, Command::Records(from, reply)) {
            return None;
        }
        timeout(RECORDS_TIMEOUT, records).await.ok()?.ok()?
    }

    fn link(&self, peer: VmId) -> Option<mpsc::Sender<Command>> {
        let mut shared = self.lock();
        if let Some(open) = shared.open.get(&peer) {
            return Some(open.commands.clone());
        }
        let address = *shared.addresses.get(&peer)?;
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
        let link = Link { own: shared.own, peer, address, traffic: self.traffic.clone() };
        tokio::spawn(link.run(queue));
        shared.open.insert(peer, OpenLink { address, commands: commands.clone() });
        Some(commands)
    }

    fn lock(&self) -> MutexGuard<'_, SharedLinks> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queries peers about idempotency keys, and announces intents in the log, for the request side.
#[derive(Debug, Clone)]
pub struct PeerKeyClient {
    pub(crate) own: VmId,
    pub(crate) links: Links,
    pub(crate) control: mpsc::Sender<Input>,
}

impl PeerKeys<KeyQuery, KeyAnswer> for PeerKeyClient {
    async fn send_query(
        &self,
        peer: VmId,
        query: KeyQuery,
        timeout: Duration,
    ) -> Option<KeyAnswer> {
        match self.links.send_query(peer, PeerQuery::Key(query), timeout).await? {
            PeerAnswer::Key(answer) => Some(answer),
            _ => None,
        }
    }

    async fn announce_intent(&self, key: u128, limit: Duration) -> IntentOutcome {
        let (reply, outcome) = oneshot::channel();
        let record = Record::Intent { key, entry: self.own };
        if self.control.send(Input::Submit { record, reply }).await.is_err() {
            return IntentOutcome::Unavailable;
        }
        match timeout(limit, outcome).await {
            Ok(Ok(SubmitOutcome::Folded(RecordOutcome::Announced))) => IntentOutcome::Won,
            Ok(Ok(SubmitOutcome::Folded(RecordOutcome::AlreadyAnnounced(_)))) => {
                IntentOutcome::Lost
            }
            // Without the fold's outcome the record may still reach the log.
            _ => IntentOutcome::Unavailable,
        }
    }
}
