//! Who runs where: fit, eviction, interference, quotas, leases.
//!
//! [`Holder`] decides for one data centre under one epoch. It never sees a socket or a
//! clock: events and the present time come in, actions go out.

#![deny(missing_docs, unsafe_code)]

mod holder;

pub use crate::holder::{Action, Event, Holder, Options};
