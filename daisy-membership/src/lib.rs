//! Peers of a daisyshift entry VM: who lives, who holds what, readiness.

#![deny(missing_docs, unsafe_code)]
