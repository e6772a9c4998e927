//! What can stand on the command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Scheduler for latency-critical services and batch work on the same VMs.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// `check`
    Check(Check),
    /// `entry`
    Entry(Entry),
}

/// Check a settings file, or a file of statements, and print every finding.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file; .yaml and .yml hold settings, anything else holds statements
    #[argh(positional)]
    pub file: PathBuf,
}

/// Run an entry VM's process until SIGTERM, then stop it as planned.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
}
