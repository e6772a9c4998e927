//! A small HTTP client. It sends one request and reads its complete response, with limits on time and
//! size.

#![deny(missing_docs, unsafe_code)]

mod client;

pub use crate::client::{Http, HttpError, Reply};
