//! The JSON that operators are answered with.

use daisy_language::Finding;
use http::StatusCode;
use serde::Serialize;
use viz::{IntoResponse, Response};

use crate::operators::json;

/// An answer to a body of statements.
#[derive(Debug, Serialize)]
pub(crate) struct Reply {
    #[serde(skip)]
    pub status: StatusCode,
    /// One for each statement that was run, in turn.
    pub results: Vec<ResultJson>,
    /// All that is wrong with the text; nothing was run then.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<FindingJson>,
    /// Why nothing was run, or the rest was not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// What came of one statement.
#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub(crate) enum ResultJson {
    /// A change is in force.
    Accepted {
        /// From this generation on.
        generation: u64,
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

impl ResultJson {
    /// The kind as one word.
    pub fn word(&self) -> &'static str {
        match self {
            ResultJson::Accepted { .. } => "accepted",
            ResultJson::Refused { .. } => "refused",
            ResultJson::Unknown { .. } => "unknown",
            ResultJson::Table { .. } => "table",
        }
    }
}

/// One thing that is wrong with the text.
#[derive(Debug, Serialize)]
pub(crate) struct FindingJson {
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

impl From<&Finding> for FindingJson {
    fn from(it: &Finding) -> FindingJson {
        FindingJson {
            line: it.line,
            column: it.column,
            start: it.span.start,
            end: it.span.end,
            found: it.found.to_string(),
            expected: it.expected.to_string(),
        }
    }
}

impl Reply {
    /// Nothing was run.
    pub fn failed(status: StatusCode, error: &str) -> Reply {
        Reply { status, results: Vec::new(), findings: Vec::new(), error: Some(error.to_owned()) }
    }

    /// The text is wrong.
    pub fn wrong(findings: &[Finding]) -> Reply {
        Reply {
            status: StatusCode::BAD_REQUEST,
            results: Vec::new(),
            findings: findings.iter().map(FindingJson::from).collect(),
            error: None,
        }
    }

    /// The statements were run.
    pub fn done(results: Vec<ResultJson>) -> Reply {
        let status = match results.last() {
            Some(ResultJson::Refused { .. }) => StatusCode::CONFLICT,
            Some(ResultJson::Unknown { .. }) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::OK,
        };
        Reply { status, results, findings: Vec::new(), error: None }
    }
}

impl IntoResponse for Reply {
    fn into_response(self) -> Response {
        json(self.status, &self)
    }
}
