//! Runs operators' statements one after another.

use std::time::Duration;

use daisy_language::{LocatedStatement, Statement};
use daisy_ledger::{Outcome, Record};
use daisy_model::{Change, Command, Condition, Name};
use daisy_wire::operator::StatementResultJson;
use http::StatusCode;
use tokio::{sync::oneshot, time::timeout};

use crate::{
    control::{Input, Verdict},
    operators::{
        Port,
        answer::{Reply, word},
        look::{look, notes},
    },
};

/// How long an operator waits until a change is in force here.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);

/// Runs all statements of `text`, and stops after the first that is not accepted.
pub(super) async fn run(port: &Port, who: Name, text: &str) -> Reply {
    let statements = match daisy_language::parse_located(text) {
        Ok(statements) => statements,
        Err(findings) => {
            let count = findings.0.len();
            log::info!("event=statement_refused who={who} cause=findings count={count}");
            return Reply::wrong(&findings.0);
        }
    };
    let mut results = Vec::new();
    for LocatedStatement { statement, span } in statements {
        let source = text.get(span).unwrap_or_default().trim();
        let result = match statement {
            Statement::Change { command, condition } => {
                change(port, &who, source, command, condition).await
            }
            other => look(port, &other).await,
        };
        let Some(result) = result else {
            return Reply::failed(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        };
        let go_on = result.is_good();
        results.push(result);
        if !go_on {
            break;
        }
    }
    Reply::done(results)
}

/// Appends a change and waits until the fold has decided.
async fn change(
    port: &Port,
    who: &Name,
    source: &str,
    command: Command,
    condition: Option<Condition>,
) -> Option<StatementResultJson> {
    let created = match &command {
        Command::Create(spec) => Some(spec.clone()),
        _ => None,
    };
    let at = port.clock.wall();
    let change = Change { who: who.clone(), at, text: source.into(), command, condition };
    let (reply, verdict) = oneshot::channel();
    let record = Record::Change(change);
    port.control.send(Input::Submit { record, reply }).await.ok()?;
    let result = match timeout(VERDICT_TIMEOUT, verdict).await {
        Ok(Ok(Verdict::Folded(Outcome::Accepted(generation)))) => {
            let notes = match created {
                Some(spec) => notes(port, &spec).await?,
                None => Vec::new(),
            };
            StatementResultJson::Accepted { generation: generation.0, notes }
        }
        Ok(Ok(Verdict::Folded(Outcome::Refused(refusal)))) => {
            StatementResultJson::Refused { cause: refusal.to_string() }
        }
        Ok(Ok(Verdict::NotSent(cause))) => {
            StatementResultJson::Refused { cause: format!("nothing was sent: {cause}") }
        }
        Ok(Ok(Verdict::Folded(_)) | Err(_)) => StatementResultJson::Unknown {
            cause: "the log has it, its verdict was not seen here".to_owned(),
        },
        Err(_) => StatementResultJson::Unknown {
            cause: format!("no verdict of the log in {VERDICT_TIMEOUT:?}; it may still come"),
        },
    };
    log::info!("event=statement who={who} text={source:?} result={}", word(&result));
    Some(result)
}
