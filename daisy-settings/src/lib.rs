//! Checked settings of a process and published configuration.

#![deny(missing_docs, unsafe_code)]

mod settings;

pub use crate::settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing};
