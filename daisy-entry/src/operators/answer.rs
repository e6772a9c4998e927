//! Answers to operators.

use daisy_language::Finding;
use daisy_wire::operator::{AnswerJson, FindingJson, StatementResultJson};
use http::StatusCode;
use viz::{IntoResponse, Response};

use crate::operators::json;

/// An answer to a body of statements, and its status.
#[derive(Debug)]
pub(crate) struct Reply {
    pub status: StatusCode,
    pub answer: AnswerJson,
}

impl Reply {
    /// Creates the answer to statements of which none was run.
    pub fn failed(status: StatusCode, error: &str) -> Reply {
        let answer = AnswerJson { error: Some(error.to_owned()), ..AnswerJson::default() };
        Reply { status, answer }
    }

    /// Creates the answer to a text with syntax errors.
    pub fn invalid(findings: &[Finding]) -> Reply {
        let findings = findings.iter().map(finding_to_json).collect();
        let answer = AnswerJson { findings, ..AnswerJson::default() };
        Reply { status: StatusCode::BAD_REQUEST, answer }
    }

    /// Creates the answer to statements that were run.
    pub fn done(results: Vec<StatementResultJson>) -> Reply {
        let status = match results.last() {
            Some(StatementResultJson::Refused { .. }) => StatusCode::CONFLICT,
            Some(StatementResultJson::Unknown { .. }) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::OK,
        };
        Reply { status, answer: AnswerJson { results, ..AnswerJson::default() } }
    }
}

impl IntoResponse for Reply {
    fn into_response(self) -> Response {
        json(self.status, &self.answer)
    }
}

/// Returns the kind of a result as one word, for the log.
pub(super) fn result_name(result: &StatementResultJson) -> &'static str {
    match result {
        StatementResultJson::Accepted { .. } => "accepted",
        StatementResultJson::Refused { .. } => "refused",
        StatementResultJson::Unknown { .. } => "unknown",
        StatementResultJson::Table { .. } => "table",
    }
}

fn finding_to_json(it: &Finding) -> FindingJson {
    FindingJson {
        line: it.line,
        column: it.column,
        start: it.span.start,
        end: it.span.end,
        found: it.found.to_string(),
        expected: it.expected.to_string(),
    }
}
