//! Tests of the control side over loopback, with stand-ins for the platform and the workers.

#[path = "control/cluster.rs"]
mod cluster;
#[path = "control/corrupt_entries.rs"]
mod corrupt_entries;
#[path = "control/end_to_end.rs"]
mod end_to_end;
#[path = "control/log.rs"]
mod log;
#[path = "control/metrics.rs"]
mod metrics;
#[path = "control/operators.rs"]
mod operators;
#[path = "control/peers.rs"]
mod peers;
