//! Lines that processes log, as other commands read them.

/// A line that tells of an event.
#[derive(Debug, Clone)]
pub struct Line {
    /// When it was written, in RFC 3339, UTC.
    pub time: String,
    /// From `event=` on.
    pub event: String,
}

impl Line {
    /// `None` for a line without an event or a time.
    pub fn parse(text: &str) -> Option<Line> {
        let at = text.find("event=")?;
        let is_time = |it: &&str| it.len() > 20 && it.as_bytes()[10] == b'T' && it.ends_with('Z');
        let time = text[..at].split_whitespace().find(is_time)?;
        Some(Line { time: time.to_owned(), event: text[at..].to_owned() })
    }

    /// The name of the event.
    pub fn name(&self) -> &str {
        self.value("event").unwrap_or_default()
    }

    /// The value of a key, without quotes.
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

    /// The value of a key as a number.
    pub fn number<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.value(key)?.parse().ok()
    }

    /// Whether the event is `name` and came to `outcome`.
    pub fn is(&self, name: &str, outcome: &str) -> bool {
        self.name() == name && self.value("outcome") == Some(outcome)
    }

    /// When it was written, in seconds since the midnight (UTC) before; lines of one day compare.
    pub fn seconds(&self) -> Option<f64> {
        let clock = self.time.get(11..)?.strip_suffix('Z')?;
        let mut parts = clock.split(':');
        let hours: f64 = parts.next()?.parse().ok()?;
        let minutes: f64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some(hours * 3_600.0 + minutes * 60.0 + seconds)
    }
}

/// The lines of several files that `wanted` takes, in the order of their times.
///
/// # Errors
///
/// If a file cannot be read.
pub fn read(
    files: &[std::path::PathBuf],
    wanted: impl Fn(&Line) -> bool,
) -> anyhow::Result<Vec<Line>> {
    use anyhow::Context;
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file).with_context(|| format!("reading {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(Line::parse).filter(&wanted));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}
