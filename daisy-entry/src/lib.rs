//! The entry VM's process: sockets, timers, metrics and logs around the core.
//!
//! The control side (log, membership, holder, peers, operators) and the request side communicate
//! through [`boundary`]; neither calls into the other's internals.

#![deny(missing_docs, unsafe_code)]

pub mod boundary;
pub mod proxy;

mod append_calls;
mod callers;
mod clock;
mod control;
mod entry;
mod metrics;
mod operators;
mod peers;
mod platform;
mod process;
mod reader;
mod vm_list;
mod worker_calls;

pub use crate::{
    entry::{Addresses, Entry, start},
    peers::PeerKeyClient,
    process::run,
};
