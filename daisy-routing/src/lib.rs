//! Which backend server answers a request: admission, limits, retries, at most once, drain.
//!
//! Decisions only; `daisy-entry` carries them out.

#![deny(missing_docs, unsafe_code)]

mod call;
mod digest;
mod key;
mod router;
mod routes;

pub use crate::{
    call::{Call, CallerId, Grant, Offer, Reason, Refusal, Target, Ticket, TryId, Urgency},
    digest::{digest, weight},
    key::{ClaimEnd, ClaimId, HandedKey, KeyAnswer, KeyId, KeyQuery, KeyState, StoredAnswer},
    router::{Report, Router, TryEnd},
    routes::{Backend, Routes, Service},
};
