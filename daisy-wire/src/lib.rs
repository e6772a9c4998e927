//! Wire types of daisyshift: JSON over HTTP for the platform and its workers, bincode for
//! the log's records and for messages between daisyshift's own processes.
//!
//! Values are converted to a wire type with `From` and from it with `TryFrom`, so that
//! received data is validated once, where it enters the process.

#![deny(missing_docs, unsafe_code)]

pub mod headers;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod report_merger;
pub mod snapshot;
pub mod worker;

/// Why a received value is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The bytes are truncated or cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message was written by a newer version.
    #[error("version {found} is newer than {known}")]
    Version {
        /// The message's version.
        found: u16,
        /// The newest version that this build supports.
        known: u16,
    },
    /// A field has an invalid value.
    #[error("field {field}: {reason}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// Why the value is rejected.
        reason: String,
    },
}
