//! Reads, merges and writes recorded events.

use std::io::{self, Write};

use crate::Event;

/// The events of one test run, sorted by time.
///
/// Events of one process with the same time stay in the order in which the process recorded them.
#[derive(Debug, Clone, Default)]
pub struct History {
    events: Vec<Event>,
    truncated: bool,
}

/// An error in a line of a history file.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {source}")]
pub struct ReadError {
    /// The number of the line, from 1.
    pub line: usize,
    /// Why the line is not a valid event.
    pub source: serde_json::Error,
}

impl History {
    /// Returns a history of `events`, sorted by time.
    pub fn new(mut events: Vec<Event>) -> History {
        events.sort_by_key(|event| event.at_us);
        History { events, truncated: false }
    }

    /// Parses JSON lines.
    ///
    /// A killed process may leave an incomplete last line. It is skipped, and
    /// [`History::is_truncated`] returns true.
    ///
    /// # Errors
    ///
    /// If any other line is not a valid event.
    pub fn parse(text: &str) -> Result<History, ReadError> {
        let ends_with_newline = text.is_empty() || text.ends_with('\n');
        let lines: Vec<&str> = text.lines().collect();
        let mut events = Vec::with_capacity(lines.len());
        let mut truncated = false;
        for (index, line) in lines.iter().enumerate() {
            if line.is_empty() {
                continue;
            }
            match serde_json::from_str(line) {
                Ok(event) => events.push(event),
                Err(_) if !ends_with_newline && index + 1 == lines.len() => truncated = true,
                Err(source) => return Err(ReadError { line: index + 1, source }),
            }
        }
        Ok(History { truncated, ..History::new(events) })
    }

    /// Merges the histories of several processes into one.
    pub fn merge(parts: Vec<History>) -> History {
        let truncated = parts.iter().any(|part| part.truncated);
        let events = parts.into_iter().flat_map(|part| part.events).collect();
        History { truncated, ..History::new(events) }
    }

    /// Returns the events, sorted by time.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns whether the last line of a merged history was incomplete, so that events may be
    /// missing at its end.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// Writes the events as JSON lines.
    ///
    /// # Errors
    ///
    /// If `to` cannot be written to.
    pub fn write(&self, mut to: impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut to, event)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }
}
