//! Jobs made of dependent steps: what they are, what is recorded of them, and who runs what.
//!
//! A caller submits a job: steps of tasks, some of which wait for others. Submissions and
//! cancellations are immutable records that any entry VM may write; progress is written by one
//! entry VM at a time, the [`Owner`], under an epoch. Every entry VM folds what all need to know into
//! a [`Directory`], which answers callers; the records of one [shard](Layout) fold into a
//! [`Ledger`], from which its next owner starts.
//!
//! Nothing here reads a clock, a socket or a file: the present time is an argument, and what is
//! to be done comes back as [`Action`]s.

#![deny(missing_docs, unsafe_code)]

mod balance;
mod directory;
mod election;
mod handover;
mod id;
mod lateness;
mod ledger;
mod owner;
mod patience;
mod progress;
mod queue;
mod reach;
mod record;
mod shard;
mod silence;
mod spec;
mod telling;

pub use crate::{
    balance::{Demand, FREE_BLOCKS, Load, OtherShards},
    directory::{Directory, OwnerHeartbeat, PublishedState, ReceivedHeartbeat},
    election::{Candidate, Election, ElectionDecision},
    handover::{IncomingTransfer, Moved, OutgoingTransfer},
    id::{JobId, ParseIdError, TaskId, WorkerId},
    lateness::TickDelay,
    ledger::{FoldEffect, Job, JobState, Ledger},
    owner::{
        Action, Batch, Claimed, Doubt, Ended, Event, HoldAnswer, Lacks, Listed, Note, OrderReply,
        Outcome, Owner, Packing, Refusal, Rules, Running, Settings, Start, StopCause, Summary,
        Uncertain, WaitCause, Witness, Witnesses, Worker, WorkerKey,
    },
    patience::LargeReadTimeout,
    progress::{Copy, Phase, Progress, TaskState},
    queue::{Queue, QueueConfig, Service},
    reach::LogReachability,
    record::{
        Claim, ImageInterference, InterferenceSums, OWNER_KEY, Record, RecordError, decode, encode,
    },
    shard::{Layout, ShardId},
    silence::{LogHealth, SendDecision},
    spec::{JobKind, JobSpec, SpecError, StepSpec, Terms},
    telling::StatePublisher,
};
