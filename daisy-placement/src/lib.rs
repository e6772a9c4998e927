//! Who runs where: fit, eviction, interference, quotas, leases.
//!
//! [`Holder`] decides for one data centre under one epoch. It never sees a socket or a
//! clock: events and the present time come in, actions go out.

#![deny(missing_docs, unsafe_code)]

mod calls;
mod caretaker;
mod control;
mod evict;
mod fault;
mod holder;
mod index;
mod inherit;
mod intake;
mod interference;
mod job;
mod kind;
mod leave;
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
mod want;
mod worker;

pub use crate::{
    caretaker::{CareEvent, Caretaker},
    holder::{Action, Event, Holder},
    interference::Interference,
    kind::Kind,
    options::{DataCentre, Limits, Options},
    reason::{Label, Miss, Noted, Reason, Wait},
    throttle::{Ceiling, Control, LEVELS, Rule, Signal, TARGET, Throttle},
    view::{Replica, TaskStatus, TaskView, WorkerStatus, WorkerView},
};
