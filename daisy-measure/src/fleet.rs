//! Modelled workers whose tasks interfere with one another, and a driver that runs a holder over them.
//!
//! This does not simulate a whole cluster: calls are answered at once and the log folds at once. Only
//! what placement decides on is modelled: capacity, resource usage, delayed reports and slowdowns.

mod driver;
mod interference_model;
mod worker;

pub use self::{
    driver::{HolderDriver, HolderTime, create_job_record, entry_vm, quota_record, worker_vm},
    interference_model::{BATCH_KINDS, InterferenceModel, SERVICE_KINDS},
    worker::{TaskProfile, WorkerFleet},
};
