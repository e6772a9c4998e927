//! Runs operators' statements one after another.

use std::time::Duration;

use daisy_language::{LocatedStatement, Statement};
use daisy_ledger::{Record, RecordOutcome};
use daisy_model::{Change, Command, Condition, Name};
use daisy_wire::operator::StatementResultJson;
use http::StatusCode;
use tokio::{sync::oneshot, time::timeout};

use crate::{
    control::{Input, SubmitOutcome},
    operators::{
        OperatorContext,
        answer::{Reply, result_name},
        query::{answer_query, capacity_notes},
    },
};

/// How long an operator waits until a change is in force on this entry VM.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(8);

/// Runs the statements of `text`, and stops after the first that is not accepted.
pub(super) async fn run(context: &OperatorContext, who: Name, text: &str) -> Reply {
    let statements = match daisy_language::parse_located(text) {
        Ok(statements) => statements,
        Err(findings) => {
            let count = findings.0.len();
            log::info!("event=statement_refused who={who} cause=findings count={count}");
            return Reply::invalid(&findings.0);
        }
    };
    let mut results = Vec::new();
    for LocatedStatement { statement, span } in statements {
        let source = text.get(span).unwrap_or_default().trim();
        let result = match statement {
            Statement::Change { command, condition } => {
                submit_change(context, &who, source, command, condition).await
            }
            other => answer_query(context, &other).await,
        };
        let Some(result) = result else {
            return Reply::failed(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        };
        let should_continue = result.is_good();
        results.push(result);
        if !should_continue {
            break;
        }
    }
    Reply::done(results)
}

/// Appends a change and waits until the fold has processed it.
async fn submit_change(
    context: &OperatorContext,
    who: &Name,
    source: &str,
    command: Command,
    condition: Option<Condition>,
) -> Option<StatementResultJson> {
    let created = match &command {
        Command::Create(spec) => Some(spec.clone()),
        _ => None,
    };
    let at = context.clock.wall_time();
    let change = Change { who: who.clone(), at, text: source.into(), command, condition };
    let (reply, outcome) = oneshot::channel();
    let record = Record::Change(change);
    context.control.send(Input::Submit { record, reply }).await.ok()?;
    let result = match timeout(OUTCOME_TIMEOUT, outcome).await {
        Ok(Ok(SubmitOutcome::Folded(RecordOutcome::Accepted(generation)))) => {
            let notes = match created {
                Some(spec) => capacity_notes(context, &spec).await?,
                None => Vec::new(),
            };
            StatementResultJson::Accepted { generation: generation.0, notes }
        }
        Ok(Ok(SubmitOutcome::Folded(RecordOutcome::Refused(refusal)))) => {
            StatementResultJson::Refused { cause: refusal.to_string() }
        }
        Ok(Ok(SubmitOutcome::NotAppended(cause))) => {
            StatementResultJson::Refused { cause: format!("the change was not appended: {cause}") }
        }
        Ok(Ok(SubmitOutcome::Folded(_)) | Err(_)) => StatementResultJson::Unknown {
            cause: "the change is in the log, but its outcome was not seen by this entry VM"
                .to_owned(),
        },
        Err(_) => StatementResultJson::Unknown {
            cause: format!(
                "no outcome from the log within {OUTCOME_TIMEOUT:?}; the change may still take effect"
            ),
        },
    };
    log::info!("event=statement who={who} text={source:?} result={}", result_name(&result));
    Some(result)
}
