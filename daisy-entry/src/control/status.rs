//! Status of an entry VM, for `GET /v1/status`.

use serde::Serialize;

/// Status of an entry VM.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct StatusJson {
    /// The VM's number.
    pub vm: u32,
    /// The VM's name.
    pub name: String,
    /// The name of its data centre.
    pub dc: String,
    /// Whether it accepts callers.
    pub ready: bool,
    /// `starting`, `ready` or `leaving`.
    pub status: &'static str,
    /// `idle`, `holder` or `caretaker`.
    pub role: &'static str,
    /// The source of records: `log`, or a peer's number.
    pub source: String,
    /// Whether the log has answered recently.
    pub log_answers: bool,
    /// The offset of the next record to fold.
    pub next: u64,
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The offset of the configuration in force; absent before the first.
    pub config_offset: Option<u64>,
    /// When it came into force on this entry VM, in milliseconds since 1970 UTC.
    pub config_since_ms: Option<u64>,
    /// The holder of the data centre.
    pub holder: Option<u32>,
    /// Its epoch.
    pub epoch: Option<u64>,
    /// Whether the holder has released the data centre.
    pub released: bool,
    /// Records that wait to be appended.
    pub unsent: usize,
    /// Other entry VMs.
    pub peers: Vec<PeerJson>,
}

/// Another entry VM, as this one knows it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PeerJson {
    /// Its number.
    pub vm: u32,
    /// The number of its data centre.
    pub dc: u16,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// Whether a recent heartbeat was received from it.
    pub alive: bool,
    /// The offset of the next record that it folds, by its last heartbeat.
    pub next: Option<u64>,
    /// The generation of the configuration in force there, by its last heartbeat.
    pub generation: Option<u64>,
}
