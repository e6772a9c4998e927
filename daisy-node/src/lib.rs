//! The process of an entry VM on a platform that keeps all state.
//!
//! Every process accepts callers' requests, appends submissions and cancellations to the platform's
//! log, and folds the log into the state from which it answers callers. At any time one process
//! owns each shard of the workers and orders the shard's workers to run tasks. This crate has the
//! sockets, timers and log lines; the decisions are made in `daisy-workflow`.

#![deny(missing_docs, unsafe_code)]

mod admit;
mod append;
mod callers;
mod clock;
mod elect;
mod follow;
mod jobs;
mod metrics;
mod node;
mod operators;
mod own;
mod queries;
mod readiness;
mod relay;
mod shared;
mod states;
mod submit;
mod suspension;

pub use crate::node::run;
