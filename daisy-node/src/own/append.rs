//! Appends an owner's records, and retries until the log has stored them or another process owns
//! the shard.

use std::{collections::VecDeque, time::Duration};

use daisy_platform::{Guard, LogClient, LogError, Topic};
use daisy_workflow::{RefusedRecord, WrittenRecord};
use tokio::time::sleep;

/// How long an append may take before it is sent again.
pub(super) const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// The shorter timeout of every second try while the log does not answer: an append that is sent
/// while the log is unresponsive gets no answer even after the log recovers.
const SHORT_APPEND_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before a failed append is sent again.
const APPEND_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The log rejected an append because it has accepted one with a higher epoch.
pub(super) struct Fenced;

/// The outcome of a sequence of appends.
pub(super) struct Appended {
    /// The guard of the next append.
    pub next_guard: Guard,
    /// The records that the log refused.
    pub refused: Vec<RefusedRecord>,
    /// The offset after the last stored record; 0 if none was stored.
    pub log_end: u64,
}

/// Makes the calls one after the other, and retries each until the log has stored its records or
/// rejects them because of a higher epoch. A sequence number in `guard` ensures that a repeated
/// append has no second effect. Records that the log refuses are left out.
pub(super) async fn append(
    log_client: &LogClient,
    topic: Topic,
    calls: Vec<Vec<WrittenRecord>>,
    guard: Guard,
) -> Result<Appended, Fenced> {
    let mut calls = VecDeque::from(calls);
    let mut appended = Appended { next_guard: guard, refused: Vec::new(), log_end: 0 };
    while let Some(mut call) = calls.pop_front() {
        match append_call(log_client, topic, &call, appended.next_guard).await? {
            CallOutcome::Stored { log_end } => {
                appended.next_guard = appended.next_guard.next();
                appended.log_end = log_end;
            }
            // The others can be stored without the record that is refused.
            CallOutcome::Refused(_) if call.len() > 1 => {
                call.into_iter().rev().for_each(|it| calls.push_front(vec![it]));
            }
            CallOutcome::Refused(cause) => {
                let refused = call.drain(..).map(|it| RefusedRecord {
                    key: it.key().to_owned(),
                    job: it.job,
                    bytes: it.bytes(),
                });
                for it in refused {
                    log_refused(topic, &it, &cause);
                    appended.refused.push(it);
                }
            }
        }
    }
    Ok(appended)
}

/// Logs a record that the log does not store.
pub(super) fn log_refused(topic: Topic, it: &RefusedRecord, cause: &str) {
    let RefusedRecord { key, bytes, .. } = it;
    log::error!("event=record_refused topic={topic:?} key={key} bytes={bytes} cause=\"{cause}\"");
}

enum CallOutcome {
    Stored { log_end: u64 },
    Refused(String),
}

async fn append_call(
    log_client: &LogClient,
    topic: Topic,
    call: &[WrittenRecord],
    guard: Guard,
) -> Result<CallOutcome, Fenced> {
    let records: Vec<_> = call.iter().flat_map(|it| it.stored.iter().cloned()).collect();
    let mut failures = 0;
    loop {
        let timeout = if failures % 2 == 1 { SHORT_APPEND_TIMEOUT } else { APPEND_TIMEOUT };
        match log_client.append(topic, &records, guard, timeout).await {
            Ok(offset) => {
                if failures > 0 {
                    log::info!("event=log_regained topic={topic:?}");
                }
                return Ok(CallOutcome::Stored { log_end: offset + records.len() as u64 });
            }
            Err(LogError::Fenced | LogError::EndMismatch) => return Err(Fenced),
            Err(e @ LogError::Refused(_)) => return Ok(CallOutcome::Refused(e.to_string())),
            Err(e) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("event=log_lost topic={topic:?} cause=\"{e}\"");
                }
                sleep(APPEND_RETRY_PAUSE).await;
            }
        }
    }
}
