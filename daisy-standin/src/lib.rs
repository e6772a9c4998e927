//! Stand-ins for the platform, workers, backend servers and callers of daisyshift.

#![deny(missing_docs, unsafe_code)]
