//! Parses the lines that processes log, for the commands that evaluate logs.

/// A log line about an event.
#[derive(Debug, Clone)]
pub struct LogLine {
    /// The time at which the line was written, in RFC 3339 format and UTC.
    pub time: String,
    /// The part of the line from `event=` on.
    pub event: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it has no event or no time.
    pub fn parse(text: &str) -> Option<LogLine> {
        let at = text.find("event=")?;
        let is_time = |it: &&str| it.len() > 20 && it.as_bytes()[10] == b'T' && it.ends_with('Z');
        let time = text[..at].split_whitespace().find(is_time)?;
        Some(LogLine { time: time.to_owned(), event: text[at..].to_owned() })
    }

    /// Returns the name of the event.
    pub fn name(&self) -> &str {
        self.value("event").unwrap_or_default()
    }

    /// Returns the value of a key, without its quotes.
    pub fn value(&self, key: &str) -> Option<&str> {
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

    /// Returns the value of a key as a number.
    pub fn number<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.value(key)?.parse().ok()
    }

    /// Returns whether the event is called `name` and its `outcome` key has this value.
    pub fn has_outcome(&self, name: &str, outcome: &str) -> bool {
        self.name() == name && self.value("outcome") == Some(outcome)
    }

    /// Returns the time of the line in seconds since midnight (UTC). Only lines of the same day can
    /// be compared.
    pub fn seconds(&self) -> Option<f64> {
        let clock = self.time.get(11..)?.strip_suffix('Z')?;
        let mut parts = clock.split(':');
        let hours: f64 = parts.next()?.parse().ok()?;
        let minutes: f64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some(hours * 3_600.0 + minutes * 60.0 + seconds)
    }
}

/// Reads the lines of several files for which `is_wanted` returns true, and sorts them by time.
///
/// # Errors
///
/// If a file cannot be read.
pub fn read(
    files: &[std::path::PathBuf],
    is_wanted: impl Fn(&LogLine) -> bool,
) -> anyhow::Result<Vec<LogLine>> {
    use anyhow::Context;
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file).with_context(|| format!("reading {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(LogLine::parse).filter(&is_wanted));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}
