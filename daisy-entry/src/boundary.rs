//! The interfaces between the request side and the control side of an entry VM.
//!
//! The control side publishes [`Routes`] and implements [`PeerKeys`]; the request side implements
//! [`RequestSide`].

use std::{future::Future, sync::Arc, time::Duration};

use daisy_model::VmId;
use daisy_routing::Routes;
use tokio::sync::watch;

/// The channel on which the request side receives services and backend servers.
pub type RoutesWatch = watch::Receiver<Arc<Routes>>;

/// Queries other entry VMs about idempotency keys.
///
/// `Query` and `Answer` are the messages of `daisy-routing`'s key protocol, transported unchanged.
pub trait PeerKeys<Query, Answer>: Clone + Send + Sync + 'static {
    /// Sends `query` to the entry VM `peer`; returns `None` if no answer arrives within `timeout`.
    fn send_query(
        &self,
        peer: VmId,
        query: Query,
        timeout: Duration,
    ) -> impl Future<Output = Option<Answer>> + Send;

    /// Records in the platform's log that the request with the digest `key` is about to run.
    ///
    /// Of several intents for one key the first in the log wins, whichever entry VM appended it.
    fn announce_intent(
        &self,
        key: u128,
        timeout: Duration,
    ) -> impl Future<Output = IntentOutcome> + Send {
        let _ = (key, timeout);
        async { IntentOutcome::Unavailable }
    }
}

/// The result of [`PeerKeys::announce_intent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentOutcome {
    /// This intent is the first for its key: the request may run.
    Won,
    /// Another intent was first: the request may have run.
    Lost,
    /// The log did not answer in time, or this entry VM does not record intents; the intent may
    /// still be in the log.
    Unavailable,
}

/// The interface of the request side for the control side.
pub trait RequestSide<Query, Answer>: Clone + Send + Sync + 'static {
    /// Returns the requests in flight from this entry VM by backend server, for the heartbeat.
    fn in_flight(&self) -> Vec<(VmId, u32)>;

    /// Updates the requests that a peer has in flight by backend server.
    fn peer_in_flight(&self, peer: VmId, in_flight: Vec<(VmId, u32)>);

    /// Answers a peer's query about a key.
    fn answer(&self, from: VmId, query: Query) -> impl Future<Output = Answer> + Send;

    /// Stops accepting callers, finishes requests in flight and hands keys over; completes when all
    /// of this is done.
    fn drain(&self) -> impl Future<Output = ()> + Send;
}
