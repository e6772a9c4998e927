//! The `daisyshift` command.

#![deny(missing_docs, unsafe_code)]

fn main() {}
