//! Placement of tasks on workers: capacity, eviction, interference, quotas and leases.
//!
//! [`Holder`] decides for one data centre under one epoch. It uses neither sockets nor a clock:
//! events and the current time are passed in, and actions are returned. [`LeaseRenewer`] renews
//! leases, and does nothing else, while a data centre has no holder that can act.
//!
//! A holder first calls each worker with only its epoch and reads what runs there. It checks
//! pending tasks out through the log, starts them on the best of a few workers with free capacity,
//! and records where they run and how they end. An exit report is acknowledged only after the
//! ledger shows the end. A start whose outcome is unknown is treated as if it had taken effect
//! until the worker reports otherwise.

#![deny(missing_docs, unsafe_code)]

mod calls;
mod checkout;
mod control;
mod evacuate;
mod evict;
mod fault;
mod holder;
mod index;
mod inherit;
mod interference;
mod job;
mod job_family;
mod lease_renewer;
mod ledger_updates;
mod options;
mod place;
mod reason;
mod records;
mod reports;
mod roster;
mod score;
mod task;
mod throttle;
mod usage;
mod view;
mod worker;

pub use crate::{
    holder::{Action, Event, Holder},
    interference::Interference,
    job_family::JobFamily,
    lease_renewer::{LeaseRenewer, LeaseRenewerEvent},
    options::{DataCentre, Limits, Options},
    reason::{Reason, Shortfall, TimedReason, VmLabel, WaitReason},
    throttle::{
        Ceiling, SHARE_LEVELS, TARGET_SLOWDOWN, Throttle, ThrottleControl, ThrottleRule,
        UsageSignal,
    },
    view::{Replica, TaskStatus, TaskView, WorkerStatus, WorkerView},
};
