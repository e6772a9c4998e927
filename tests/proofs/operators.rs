//! An operator, who sends statements to the operators' port and reads its status.

use std::{net::SocketAddr, time::Duration};

use daisy_history::{ChangeOutcome, EventKind};
use daisy_standin::{Recorder, client::Client};
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use crate::cluster_config::TOKEN;

/// How long an operator waits for an answer; longer than an entry VM waits for the outcome of a
/// statement.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an operator waits for a status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// An operator; its clones share the recorder.
#[derive(Debug, Clone)]
pub struct Operator {
    client: Client,
    recorder: Recorder,
}

impl Operator {
    pub fn new(name: &str) -> Operator {
        Operator { client: Client::new(), recorder: Recorder::new(name) }
    }

    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Sends statements and returns the answer; `None` if none was received.
    pub async fn send_statements(&self, entry: SocketAddr, statements: &str) -> Option<Value> {
        let req = Request::post(format!("http://{entry}/v1/statements"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::from(statements.to_owned()))
            .expect("a request");
        let answer = self.client.send(req, STATEMENT_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Sends a change with the number `change`, only to be accepted if the `expected` generation is
    /// in force, and records its outcome.
    pub async fn change(
        &self,
        change: u64,
        entry: SocketAddr,
        statement: &str,
        expected: Option<u64>,
    ) -> ChangeOutcome {
        let text = match expected {
            Some(generation) => format!("{statement} if generation {generation}"),
            None => statement.to_owned(),
        };
        self.recorder.record(EventKind::ChangeSent { change, expected });
        let answer = self.send_statements(entry, &text).await;
        let verdict = answer.as_ref().map_or(ChangeOutcome::Unknown, outcome_of);
        self.recorder.record(EventKind::ChangeEnded { change, verdict });
        if let ChangeOutcome::Accepted(version) = verdict {
            self.recorder.record(EventKind::ConfigAccepted { version });
        }
        verdict
    }

    /// Returns the status of an entry VM; `None` if it does not answer.
    pub async fn status(&self, entry: SocketAddr) -> Option<Value> {
        let answer = self.client.get(entry, "/v1/status", STATUS_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

/// Returns the outcome of a change from the answer to its statement.
fn outcome_of(answer: &Value) -> ChangeOutcome {
    let result = &answer["results"][0];
    match (result["kind"].as_str(), result["generation"].as_u64()) {
        (Some("accepted"), Some(generation)) => ChangeOutcome::Accepted(generation),
        (Some("refused"), _) => ChangeOutcome::Refused,
        _ => ChangeOutcome::Unknown,
    }
}
