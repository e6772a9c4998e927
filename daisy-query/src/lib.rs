//! Answers to `show`, `why` and `explain` over the ledger's [`State`](daisy_ledger::State) and
//! a [`LiveView`] view of what runs now.
//!
//! [`run`] takes both as plain data and gives a [`Table`]; nothing is changed.

#![deny(missing_docs, unsafe_code)]

mod explain;
mod live;
mod run;
mod show;
mod table;
mod why;
mod words;

pub use crate::{
    explain::describe_misfit,
    live::{LiveTask, LiveView, LiveWorker, Reason, Subject, WorkerState},
    run::{Error, run},
    table::Table,
};
