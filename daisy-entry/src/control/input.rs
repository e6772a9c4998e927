//! What the control task is told and asked.

use std::sync::Arc;

use bytes::Bytes;
use daisy_ledger::Record;
use daisy_membership::{Heartbeat, Source};
use daisy_model::{Epoch, Instant, Offset, VmId};
use daisy_wire::peer::{Answer, Question};
use tokio::sync::oneshot;

use crate::{
    control::{Appended, QueryData, Replicas, StatusJson, SubmitOutcome},
    platform::VmListing,
    worker_calls::{CallFailure, CallIssuer, WorkerAnswer, WorkerUpdate},
};

/// One event for the control task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Consecutive records of the log, and who is told the offset to read on from.
    Page(Page, oneshot::Sender<Offset>),
    /// The state of a peer, in place of records that it no longer has.
    Snapshot {
        /// The encoded state.
        bytes: Vec<u8>,
        /// Told the offset to read on from.
        ack: oneshot::Sender<Offset>,
    },
    /// The log no longer keeps the offset asked for.
    Expired {
        /// The first offset that it keeps.
        first: Offset,
        /// Told the offset to read on from.
        ack: oneshot::Sender<Offset>,
    },
    /// A read got no answer, or a peer's stream ended.
    ReadFailed {
        /// Where it was read.
        source: Source,
    },
    /// A try to append has ended.
    Appended(Appended),
    /// A new version of the platform's VM list.
    Vms(VmListing),
    /// A newer version of it as a peer has it.
    PeerVms(VmListing),
    /// The platform's VM list is still the version passed on last.
    VmsUnchanged,
    /// A peer's heartbeat.
    Heartbeat {
        /// The heartbeat.
        beat: Heartbeat,
        /// All that the peer has in flight, by backend server.
        in_flight: Vec<(VmId, u32)>,
    },
    /// Where services run, as a peer tells it.
    Replicas(Arc<Replicas>),
    /// A call to a worker has ended.
    Worker {
        /// Who called.
        issuer: CallIssuer,
        /// The epoch of the call.
        epoch: Epoch,
        /// The worker.
        vm: VmId,
        /// Its answer.
        outcome: Result<WorkerAnswer, CallFailure>,
    },
    /// A wait for a worker's news has ended.
    WorkerUpdate {
        /// The epoch that waited.
        epoch: Epoch,
        /// The worker.
        vm: VmId,
        /// How.
        update: WorkerUpdate,
    },
    /// A peer asks.
    Question {
        /// The question.
        question: Question,
        /// Told the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A peer asks for the whole state.
    Encode {
        /// Told the offset of the next record, and the state.
        reply: oneshot::Sender<(Offset, Vec<u8>)>,
    },
    /// A record whose outcome somebody waits for: an operator's change, or an intent.
    Submit {
        /// The record.
        record: Record,
        /// Told what the fold made of it; dropped when that stays open.
        reply: oneshot::Sender<SubmitOutcome>,
    },
    /// An operator looks.
    QueryData {
        /// Told what there is to see.
        reply: oneshot::Sender<QueryData>,
    },
    /// A check asks how this entry VM stands.
    Status {
        /// Told how it stands.
        reply: oneshot::Sender<StatusJson>,
    },
    /// A planned stop begins.
    Stop,
    /// Tells when all that was to be appended is in the log.
    Flushed {
        /// Told then.
        reply: oneshot::Sender<()>,
    },
}

/// What a read gave.
#[derive(Debug)]
pub(crate) struct Page {
    /// When the read was sent.
    pub asked: Instant,
    /// The first and the end of the whole log, when the log itself answered.
    pub bounds: Option<(Offset, Offset)>,
    /// Offsets and bytes.
    pub records: Vec<(Offset, Bytes)>,
}
