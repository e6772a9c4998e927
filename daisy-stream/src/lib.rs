//! Framed messages on the h2 streams between daisyshift's own processes.

#![deny(missing_docs, unsafe_code)]

mod stream;

pub use crate::stream::{Receiver, Sender, StreamError};
