//! Checked settings of an entry VM's process.
//!
//! [`read()`] takes the YAML text and gives either [`Settings`] that hold together, or
//! every [`Finding`] at once with its line and column.

#![deny(missing_docs, unsafe_code)]

mod fields;
mod finding;
mod node;
mod read;
mod settings;

pub use crate::{
    finding::Finding,
    read::read,
    settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing},
};
