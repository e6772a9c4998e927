//! Fixtures: a log that folds at once, workers that keep the platform's rules, and a driver.

// Each test binary uses its part of the fixtures.
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
