//! The settings of an entry VM's process, checked.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use daisy_model::{DcId, Name, VmId};

/// Settings of one entry VM's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name, as in the platform's VM list.
    pub name: Name,
    /// The platform's number of this VM.
    pub vm: VmId,
    /// The data centre of this VM, by position in `data_centres`.
    pub data_centre: DcId,
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
    /// Who may change things, by token; with none, nobody may.
    pub operator_tokens: Vec<Operator>,
    /// Addresses that peers may connect from; empty for any.
    pub allowed_peers: Vec<IpAddr>,
    /// Events below this level are not logged.
    pub log_level: LogLevel,
    /// Bounds against abuse.
    pub limits: Limits,
    /// Periods and timeouts.
    pub timing: Timing,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentre {
    /// Its name.
    pub name: Name,
    /// Its region's name.
    pub region: Name,
}

/// An operator and the token that proves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The operator's name, for the audit trail.
    pub who: Name,
    /// At least [`Operator::MIN_TOKEN`] characters.
    pub token: Box<str>,
}

impl Operator {
    /// The shortest token, in bytes: 16 hexadecimal digits are 64 bits, beyond guessing online.
    pub const MIN_TOKEN: usize = 16;
}

/// Which events are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Bytes of a request's head.
    pub header_bytes: u32,
    /// Callers' connections open at one time.
    pub connections: u32,
    /// Time in which a head must have come.
    pub header_timeout: Duration,
    /// Idempotency keys remembered.
    pub keys: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            connections: 4096,
            header_timeout: Duration::from_secs(5),
            keys: 100_000,
        }
    }
}

/// Periods and timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Between heartbeats to peers of the data centre.
    pub heartbeat: Duration,
    /// Silence after which a holder is replaced.
    pub holder_timeout: Duration,
    /// A worker's lease; longer than a change-over of holders.
    pub worker_lease: Duration,
    /// Between not ready and the close of the callers' port in a planned stop.
    pub balancer_delay: Duration,
    /// Between reads of the VM list.
    pub vm_list: Duration,
    /// How long the platform's log is sure to keep a record; snapshots come well before.
    pub log_retention: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Duration::from_millis(500),
            holder_timeout: Duration::from_secs(2),
            worker_lease: Duration::from_secs(30),
            balancer_delay: Duration::from_secs(2),
            vm_list: Duration::from_secs(1),
            log_retention: Duration::from_secs(6 * 3_600),
        }
    }
}
