//! Workers with tasks that disturb one another, and a driver of a holder over them.
//!
//! Not a simulator of a cluster: calls are answered at once and the log folds at once. What
//! is modelled is only what placement decides on: room, use, late reports, slowdowns.

mod drive;
mod truth;
mod worker;

pub use self::{
    drive::{Drive, Spent, create, entry_vm, quota, vm},
    truth::{BATCHES, SERVICES, Truth},
    worker::{Fleet, Nature},
};
