//! The arguments of `daisyshift standin` and `daisyshift load`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Run a stand-in as a process of its own until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Standin {
    /// the kind of stand-in
    #[argh(subcommand)]
    pub kind: StandinKind,
}

/// The kinds of stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinKind {
    /// `platform`
    Platform(Platform),
    /// `worker`
    Worker(Worker),
    /// `backend`
    Backend(Backend),
    /// `link`
    Link(Link),
}

/// The platform: its log and its VM list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Platform {
    /// where it listens
    #[argh(option)]
    pub listen: SocketAddr,
    /// a JSON file with the list of VMs from the start
    #[argh(option)]
    pub vms: Option<PathBuf>,
    /// milliseconds that the VM list lags behind (default 500)
    #[argh(option, default = "500")]
    pub vm_lag_ms: u64,
    /// records that the log retains (default 1000000)
    #[argh(option, default = "1_000_000")]
    pub keep_records: usize,
    /// appends accepted per second (default 300)
    #[argh(option, default = "300")]
    pub appends: u32,
    /// file for the history, written at the end
    #[argh(option)]
    pub history: Option<PathBuf>,
}

/// A worker, with a backend server beside it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "worker")]
pub struct Worker {
    /// its name in the history
    #[argh(option)]
    pub name: String,
    /// where it listens for calls from the holder of its data centre
    #[argh(option)]
    pub control: SocketAddr,
    /// where its backend server listens; none without it
    #[argh(option)]
    pub backend: Option<SocketAddr>,
    /// capacity in thousandths of a core (default 16000)
    #[argh(option, default = "16_000")]
    pub cpu_milli: u32,
    /// memory capacity in MiB (default 61440)
    #[argh(option, default = "61_440")]
    pub memory_mib: u32,
    /// number of accelerators (default 0)
    #[argh(option, default = "0")]
    pub accelerators: u32,
    /// milliseconds that a batch task runs (default 300)
    #[argh(option, default = "300")]
    pub run_ms: u64,
    /// milliseconds that a request takes (default 2)
    #[argh(option, default = "2")]
    pub service_ms: u64,
    /// a JSON file with how tasks of particular jobs run
    #[argh(option)]
    pub jobs: Option<PathBuf>,
    /// file for the history, written at the end
    #[argh(option)]
    pub history: Option<PathBuf>,
}

/// A backend server alone; it answers for every service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct Backend {
    /// its name in the history
    #[argh(option)]
    pub name: String,
    /// where it listens
    #[argh(option)]
    pub listen: SocketAddr,
    /// requests that it works on at one time (default 8)
    #[argh(option, default = "8")]
    pub slots: u32,
    /// milliseconds that a request takes (default 2)
    #[argh(option, default = "2")]
    pub service_ms: u64,
    /// file for the history, written at the end
    #[argh(option)]
    pub history: Option<PathBuf>,
}

/// A link between addresses that can be cut, slowed and delayed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "link")]
pub struct Link {
    /// its name in the history
    #[argh(option)]
    pub name: String,
    /// where it listens for changes of its fault switches
    #[argh(option)]
    pub control: SocketAddr,
    /// LISTEN=TO: an address to listen on and the one it forwards to; may be repeated
    #[argh(option)]
    pub pair: Vec<String>,
    /// file for the history, written at the end
    #[argh(option)]
    pub history: Option<PathBuf>,
}

/// Make requests at a fixed rate, without waiting for earlier answers, and check every answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// an entry VM's address for callers; may be repeated
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// the service
    #[argh(option)]
    pub service: String,
    /// requests a second (default 100)
    #[argh(option, default = "100.0")]
    pub rate: f64,
    /// seconds that requests are made for (default 10)
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// thousandths of the requests that are non-idempotent and bear a key (default 0)
    #[argh(option, default = "0")]
    pub keyed: u32,
    /// milliseconds that a caller waits for a call with all its attempts (default 2000)
    #[argh(option, default = "2000")]
    pub deadline_ms: u64,
    /// attempts of a call at most (default 4)
    #[argh(option, default = "4")]
    pub attempts: u32,
    /// critical, normal or low
    #[argh(option)]
    pub priority: Option<String>,
    /// milliseconds of work that each request takes at the backend server
    #[argh(option)]
    pub service_ms: Option<u64>,
    /// bytes of each requested answer (default 256)
    #[argh(option, default = "256")]
    pub answer_bytes: usize,
    /// number of the first call, for several loads at the same time (default 0)
    #[argh(option, default = "0")]
    pub first_call: u64,
    /// seeds keys and which requests bear one (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file for the history, written at the end
    #[argh(option)]
    pub history: Option<PathBuf>,
}
