//! The process of an entry VM on a platform that keeps all state.
//!
//! Every process takes callers' requests, writes what it accepts to the platform's log, and
//! folds the log into what it tells callers. One process at a time is the owner: it tells workers
//! what to run. Sockets, timers and log lines are here; what is decided is in `daisy-workflow`.

#![deny(missing_docs, unsafe_code)]

mod append;
mod callers;
mod clock;
mod elect;
mod follow;
mod metrics;
mod node;
mod own;
mod readiness;
mod shared;
mod submit;

pub use crate::node::run;
