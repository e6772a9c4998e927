//! Errors in a settings file, with their positions.

use std::fmt;

/// An error in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The line in the text, from 1.
    pub line: u64,
    /// The column in characters, from 1.
    pub column: u64,
    /// What was found, and what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { line, column, message } = self;
        write!(f, "{line}:{column}: {message}")
    }
}
