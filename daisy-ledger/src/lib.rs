//! Log records of daisyshift and their deterministic fold into state.
//!
//! The platform's log is the only durable storage. Every process folds the same records in the
//! order of their offsets and so computes the same [`State`].

#![deny(missing_docs, unsafe_code)]

pub mod append;
mod change;
mod checkout;
mod exit;
mod fold;
mod intents;
mod jobs;
mod quota;
mod record;
mod refusal;
mod senders;
pub mod snapshot;
mod state;
mod subject;

pub use crate::{
    fold::{Applied, EntryStatus, RecordOutcome},
    intents::{Intent, Intents},
    jobs::Jobs,
    record::{AppendId, Batch, Placement, Record},
    refusal::Refusal,
    senders::Senders,
    state::{
        AuditEntry, AuditStart, ChangeOutcome, FoldCounters, HolderClaim, Job, Owner, State, Task,
        TaskState, Team,
    },
    subject::Subject,
};
