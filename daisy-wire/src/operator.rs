//! JSON of the operators' port: `POST /v1/statements` is answered by an [`AnswerJson`].

use serde::{Deserialize, Serialize};

/// An answer to a body of statements.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct AnswerJson {
    /// One for each statement that was run, in turn.
    #[serde(default)]
    pub results: Vec<StatementResultJson>,
    /// All that is wrong with the text; nothing was run then.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<FindingJson>,
    /// Why nothing was run, or the rest was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// What came of one statement.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum StatementResultJson {
    /// A change is in force.
    Accepted {
        /// From this generation on.
        generation: u64,
        /// What the operator should know at once, such as that a job fits on no worker.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        notes: Vec<String>,
    },
    /// A change had no effect.
    Refused {
        /// Why.
        cause: String,
    },
    /// Whether a change took effect is not known yet: `show changes` will tell.
    Unknown {
        /// Why.
        cause: String,
    },
    /// The answer to a statement that changes nothing.
    Table {
        /// The heads of the columns.
        columns: Vec<String>,
        /// Cells by row.
        rows: Vec<Vec<String>>,
    },
}

/// One thing that is wrong with the text.
#[derive(Debug, Serialize, Deserialize)]
pub struct FindingJson {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// The first byte of the text that is wrong.
    pub start: usize,
    /// The byte after the last one that is wrong.
    pub end: usize,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}

impl AnswerJson {
    /// Whether every statement was accepted or answered.
    pub fn is_good(&self) -> bool {
        self.findings.is_empty()
            && self.error.is_none()
            && self.results.iter().all(|it| it.is_good())
    }
}

impl StatementResultJson {
    /// Whether the statement was accepted or answered.
    pub fn is_good(&self) -> bool {
        matches!(self, StatementResultJson::Accepted { .. } | StatementResultJson::Table { .. })
    }
}
