//! `daisyshift trace`: prints the log lines of several processes about one request, in the order of
//! time, and a summary of what happened to it.

use std::process::ExitCode;

use crate::{
    args,
    log_lines::{self, LogLine},
};

/// Prints the lines and the findings; fails if no line has the request's id.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(options: &args::Trace) -> anyhow::Result<ExitCode> {
    let lines = log_lines::read(&options.files, |it| it.value("id") == Some(&options.id))?;
    for line in &lines {
        println!("{} {}", line.time, line.event);
    }
    if lines.is_empty() {
        println!("no line names {}", options.id);
        return Ok(ExitCode::FAILURE);
    }
    for finding in findings(&lines) {
        println!("-> {finding}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Describes what happened to the request, as far as the lines show it.
fn findings(lines: &[LogLine]) -> Vec<String> {
    let count =
        |name: &str, outcome: &str| lines.iter().filter(|it| it.has_outcome(name, outcome)).count();
    let mut findings = Vec::new();
    if let Some(it) = lines.iter().find(|it| it.has_outcome("submitted", "rejected")) {
        let cause = it.value("cause").unwrap_or("no cause given");
        findings.push(format!("rejected without an effect: {cause}"));
    }
    if let Some(it) = lines.iter().find(|it| it.has_outcome("submitted", "unknown")) {
        let cause = it.value("cause").unwrap_or("no cause given");
        findings
            .push(format!("the caller received the answer that the outcome is unknown: {cause}"));
    }
    if let Some(it) = lines.iter().find(|it| it.has_outcome("submitted", "stored")) {
        findings.push(format!("stored at {}", it.time));
    }
    for it in lines.iter().filter(|it| it.name() == "run_lost") {
        let (task, worker) = (it.value("task"), it.value("worker"));
        findings.push(format!(
            "task {} was lost with {}: {}",
            task.unwrap_or("?"),
            worker.unwrap_or("?"),
            it.value("cause").unwrap_or("no cause given")
        ));
    }
    for it in lines.iter().filter(|it| it.name() == "handed_over") {
        findings.push(format!(
            "task {} was transferred from shard {} to {}: {}",
            it.value("task").unwrap_or("?"),
            it.value("shard").unwrap_or("?"),
            it.value("to").unwrap_or("?"),
            it.value("cause").unwrap_or("no cause given")
        ));
    }
    for (outcome, description) in [
        ("failed", "runs failed"),
        ("stopped", "runs were stopped and started again"),
        ("lapsed", "runs ended because their lease expired"),
    ] {
        let count = count("run_ended", outcome);
        if count > 0 {
            findings.push(format!("{count} {description}"));
        }
    }
    let unanswered = count("start", "unknown");
    if unanswered > 0 {
        findings.push(format!("{unanswered} orders to start a task got no answer"));
    }
    for cause in causes(lines, "stop") {
        findings.push(format!("stopped: {cause}"));
    }
    for cause in causes(lines, "waits") {
        findings.push(format!("waited: {cause}"));
    }
    match lines.iter().find(|it| it.name() == "job_ended") {
        Some(it) => findings.push(format!(
            "ended as {} {} ms after it was stored",
            it.value("outcome").unwrap_or("?"),
            it.value("age_ms").unwrap_or("?")
        )),
        None => findings.push("these lines do not show its end".to_owned()),
    }
    findings
}

/// Returns the distinct causes of the events called `name`, each with the number of its events.
fn causes(lines: &[LogLine], name: &str) -> Vec<String> {
    let of_name = lines.iter().filter(|it| it.name() == name);
    let mut causes: Vec<&str> = of_name.filter_map(|it| it.value("cause")).collect();
    causes.sort_unstable();
    let counted = causes.chunk_by(|a, b| a == b);
    counted.map(|it| format!("{} ({} times)", it[0], it.len())).collect()
}
