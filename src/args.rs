//! The arguments of the command line.

mod standin;

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

pub use self::standin::{Backend, Link, Load, Platform, Standin, StandinKind, Worker};

/// Scheduler for latency-critical services and batch work on the same VMs.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// the subcommand to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// `account`
    Account(Account),
    /// `check`
    Check(Check),
    /// `ctl`
    Ctl(Ctl),
    /// `demo`
    Demo(Demo),
    /// `entry`
    Entry(Entry),
    /// `load`
    Load(Load),
    /// `node`
    Node(Node),
    /// `standin`
    Standin(Standin),
    /// `trace`
    Trace(Trace),
}

/// Print how much of the jobs' latency is due to which cause, by kind of job, from several
/// processes' logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "account")]
pub struct Account {
    /// how many of the jobs that exceeded their objective the most are listed with their main cause
    /// (default 5)
    #[argh(option, default = "5")]
    pub worst: usize,
    /// the processes' logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Check a settings file, a policy file or a file of statements, and print every finding.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file holds the policy of a deployment
    #[argh(switch)]
    pub policy: bool,
    /// the file; .yaml and .yml hold settings, anything else holds statements
    #[argh(positional)]
    pub file: PathBuf,
}

/// Send statements to an entry VM and print their results.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ctl")]
pub struct Ctl {
    /// the entry VM's operators' address
    #[argh(option)]
    pub entry: SocketAddr,
    /// the operator's token; DAISYSHIFT_TOKEN in the environment if not given
    #[argh(option)]
    pub token: Option<String>,
    /// print the answer's JSON unchanged
    #[argh(switch)]
    pub json: bool,
    /// the statements; "-" reads them from standard input
    #[argh(positional)]
    pub statements: String,
}

/// Run the whole system on loopback with embedded stand-ins, and check the results.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// requests that callers make (default 1000)
    #[argh(option, default = "1000")]
    pub requests: u64,
    /// events of this level and above go to standard error (default error)
    #[argh(option, default = "daisy_settings::LogLevel::Error")]
    pub log_level: daisy_settings::LogLevel,
}

/// Run an entry VM's process until SIGTERM, then stop it as planned.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Run an entry VM's process on a platform that keeps all state, until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// the platform's settings file; DAISYSHIFT_CONFIG in the environment if not given
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// the file with the policy of the deployment; without it, no rule of it applies
    #[argh(option)]
    pub policy: Option<PathBuf>,
    /// events of this level and above go to standard output (default info)
    #[argh(option, default = "daisy_settings::LogLevel::Info")]
    pub log_level: daisy_settings::LogLevel,
}

/// Print the lines of several processes' logs about one request in order of time, and a summary.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// the request's id, as in its path
    #[argh(option)]
    pub id: String,
    /// the processes' logs
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
