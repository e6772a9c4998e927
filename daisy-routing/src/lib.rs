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
    attempt::{KeyStep, KeyStop, after_home, after_others},
    call::{Call, CallerId, Grant, Offer, Reason, Refusal, Target, Ticket, TryId, Urgency},
    digest::{digest, weight},
    key::{
        ClaimEnd, ClaimId, ClaimKind, HandedKey, KeyAnswer, KeyId, KeyQuery, KeyState, StoredAnswer,
    },
    keys::{KeyLimits, KeyTable},
    learn::{Report, TryEnd},
    router::Router,
    routes::{Backend, Routes, Service},
};
