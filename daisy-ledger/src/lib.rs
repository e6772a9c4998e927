//! Log records of daisyshift and their deterministic fold into state.
//!
//! The platform's log is the only thing that lasts. Every process folds the same
//! records in the order of their offsets and so comes to the same [`State`].

#![deny(missing_docs, unsafe_code)]

mod change;
mod checkout;
mod exit;
mod fold;
mod jobs;
mod record;
mod senders;
mod state;
mod subject;

pub use crate::{
    change::Refusal,
    fold::{Applied, Outcome, Status},
    jobs::Jobs,
    record::{AppendId, Batch, Placement, Record},
    senders::Senders,
    state::{AuditEntry, Counts, Holding, Job, Owner, State, Task, TaskState, Team, Verdict},
    subject::Subject,
};
