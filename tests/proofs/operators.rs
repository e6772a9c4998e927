//! Operators' statements and status, as the operators' port answers them.

use std::{net::SocketAddr, time::Duration};

use daisy_history::{ChangeOutcome, EventKind};
use daisy_standin::{Recorder, client::Client};
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use crate::shape::TOKEN;

/// How long an operator waits; above the entry VM's own bound for a verdict.
const PATIENCE: Duration = Duration::from_secs(10);
const STATUS_PATIENCE: Duration = Duration::from_millis(500);

/// One operator; clones are the same one.
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

    /// Sends statements; `None` when no answer came.
    pub async fn say(&self, entry: SocketAddr, statements: &str) -> Option<Value> {
        let req = Request::post(format!("http://{entry}/v1/statements"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::from(statements.to_owned()))
            .expect("a request");
        let answer = self.client.send(req, PATIENCE).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Sends one change, numbered `change`, and records what came of it.
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
        let said = self.say(entry, &text).await;
        let verdict = said.as_ref().map_or(ChangeOutcome::Unknown, verdict_of);
        self.recorder.record(EventKind::ChangeEnded { change, verdict });
        if let ChangeOutcome::Accepted(version) = verdict {
            self.recorder.record(EventKind::ConfigAccepted { version });
        }
        verdict
    }

    /// How an entry VM stands; `None` when it does not answer.
    pub async fn status(&self, entry: SocketAddr) -> Option<Value> {
        let answer = self.client.get(entry, "/v1/status", STATUS_PATIENCE).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

fn verdict_of(said: &Value) -> ChangeOutcome {
    let result = &said["results"][0];
    match (result["kind"].as_str(), result["generation"].as_u64()) {
        (Some("accepted"), Some(generation)) => ChangeOutcome::Accepted(generation),
        (Some("refused"), _) => ChangeOutcome::Refused,
        _ => ChangeOutcome::Unknown,
    }
}
