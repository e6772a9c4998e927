//! Measurements of daisyshift's decisions against plain baselines.

#![deny(missing_docs, unsafe_code)]
fn main() {}
