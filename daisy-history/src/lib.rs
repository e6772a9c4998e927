//! Recorded histories of daisyshift test runs, and checkers for them.
//!
//! All processes of a test run record [`Event`]s in one format; [`History`] reads and merges them.
//! Each module with a `check` function finds the [`Violation`]s of one [`Guarantee`]. A checker
//! sees only the events in the history: what no process recorded goes unnoticed.

#![deny(missing_docs, unsafe_code)]

mod event;
mod history;
mod violation;

pub mod at_most_once;
pub mod capacity;
pub mod configuration;
pub mod generation;
pub mod leaving;
pub mod not_run;
pub mod one_place;
pub mod own_answer;
pub mod planned_stop;
pub mod resume;

pub use crate::{
    event::{CallOutcome, ChangeOutcome, Event, EventKind, Run, RunEnd, Size},
    history::{History, ReadError},
    violation::{Guarantee, Violation},
};
