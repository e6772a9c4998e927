//! Stand-ins for the platform, workers, backend servers and callers of daisyshift.
//!
//! Each stand-in can be started within a process (`X::start(options)` returns a handle) or run as a
//! process of its own (`run(options)`). It records what it observes as [`daisy_history::Event`]s.
//! Its fault switches ([`Faults`]) are set with the handle or by `POST /standin/faults`.
//! `GET /standin/history` returns the events so far as JSON lines.

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
