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
    balance::{Demand, Load, Others, PIECES},
    directory::{Directory, Heard, Sign, Told},
    election::{Candidate, Election, Verdict},
    handover::{Handover, Hop, Moved},
    id::{JobId, ParseIdError, TaskId, WorkerId},
    lateness::Lateness,
    ledger::{Fold, Job, JobState, Ledger},
    owner::{
        Action, ActiveRun, Batch, EndedRun, Event, HoldAnswer, Note, OrderReply, Outcome, Owner,
        OwnershipStart, Packing, PlacementRules, PlacementShortfall, Refusal, Settings, Start,
        StopCause, Summary, UnconfirmedCause, UnconfirmedRun, WaitCause, Witness, Witnesses,
        Worker, WorkerKey, WorkerListing,
    },
    patience::Patience,
    progress::{Copy, Phase, Progress, TaskState},
    queue::{Queue, Queues, Service},
    reach::Reach,
    record::{Claim, Disturbance, OWNER_KEY, Observations, Record, RecordError, decode, encode},
    shard::{Layout, ShardId},
    silence::{Silence, Turn},
    spec::{JobKind, JobSpec, SpecError, StepSpec, Terms},
    telling::Telling,
};
