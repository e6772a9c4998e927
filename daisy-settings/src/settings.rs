//! The settings of an entry VM's process, as written in YAML.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of one entry VM's process.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, as in the platform's VM list.
    pub name: String,
    /// The platform's number of this VM.
    pub vm: u32,
    /// The data centre of this VM; one of `data_centres`.
    pub data_centre: String,
    /// All data centres, in the order of the platform's numbers.
    pub data_centres: Vec<DataCentre>,
    /// Address for callers' HTTP, and for `/healthz`, `/readyz` and `/metrics`.
    pub callers: SocketAddr,
    /// Address for other entry VMs' h2.
    pub peers: SocketAddr,
    /// Address for operators' HTTP.
    pub operators: SocketAddr,
    /// Address of the platform's log and VM list.
    pub platform: SocketAddr,
    /// Who may change things, by token.
    #[serde(default)]
    pub operator_tokens: Vec<Operator>,
    /// Addresses that peers may connect from, empty for any in the VM list.
    #[serde(default)]
    pub allowed_peers: Vec<std::net::IpAddr>,
    /// Events below this level are not logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Bounds against abuse.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
}

/// A data centre.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: String,
    /// Its region's name.
    pub region: String,
}

/// An operator and the token that proves it.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name, for the audit trail.
    pub who: String,
    /// At least 16 characters.
    pub token: String,
}

/// Which events are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// And what an operator should look at.
    Warn,
    /// And each change of state.
    #[default]
    Info,
    /// And each decision.
    Debug,
    /// Everything.
    Trace,
}

/// Bounds against abuse on the callers' port.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Bytes of a request's head.
    pub header_bytes: u32,
    /// Callers' connections open at one time.
    pub connections: u32,
    /// Milliseconds in which a head must have come.
    pub header_ms: u64,
    /// Idempotency keys remembered.
    pub keys: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            connections: 4096,
            header_ms: 5_000,
            keys: 100_000,
        }
    }
}

/// Periods and timeouts in milliseconds.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between heartbeats to peers of the data centre.
    pub heartbeat_ms: u64,
    /// Silence after which a holder is replaced.
    pub holder_timeout_ms: u64,
    /// A worker's lease; longer than a change-over of holders.
    pub worker_lease_ms: u64,
    /// Between not ready and the close of the callers' port in a planned stop.
    pub balancer_ms: u64,
    /// Between reads of the VM list.
    pub vm_list_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_ms: 500,
            holder_timeout_ms: 2_000,
            worker_lease_ms: 30_000,
            balancer_ms: 2_000,
            vm_list_ms: 1_000,
        }
    }
}
