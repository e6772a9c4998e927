//! `daisyshift trace`: the lines of several processes about one request, in order, and what they
//! come to.

use std::process::ExitCode;

use crate::{
    args,
    lines::{self, Line},
};

/// Prints the lines and the findings; fails if no line names the id.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(options: &args::Trace) -> anyhow::Result<ExitCode> {
    let lines = lines::read(&options.files, |it| it.value("id") == Some(&options.id))?;
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

/// What the lines say of the request's way, in words.
fn findings(lines: &[Line]) -> Vec<String> {
    let count = |name: &str, outcome: &str| lines.iter().filter(|it| it.is(name, outcome)).count();
    let mut found = Vec::new();
    if let Some(it) = lines.iter().find(|it| it.is("submitted", "rejected")) {
        let why = it.value("cause").unwrap_or("not said");
        found.push(format!("rejected without an effect: {why}"));
    }
    if let Some(it) = lines.iter().find(|it| it.is("submitted", "unknown")) {
        let why = it.value("cause").unwrap_or("not said");
        found.push(format!("its caller was told that the outcome is unknown: {why}"));
    }
    if let Some(it) = lines.iter().find(|it| it.is("submitted", "stored")) {
        found.push(format!("stored at {}", it.time));
    }
    for it in lines.iter().filter(|it| it.name() == "run_lost") {
        let (task, worker) = (it.value("task"), it.value("worker"));
        found.push(format!(
            "task {} was lost with {}: {}",
            task.unwrap_or("?"),
            worker.unwrap_or("?"),
            it.value("cause").unwrap_or("not said")
        ));
    }
    for it in lines.iter().filter(|it| it.name() == "handed_over") {
        found.push(format!(
            "task {} was handed from shard {} to {}: {}",
            it.value("task").unwrap_or("?"),
            it.value("shard").unwrap_or("?"),
            it.value("to").unwrap_or("?"),
            it.value("cause").unwrap_or("not said")
        ));
    }
    for (outcome, words) in [
        ("failed", "runs failed"),
        ("stopped", "runs were stopped and started anew"),
        ("lapsed", "runs ended with their lease"),
    ] {
        let count = count("run_ended", outcome);
        if count > 0 {
            found.push(format!("{count} {words}"));
        }
    }
    let unanswered = count("start", "unknown");
    if unanswered > 0 {
        found.push(format!("{unanswered} orders to start got no answer"));
    }
    for cause in causes(lines, "stop") {
        found.push(format!("stopped: {cause}"));
    }
    for cause in causes(lines, "waits") {
        found.push(format!("waited: {cause}"));
    }
    match lines.iter().find(|it| it.name() == "job_ended") {
        Some(it) => found.push(format!(
            "ended as {} {} ms after it was stored",
            it.value("outcome").unwrap_or("?"),
            it.value("age_ms").unwrap_or("?")
        )),
        None => found.push("its end is not in these lines".to_owned()),
    }
    found
}

/// The causes that events of a name give, each once with how often.
fn causes(lines: &[Line], name: &str) -> Vec<String> {
    let of_name = lines.iter().filter(|it| it.name() == name);
    let mut causes: Vec<&str> = of_name.filter_map(|it| it.value("cause")).collect();
    causes.sort_unstable();
    let counted = causes.chunk_by(|a, b| a == b);
    counted.map(|it| format!("{} ({} times)", it[0], it.len())).collect()
}
