//! Log records of daisyshift and their deterministic fold into state.
//!
//! The platform's log is the only thing that lasts. Every process folds the same
//! records in the order of their offsets and so comes to the same [`State`].

#![deny(missing_docs, unsafe_code)]

mod record;
mod state;

pub use crate::{
    record::{AppendId, Batch, Placement, Record},
    state::{AuditEntry, Holding, Job, Owner, State, Task, TaskState, Team, Verdict},
};
