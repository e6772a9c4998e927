//! What is wrong with a settings file, and where.

use std::fmt;

/// One thing that is wrong, with its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line of the text, from 1.
    pub line: u64,
    /// Column in characters, from 1.
    pub column: u64,
    /// What was found and what was expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { line, column, message } = self;
        write!(f, "{line}:{column}: {message}")
    }
}
