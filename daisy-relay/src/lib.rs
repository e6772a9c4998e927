//! Reading the platform's log through other entry VMs.
//!
//! If every VM reads every record from the log, the bytes and calls at the log grow as the number of
//! VMs times the number of records, and most of these bytes cross the link between the regions. So a
//! few VMs of each data centre, the *readers*, read the log and keep what they read in a
//! [`RecordCache`]; the other VMs follow a reader, which a [`SourceSelector`] chooses.
//!
//! A cache holds nothing that the log does not hold, and offsets are the log's. A VM that changes
//! its source goes on at the offset that it has reached, so it never goes back in what it knows.

#![deny(missing_docs, unsafe_code)]

mod cache;
mod record;
mod role;
mod select;

pub use crate::{
    cache::{Batch, RecordCache},
    record::StoredRecord,
    role::{READER_SLOTS, is_reader},
    select::{Source, SourceSelector},
};
