//! Jobs made of dependent steps: their specification, their records, and which VM runs their tasks.
//!
//! A caller submits a job: steps of tasks, some of which depend on others. Submissions and
//! cancellations are immutable records that any entry VM may write; progress is written by one
//! entry VM at a time, the [`Owner`], under an epoch. Every entry VM folds the records that all
//! need into a [`Directory`], from which it answers callers; the records of one [shard](Layout)
//! fold into a [`Ledger`], from which the shard's next owner starts.
//!
//! Nothing here reads a clock, a socket or a file: the current time is an argument, and what is to
//! be done is returned as [`Action`]s.

#![deny(missing_docs, unsafe_code)]

mod balance;
mod directory;
mod election;
mod evacuation;
mod id;
mod ledger;
mod log_health;
mod log_rtt;
mod owner;
mod progress;
mod publisher;
mod queue;
mod reachability;
mod read_timeout;
mod record;
mod shard;
mod spec;
mod tick_delay;
mod transfer;

pub use crate::{
    balance::{Demand, FREE_BLOCKS, Load, OtherShards},
    directory::{Directory, OwnerHeartbeat, PublishedState, ReceivedHeartbeat},
    election::{Candidate, Election, ElectionDecision, PredecessorState},
    evacuation::{EvacuationRequest, Evacuations},
    id::{JobId, ParseIdError, TaskId, WorkerId},
    ledger::{FoldEffect, Job, JobState, Ledger},
    log_health::{LogHealth, SendDecision},
    log_rtt::LogRtt,
    owner::{
        Action, ActiveRun, Batch, EndedRun, Event, InheritedLeases, LossBound, LossEvidence, Note,
        OpenStart, OrderReply, Outcome, Owner, OwnershipStart, Packing, PlacementRules,
        PlacementShortfall, PredecessorsEnd, RejectReason, RenewalAnswer, Settings, Start,
        StopCause, Summary, UnconfirmedCause, UnconfirmedRun, WaitCause, Witness, Witnesses,
        Worker, WorkerKey, WorkerListing, WorkerView,
    },
    progress::{Phase, Progress, RerunTasks, TaskCopy, TaskState},
    publisher::StatePublisher,
    queue::{Queue, QueueConfig, Service},
    reachability::LogReachability,
    read_timeout::LargeReadTimeout,
    record::{
        Claim, EncodedRecord, ImageInterference, InterferenceSums, JoinedRecord, PartCounts,
        PartJoiner, Record, RecordError, RecordKey, RecordLimits, RecordWriter, RefusedRecord,
        Rejection, WrittenRecord, decode, decode_stored, encode, substitute,
    },
    shard::{Layout, ShardId},
    spec::{JobKind, JobSpec, SpecError, StepSpec, Terms},
    tick_delay::TickDelay,
    transfer::{IncomingTransfer, OutgoingTransfer, TransferState},
};
