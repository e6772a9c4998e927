//! Appends an owner's records, and retries until the log has stored them or another process owns
//! the shard.

use std::time::Duration;

use daisy_platform::{Guard, LogClient, LogError, Topic};
use daisy_workflow::{Record, encode};
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

/// Appends records, and retries until the log has stored them or rejects them because of a higher
/// epoch. A sequence number in `guard` ensures that a repeated append has no second effect.
pub(super) async fn append(
    log_client: &LogClient,
    topic: Topic,
    records: &[Record],
    guard: Guard,
) -> Result<(), Fenced> {
    let encoded: Vec<_> = records.iter().map(encode).collect();
    let mut failures = 0;
    loop {
        let timeout = if failures % 2 == 1 { SHORT_APPEND_TIMEOUT } else { APPEND_TIMEOUT };
        match log_client.append(topic, &encoded, guard, timeout).await {
            Ok(_) => {
                if failures > 0 {
                    log::info!("event=log_regained topic={topic:?}");
                }
                return Ok(());
            }
            Err(LogError::Fenced | LogError::EndMismatch) => return Err(Fenced),
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
