//! Which backend server answers a request: admission, limits, retries, at most once, drain.
//!
//! Decisions only; `daisy-entry` carries them out.

#![deny(missing_docs, unsafe_code)]

mod routes;

pub use crate::routes::{Backend, Routes, Service};
