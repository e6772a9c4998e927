//! Chooses the backend server for each request: admission, concurrency limits, retries,
//! at-most-once execution and drain.
//!
//! This crate only takes decisions; `daisy-entry` carries them out.

#![deny(missing_docs, unsafe_code)]

mod budget;
mod call;
mod choose;
mod digest;
mod health;
mod key;
mod key_step;
mod keys;
mod measure;
mod outcome;
mod queue;
mod retry;
mod router;
mod routes;
mod server;
mod service;
pub mod share;
mod slab;
mod update;

pub use crate::{
    call::{
        Admission, Call, CallerId, QueueDecision, RejectReason, Rejection, Target, Ticket, TryId,
        Urgency,
    },
    digest::{digest, weight},
    key::{
        ClaimEnd, ClaimId, ClaimKind, KeyAnswer, KeyId, KeyQuery, KeyState, StoredAnswer,
        TransferredKey,
    },
    key_step::{KeyDenial, KeyStep, next_step_after_home, next_step_after_other_dcs},
    keys::{HistoryGap, KeyLimits, KeyTable},
    outcome::{TryOutcome, TryReport},
    router::Router,
    routes::{Backend, Routes, Service},
};
