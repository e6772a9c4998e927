//! Recorded histories of daisyshift runs and their checkers.

#![deny(missing_docs, unsafe_code)]

mod event;
mod history;

pub use crate::{
    event::{End, Event, Kind, Outcome, Run, Size},
    history::{History, ReadError},
};
