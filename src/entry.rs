//! `daisyshift entry`: runs an entry VM's process.

use std::process::ExitCode;

use anyhow::{Context, bail};

use crate::{args, logging, runtime};

/// Runs the process until SIGTERM has caused its planned stop.
///
/// # Errors
///
/// If the settings cannot be read or are invalid, or an address cannot be bound.
pub fn run(options: &args::Entry) -> anyhow::Result<ExitCode> {
    let path = &options.settings;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let settings = match daisy_settings::read(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in &findings {
                eprintln!("{}:{finding}", path.display());
            }
            bail!("{} findings in {}", findings.len(), path.display());
        }
    };
    logging::start(settings.log_level)?;
    runtime()?.block_on(daisy_entry::run(settings))?;
    Ok(ExitCode::SUCCESS)
}
