//! Peers of a daisyshift entry VM: who lives, who holds what, who reads the log, readiness.
//!
//! [`Membership`] decides for one entry VM. It never sees a socket or a clock: events and
//! the present time come in, actions go out. What is agreed goes through the platform's log
//! as claims; heartbeats only tell when a claim is worth making.

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
    heartbeat::{Evidence, Heartbeat, Status},
    holder::{HolderClaim, Role},
    membership::{Action, Event, Membership},
    options::Options,
    peers::{Peer, Peers},
    source::RecordSource,
};
