//! Fixtures: a log that is folded at once, workers that enforce the platform's rules, and a
//! driver.

// Each test binary uses only a part of the fixtures.
#![allow(dead_code, unused_imports)]

mod build;
mod chaos;
mod worker;
mod world;

pub use self::{
    build::{batch, name, quota, service, size, vm},
    chaos::Chaos,
    worker::{FakeWorker, Started},
    world::{LEASE, World, empty_call, task},
};
