//! Answers the statements `show`, `why` and `explain` from the ledger's
//! [`State`](daisy_ledger::State) and a [`LiveView`] of what runs now.
//!
//! [`run`] reads both as plain data and returns a [`Table`]. It changes neither.

#![deny(missing_docs, unsafe_code)]

mod explain;
mod live;
mod run;
mod show;
mod table;
mod text;
mod why;

pub use crate::{
    explain::describe_misfit,
    live::{LiveTask, LiveView, LiveWorker, Reason, Subject, WorkerState},
    run::{Error, run},
    table::Table,
};
