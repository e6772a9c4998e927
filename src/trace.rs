//! `daisyshift trace`: the lines of several processes about one request, in order, and what they
//! come to.

use std::process::ExitCode;

use anyhow::Context;

use crate::args;

/// Prints the lines and the findings; fails if no line names the id.
///
/// # Errors
///
/// If a file cannot be read.
pub fn run(options: &args::Trace) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    for file in &options.files {
        let text = std::fs::read(file).with_context(|| format!("reading {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(|it| Line::parse(it, &options.id)));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
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

/// A line about the request.
#[derive(Debug)]
struct Line {
    time: String,
    /// From `event=` on.
    event: String,
}

impl Line {
    /// `None` for a line that does not name `id`, or has no time.
    fn parse(text: &str, id: &str) -> Option<Line> {
        let at = text.find("event=")?;
        let event = &text[at..];
        if !event.split_whitespace().any(|it| it.strip_prefix("id=") == Some(id)) {
            return None;
        }
        let is_time = |it: &&str| it.len() > 20 && it.as_bytes()[10] == b'T' && it.ends_with('Z');
        let time = text[..at].split_whitespace().find(is_time)?;
        Some(Line { time: time.to_owned(), event: event.to_owned() })
    }

    fn name(&self) -> &str {
        self.value("event").unwrap_or_default()
    }

    /// The value of a key, without quotes.
    fn value(&self, key: &str) -> Option<&str> {
        let at = self.event.split_whitespace().find_map(|it| {
            let value = it.strip_prefix(key)?.strip_prefix('=')?;
            Some(value.as_ptr() as usize - self.event.as_ptr() as usize)
        })?;
        let value = &self.event[at..];
        match value.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => value.split_whitespace().next(),
        }
    }

    fn is(&self, name: &str, outcome: &str) -> bool {
        self.name() == name && self.value("outcome") == Some(outcome)
    }
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
