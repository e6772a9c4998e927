//! Wire types of daisyshift: HTTP JSON for the platform and its workers, bincode
//! for the log's records and between daisyshift's own processes.
//!
//! Each wire type converts with `From` into it and `TryFrom` out of it, so that what
//! arrives is checked once, at the edge.

#![deny(missing_docs, unsafe_code)]

pub mod headers;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod report_merger;
pub mod snapshot;
pub mod worker;

/// Why a value from the wire is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The bytes end early or do not decode.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message was written by a newer version.
    #[error("version {found} is newer than {known}")]
    Version {
        /// The version found.
        found: u16,
        /// The newest version known.
        known: u16,
    },
    /// A field holds what it must not.
    #[error("field {field}: {reason}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// Why it is refused.
        reason: String,
    },
}
