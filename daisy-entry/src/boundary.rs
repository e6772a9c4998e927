//! What the request side and the control side of an entry VM share.
//!
//! The control side publishes [`Routes`] and implements [`PeerKeys`]; the request side
//! implements [`RequestSide`].

use std::{future::Future, sync::Arc, time::Duration};

use daisy_model::VmId;
use daisy_routing::Routes;
use tokio::sync::watch;

/// How the request side learns of services and backend servers.
pub type RoutesWatch = watch::Receiver<Arc<Routes>>;

/// Asks other entry VMs about idempotency keys.
///
/// `Query` and `Answer` are the messages of `daisy-routing`'s key protocol, carried as they are.
pub trait PeerKeys<Query, Answer>: Clone + Send + Sync + 'static {
    /// Sends `query` to the entry VM `peer`; `None` when no answer came within `timeout`.
    fn ask(
        &self,
        peer: VmId,
        query: Query,
        timeout: Duration,
    ) -> impl Future<Output = Option<Answer>> + Send;

    /// Notes in the platform's log that the request with the digest `key` is about to run.
    ///
    /// Of several for one key the first in the log wins, whoever appended it.
    fn announce_intent(&self, key: u128, timeout: Duration) -> impl Future<Output = Intent> + Send {
        let _ = (key, timeout);
        async { Intent::Unavailable }
    }
}

/// What came of a [`PeerKeys::announce_intent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intent {
    /// The first for its key: the request may run.
    Won,
    /// Another was first: the request may have run.
    Lost,
    /// The log did not answer in time, or this entry VM keeps no intents; the intent may yet be
    /// in the log.
    Unavailable,
}

/// What the control side asks of the request side.
pub trait RequestSide<Query, Answer>: Clone + Send + Sync + 'static {
    /// Requests in flight from this entry VM by backend server, for the heartbeat.
    fn in_flight(&self) -> Vec<(VmId, u32)>;

    /// Takes in what a peer has in flight by backend server.
    fn peer_in_flight(&self, peer: VmId, in_flight: Vec<(VmId, u32)>);

    /// Answers a peer's question about a key.
    fn answer(&self, from: VmId, query: Query) -> impl Future<Output = Answer> + Send;

    /// Stops taking callers, finishes what is in flight, hands keys over; done when it returns.
    fn drain(&self) -> impl Future<Output = ()> + Send;
}
