//! `daisyshift node`: runs an entry VM's process on a platform that stores all state.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, bail};
use daisy_settings::Policy;
use tokio::runtime::Builder;

use crate::{args, logging};

/// Runs the process until SIGTERM has caused its planned stop.
///
/// # Errors
///
/// If the settings cannot be read or are invalid, or an address cannot be bound.
pub fn run(options: &args::Node) -> anyhow::Result<ExitCode> {
    let path = match &options.settings {
        Some(path) => path.clone(),
        None => std::env::var_os(daisy_platform::SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .with_context(|| format!("{} is not set", daisy_platform::SETTINGS_VARIABLE))?,
    };
    let policy = match &options.policy {
        Some(path) => read_policy(path)?,
        None => Policy::default(),
    };
    logging::start_queued(options.log_level)?;
    // A VM of the platform has a quarter of one core, on which more threads would only compete.
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.context("starting the runtime")?.block_on(daisy_node::run(&path, &policy))?;
    Ok(ExitCode::SUCCESS)
}

fn read_policy(path: &Path) -> anyhow::Result<Policy> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    match daisy_settings::read_policy(&text) {
        Ok(policy) => Ok(policy),
        Err(findings) => {
            let findings: Vec<String> =
                findings.iter().map(|it| format!("{}:{it}", path.display())).collect();
            bail!("{}", findings.join("\n"))
        }
    }
}
