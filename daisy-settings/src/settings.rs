//! The validated settings of an entry VM's process.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use daisy_model::{DcId, Name, VmId};

/// The settings of an entry VM's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name, as in the platform's VM list.
    pub name: Name,
    /// The platform's number of this VM.
    pub vm: VmId,
    /// The data centre of this VM, as an index into `data_centres`.
    pub data_centre: DcId,
    /// All data centres, in the order of the platform's numbers.
    pub data_centres: Vec<DataCentre>,
    /// The address to listen on for callers' HTTP requests, and for `/healthz`, `/readyz` and
    /// `/metrics`.
    pub callers_address: SocketAddr,
    /// The address to listen on for HTTP/2 connections of other entry VMs.
    pub peers_address: SocketAddr,
    /// The address to listen on for operators' HTTP requests.
    pub operators_address: SocketAddr,
    /// The address of the platform's log and VM list.
    pub platform: SocketAddr,
    /// The operators and their tokens; if empty, no operator is allowed.
    pub operator_tokens: Vec<Operator>,
    /// The addresses from which peers may connect; if empty, any address is allowed.
    pub allowed_peers: Vec<IpAddr>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Limits against abuse.
    pub limits: Limits,
    /// Intervals and timeouts.
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

/// An operator, with the token for authentication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// The operator's name, for the audit trail.
    pub who: Name,
    /// The token, of at least [`Operator::MIN_TOKEN_LEN`] bytes.
    pub token: Box<str>,
}

impl Operator {
    /// The minimum length of a token in bytes: 16 hexadecimal digits are 64 bits, too many to guess
    /// online.
    pub const MIN_TOKEN_LEN: usize = 16;
}

/// The level of detail of the log; each level includes the ones before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Conditions that an operator should check.
    Warn,
    /// Each change of state.
    #[default]
    Info,
    /// Each decision.
    Debug,
    /// Everything.
    Trace,
}

/// Limits against abuse on the callers' port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// The maximum number of open connections of callers.
    pub connections: u32,
    /// The time within which a request head must be received.
    pub header_timeout: Duration,
    /// The maximum number of idempotency keys stored.
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

/// Intervals and timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// The interval between heartbeats to peers in the same data centre.
    pub heartbeat_interval: Duration,
    /// The time without a heartbeat after which a holder is replaced.
    pub holder_timeout: Duration,
    /// The duration of a worker's lease; longer than a change of holder takes.
    pub worker_lease: Duration,
    /// The delay, in a planned stop, between reporting not ready and closing the callers' port, in
    /// which the balancer notices.
    pub balancer_delay: Duration,
    /// The interval between reads of the VM list.
    pub vm_list_interval: Duration,
    /// The time for which the platform's log is guaranteed to keep a record; snapshots are written
    /// well before it has passed.
    pub log_retention: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(500),
            holder_timeout: Duration::from_secs(2),
            worker_lease: Duration::from_secs(30),
            balancer_delay: Duration::from_secs(2),
            vm_list_interval: Duration::from_secs(1),
            log_retention: Duration::from_secs(6 * 3_600),
        }
    }
}
