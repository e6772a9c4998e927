//! `daisyshift check`: checks a file and prints all of its mistakes at once.

use std::{fmt::Display, path::Path, process::ExitCode};

use anyhow::Context;

use crate::args;

/// Checks the file and prints `FILE:LINE:COLUMN: message` for each finding.
///
/// # Errors
///
/// If the file cannot be read. Findings are not an error; they give an exit code of 1.
pub fn run(options: &args::Check) -> anyhow::Result<ExitCode> {
    let path = &options.file;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    let findings: Vec<String> = if options.policy {
        format_findings(daisy_settings::read_policy(&text).err().unwrap_or_default())
    } else if is_settings_file(path) {
        format_findings(daisy_settings::read(&text).err().unwrap_or_default())
    } else {
        statement_findings(&text)
    };
    for finding in &findings {
        println!("{}:{finding}", path.display());
    }
    if findings.is_empty() {
        println!("{}: good", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}

fn is_settings_file(path: &Path) -> bool {
    path.extension().is_some_and(|it| it == "yaml" || it == "yml")
}

fn statement_findings(text: &str) -> Vec<String> {
    let findings = daisy_language::parse(text).err().map(|it| it.0).unwrap_or_default();
    findings
        .into_iter()
        .map(|it| {
            format!("{}:{}: found {}, expected {}", it.line, it.column, it.found, it.expected)
        })
        .collect()
}

fn format_findings<T: Display>(findings: Vec<T>) -> Vec<String> {
    findings.iter().map(T::to_string).collect()
}
