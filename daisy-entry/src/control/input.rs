//! Inputs of the control task: events and requests.

use std::sync::Arc;

use bytes::Bytes;
use daisy_ledger::Record;
use daisy_membership::{Heartbeat, RecordSource};
use daisy_model::{Epoch, Instant, Offset, VmId};
use daisy_wire::peer::{PeerAnswer, PeerQuery};
use tokio::sync::oneshot;

use crate::{
    control::{Appended, QueryData, Replicas, StatusJson, SubmitOutcome},
    platform::VmListing,
    worker_calls::{CallFailure, CallIssuer, WorkerAnswer, WorkerUpdate},
};

/// One event for the control task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Consecutive records of the log, and the sender for the offset from which to read on.
    Page(Page, oneshot::Sender<Offset>),
    /// The state of a peer, in place of records that the peer no longer has.
    Snapshot {
        /// The encoded state.
        bytes: Vec<u8>,
        /// Receives the offset from which to read on.
        ack: oneshot::Sender<Offset>,
    },
    /// The log no longer retains the requested offset.
    LogExpired {
        /// The first retained offset.
        first: Offset,
        /// Receives the offset from which to read on.
        ack: oneshot::Sender<Offset>,
    },
    /// A read failed, or a peer's stream ended.
    ReadFailed {
        /// The source that was read.
        source: RecordSource,
    },
    /// An append attempt has ended.
    Appended(Appended),
    /// A new version of the platform's VM list.
    Vms(VmListing),
    /// A newer version of the list, received from a peer.
    PeerVms(VmListing),
    /// The platform's VM list has not changed since the last read.
    VmsUnchanged,
    /// A peer's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The requests that the peer has in flight, by backend server.
        in_flight: Vec<(VmId, u32)>,
    },
    /// The replicas of services, received from a peer.
    Replicas(Arc<Replicas>),
    /// A call to a worker has ended.
    WorkerCallEnded {
        /// The issuer of the call.
        issuer: CallIssuer,
        /// The epoch of the call.
        epoch: Epoch,
        /// The worker.
        vm: VmId,
        /// The worker's answer, or the failure of the call.
        outcome: Result<WorkerAnswer, CallFailure>,
    },
    /// A wait for a worker's update has ended.
    WorkerUpdate {
        /// The epoch of the wait.
        epoch: Epoch,
        /// The worker.
        vm: VmId,
        /// How the wait ended.
        update: WorkerUpdate,
    },
    /// A query from a peer.
    PeerQuery {
        /// The query.
        query: PeerQuery,
        /// Receives the answer.
        reply: oneshot::Sender<PeerAnswer>,
    },
    /// A peer's request for the whole state.
    EncodeState {
        /// Receives the offset of the next record and the encoded state.
        reply: oneshot::Sender<(Offset, Vec<u8>)>,
    },
    /// A record whose outcome is awaited: an operator's change, or an intent.
    Submit {
        /// The record.
        record: Record,
        /// Receives the outcome; dropped when the outcome stays unknown.
        reply: oneshot::Sender<SubmitOutcome>,
    },
    /// An operator's query.
    QueryData {
        /// Receives the data from which the query is answered.
        reply: oneshot::Sender<QueryData>,
    },
    /// A request for the status of this entry VM.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<StatusJson>,
    },
    /// A planned stop begins.
    Stop,
    /// A request to be notified when all queued records are in the log.
    NotifyWhenFlushed {
        /// Notified once the queue is empty.
        reply: oneshot::Sender<()>,
    },
}

/// The result of a read.
#[derive(Debug)]
pub(crate) struct Page {
    /// When the read was sent.
    pub sent_at: Instant,
    /// The first and the end offset of the whole log, if the log itself answered.
    pub bounds: Option<(Offset, Offset)>,
    /// Offsets and bytes.
    pub records: Vec<(Offset, Bytes)>,
}
