//! Validated settings of an entry VM's process.
//!
//! [`read()`] parses the YAML text and returns either consistent [`Settings`], or all
//! [`Finding`]s at once, each with its line and column.

#![deny(missing_docs, unsafe_code)]

mod fields;
mod finding;
mod node;
mod policy;
mod read;
mod settings;

pub use crate::{
    finding::Finding,
    policy::{Policy, read_policy},
    read::read,
    settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing},
};
