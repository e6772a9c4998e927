//! Who runs where: fit, eviction, interference, quotas, leases.
//!
//! [`Holder`] decides for one data centre under one epoch. It never sees a socket or a
//! clock: events and the present time come in, actions go out.

#![deny(missing_docs, unsafe_code)]

mod calls;
mod holder;
mod index;
mod inherit;
mod intake;
mod job;
mod options;
mod place;
mod reason;
mod records;
mod reports;
mod roster;
mod task;
mod view;
mod want;
mod worker;

pub use crate::{
    holder::{Action, Event, Holder},
    options::{DataCentre, Limits, Options},
    reason::{Label, Miss, Noted, Reason, Wait},
    view::{Replica, TaskStatus, TaskView, WorkerStatus, WorkerView},
};
