//! Which backend server answers a request: admission, limits, retries, at most once, drain.
//!
//! Decisions only; `daisy-entry` carries them out.

#![deny(missing_docs, unsafe_code)]

mod attempt;
mod budget;
mod call;
mod choose;
mod digest;
mod key;
mod keys;
mod learn;
mod measure;
mod queue;
mod retry;
mod router;
mod routes;
mod server;
mod service;
pub mod share;
mod slab;
mod standing;
mod update;

pub use crate::{
    attempt::{KeyDenial, KeyStep, next_step_after_home, next_step_after_other_dcs},
    call::{
        Admission, Call, CallerId, QueueDecision, RejectReason, Rejection, Target, Ticket, TryId,
        Urgency,
    },
    digest::{digest, weight},
    key::{
        ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyQuery, KeyState, StoredAnswer,
        TransferredKey,
    },
    keys::{KeyLimits, KeyTable},
    learn::{TryOutcome, TryReport},
    router::Router,
    routes::{Backend, Routes, Service},
};
