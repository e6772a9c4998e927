//! Tests of the control side over loopback, with the stand-ins of the platform and workers.

#[path = "control/cluster.rs"]
mod cluster;
#[path = "control/thin.rs"]
mod thin;
