//! Appends of an owner's records, until the log has them or another owns the shard.

use std::time::Duration;

use daisy_platform::{Guard, Store, StoreError, Topic};
use daisy_workflow::{Record, encode};
use tokio::time::sleep;

/// How long an append may take before it is sent again.
pub(super) const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// The same, for every second sending to a log that does not answer: one that was sent into a
/// silence gets no answer when the silence ends.
const APPEND_TIMEOUT_LOST: Duration = Duration::from_millis(400);
/// Before an append that the log refused is sent again.
const APPEND_RETRY: Duration = Duration::from_millis(100);

/// A higher epoch has been seen.
pub(super) struct Fenced;

/// Appends until the log has the records or a higher epoch has been seen. The number in `guard`
/// makes a second sending of the same append have no second effect.
pub(super) async fn append(
    store: &Store,
    topic: Topic,
    records: &[Record],
    guard: Guard,
) -> Result<(), Fenced> {
    let encoded: Vec<_> = records.iter().map(encode).collect();
    let mut failures = 0;
    loop {
        let timeout = if failures % 2 == 1 { APPEND_TIMEOUT_LOST } else { APPEND_TIMEOUT };
        match store.append(topic, &encoded, guard, timeout).await {
            Ok(_) => {
                if failures > 0 {
                    log::info!("event=log_regained topic={topic:?}");
                }
                return Ok(());
            }
            Err(StoreError::Fenced | StoreError::EndMismatch) => return Err(Fenced),
            Err(e) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("event=log_lost topic={topic:?} cause=\"{e}\"");
                }
                sleep(APPEND_RETRY).await;
            }
        }
    }
}
