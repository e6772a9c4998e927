//! Stand-ins for the platform, workers, backend servers and callers of daisyshift.
//!
//! Each has an in-process handle (`X::start(options)`) and a `run(options)` for a process
//! of its own, records what it saw as [`daisy_history::Event`]s, and takes fault switches
//! ([`Faults`]) on its handle and by `POST /standin/faults`. `GET /standin/history` gives
//! the events so far as JSON lines.

#![deny(missing_docs, unsafe_code)]

mod answer;
mod fault;
mod http;
mod recorder;
mod repeat;
mod run;

pub mod backend;
pub mod client;
pub mod link;
pub mod load;
pub mod platform;
pub mod worker;

pub use crate::{
    backend::Backend,
    fault::{FaultError, Faults},
    link::Link,
    platform::Platform,
    recorder::Recorder,
    worker::Worker,
};
