//! JSON of the operators' port: the response to `POST /v1/statements` is an [`AnswerJson`].

use serde::{Deserialize, Serialize};

/// The response to a body of statements.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct AnswerJson {
    /// The results of the statements that were run, in order.
    #[serde(default)]
    pub results: Vec<StatementResultJson>,
    /// The errors in the text; if there are any, no statement was run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<FindingJson>,
    /// Why no statement, or not every statement, was run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// The result of one statement.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum StatementResultJson {
    /// A change took effect.
    Accepted {
        /// The generation that the change created.
        generation: u64,
        /// Warnings for the operator, such as that a job's tasks fit on no worker.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        notes: Vec<String>,
    },
    /// A change had no effect.
    Refused {
        /// The cause, for the operator.
        cause: String,
    },
    /// It is not known yet whether a change took effect; `show changes` will list it if so.
    Unknown {
        /// The cause, for the operator.
        cause: String,
    },
    /// The answer to a read-only statement.
    Table {
        /// The names of the columns.
        columns: Vec<String>,
        /// The rows, each with one cell per column.
        rows: Vec<Vec<String>>,
    },
}

/// An error in the text.
#[derive(Debug, Serialize, Deserialize)]
pub struct FindingJson {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// The offset in the text of the first wrong byte.
    pub start: usize,
    /// The offset in the text after the last wrong byte.
    pub end: usize,
    /// What was found there.
    pub found: String,
    /// What was expected there.
    pub expected: String,
}

impl AnswerJson {
    /// Returns whether every statement was accepted or answered.
    pub fn is_good(&self) -> bool {
        self.findings.is_empty()
            && self.error.is_none()
            && self.results.iter().all(|it| it.is_good())
    }
}

impl StatementResultJson {
    /// Returns whether the statement was accepted or answered.
    pub fn is_good(&self) -> bool {
        matches!(self, StatementResultJson::Accepted { .. } | StatementResultJson::Table { .. })
    }
}
