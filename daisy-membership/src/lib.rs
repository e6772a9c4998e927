//! Peer state of a daisyshift entry VM: which peers are alive, which one is the holder of the
//! data centre, which one reads the log, and when the VM is ready for callers.
//!
//! [`Membership`] makes the decisions of one entry VM. It uses no socket and no clock: events
//! and the current time are passed in, actions are returned. Agreement is reached through claims
//! in the platform's log; heartbeats only indicate when to make a claim.

#![deny(missing_docs, unsafe_code)]

mod heartbeat;
mod heartbeat_targets;
mod holder;
mod membership;
mod options;
mod peers;
mod readiness;
mod source;

pub use crate::{
    heartbeat::{Heartbeat, HolderEvidence, Status},
    holder::{HolderClaim, Role},
    membership::{Action, Event, Membership},
    options::Options,
    peers::{Peer, Peers},
    source::RecordSource,
};
