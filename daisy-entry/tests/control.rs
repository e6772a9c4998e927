//! Tests of the control side over loopback, with the stand-ins of the platform and workers.

#[path = "control/cluster.rs"]
mod cluster;
#[path = "control/log.rs"]
mod log;
#[path = "control/metrics.rs"]
mod metrics;
#[path = "control/operators.rs"]
mod operators;
#[path = "control/peers.rs"]
mod peers;
#[path = "control/spoilt.rs"]
mod spoilt;
#[path = "control/thin.rs"]
mod thin;
