//! Recorded histories of daisyshift runs and their checkers.
//!
//! All processes of a run record [`Event`]s in one format; [`History`] reads and merges them.
//! Each module with a `check` function finds the [`Violation`]s of one thing that must always
//! hold. A checker judges what the history shows: what no process recorded, it cannot see.

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
    violation::{Point, Violation},
};
