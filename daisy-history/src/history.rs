//! Reading, merging and writing of recorded events.

use std::io::{self, Write};

use crate::Event;

/// Events of one run in the order of their times.
///
/// Events of one process that bear the same time keep the order in which it wrote them.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
    truncated: bool,
}

/// Why a history cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct ReadError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub source: serde_json::Error,
}

impl History {
    /// A history of `events`, put in order.
    pub fn new(mut events: Vec<Event>) -> History {
        events.sort_by_key(|event| event.at_us);
        History { events, truncated: false }
    }

    /// Reads JSON lines.
    ///
    /// A last line that ends early is what a killed process leaves behind: it is passed over
    /// and [`History::is_truncated`] says so. Any other bad line is an error.
    pub fn parse(text: &str) -> Result<History, ReadError> {
        let whole = text.is_empty() || text.ends_with('\n');
        let lines: Vec<&str> = text.lines().collect();
        let mut events = Vec::with_capacity(lines.len());
        let mut truncated = false;
        for (at, line) in lines.iter().enumerate() {
            if line.is_empty() {
                continue;
            }
            match serde_json::from_str(line) {
                Ok(event) => events.push(event),
                Err(_) if !whole && at + 1 == lines.len() => truncated = true,
                Err(source) => return Err(ReadError { line: at + 1, source }),
            }
        }
        Ok(History { truncated, ..History::new(events) })
    }

    /// One history of several processes.
    pub fn merge(parts: Vec<History>) -> History {
        let truncated = parts.iter().any(|part| part.truncated);
        let events = parts.into_iter().flat_map(|part| part.events).collect();
        History { truncated, ..History::new(events) }
    }

    /// The events in order.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Whether a part's last line was cut short, so that its end is not known.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// Writes JSON lines.
    pub fn write(&self, mut to: impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut to, event)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }
}
