//! The entry VM's process: sockets, timers, metrics and logs round the core.
//!
//! The control side (log, membership, holder, peers, operators) tells the request side
//! what it needs through [`boundary`]; neither calls into the other's internals.

#![deny(missing_docs, unsafe_code)]

pub mod boundary;
pub mod proxy;
