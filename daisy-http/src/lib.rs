//! A small HTTP client: one request, one whole answer, bounded in time and size.

#![deny(missing_docs, unsafe_code)]

mod client;

pub use crate::client::{Http, HttpError, Reply};
