//! Recorded histories of daisyshift runs and their checkers.

#![deny(missing_docs, unsafe_code)]
