//! Sends appends to the log, one attempt each; the control task decides about further attempts.

use bytes::Bytes;
use daisy_ledger::Batch;
use daisy_model::Offset;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::{
    clock::Clock,
    control::{Appended, Input},
    platform::{Platform, PlatformError},
};

/// The outcome of one append attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The batch is in the log at this offset.
    Stored(Offset),
    /// It is unknown whether the batch is in the log, or the log is unreachable.
    Unanswered,
    /// The log accepts no more appends for the moment; nothing was appended.
    Busy,
    /// The log will never accept the batch.
    Rejected,
}

/// Appends `batch` once and sends the result to the control task.
pub(crate) fn spawn(platform: Platform, clock: Clock, batch: Batch, control: mpsc::Sender<Input>) {
    tokio::spawn(async move {
        let sent_at = clock.now();
        let id = batch.id;
        let outcome = match daisy_wire::log::encode(&batch) {
            Ok(bytes) => outcome(platform.append(id, Bytes::from(bytes)).await),
            Err(e) => {
                log::error!("event=append_rejected seq={} cause=\"{e}\"", id.seq);
                AppendOutcome::Rejected
            }
        };
        let _ = control.send(Input::Appended(Appended { id, sent_at, outcome })).await;
    });
}

fn outcome(result: Result<Offset, PlatformError>) -> AppendOutcome {
    match result {
        Ok(offset) => AppendOutcome::Stored(offset),
        Err(PlatformError::Busy) => AppendOutcome::Busy,
        Err(PlatformError::Status(status)) if is_final(status) => {
            log::error!("event=append_rejected status={status}");
            AppendOutcome::Rejected
        }
        Err(e) => {
            log::debug!("event=append_failed cause=\"{e}\"");
            AppendOutcome::Unanswered
        }
    }
}

fn is_final(status: StatusCode) -> bool {
    status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::BAD_REQUEST
}
