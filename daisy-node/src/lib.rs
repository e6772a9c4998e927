//! The process of an entry VM on a platform that keeps all state.
//!
//! Every process takes callers' requests, writes what it accepts to the platform's log, and
//! folds the log into what it tells callers. Each shard of the workers has one process at a time
//! that owns it: it tells the shard's workers what to run. Sockets, timers and log lines are here; what is decided is in `daisy-workflow`.

#![deny(missing_docs, unsafe_code)]

mod append;
mod callers;
mod clock;
mod elect;
mod follow;
mod jobs;
mod metrics;
mod node;
mod own;
mod readiness;
mod shared;
mod states;
mod submit;

pub use crate::node::run;
