//! Sends appends to the log until they are confirmed.

use std::time::Duration;

use bytes::Bytes;
use daisy_ledger::{Batch, Record};
use tokio::{sync::mpsc, time::sleep};

use crate::{clock::Clock, control::Input, platform::Platform, platform::PlatformError};

/// The first pause before an append is sent again; doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause: after an outage the log has its appends within this time.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Sends each batch that comes, under one append id however often it is sent.
///
/// A batch that is a lone claim is sent once only: a claim that took effect long after it
/// was decided would depose a healthy holder.
pub(crate) async fn run(
    platform: Platform,
    clock: Clock,
    mut batches: mpsc::Receiver<Batch>,
    control: mpsc::Sender<Input>,
) {
    while let Some(batch) = batches.recv().await {
        let once = matches!(batch.records.as_slice(), [Record::Claim { .. }]);
        let bytes = match daisy_wire::log::encode(&batch) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("event=append_dropped seq={} cause=\"{e}\"", batch.id.seq);
                let asked = clock.now();
                let input = Input::Append { asked, confirmed: false, failed: false, done: true };
                if control.send(input).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let mut pause = MIN_PAUSE;
        loop {
            let asked = clock.now();
            let outcome = platform.append(batch.id, bytes.clone()).await;
            let confirmed = outcome.is_ok();
            let failed = !confirmed && !matches!(outcome, Err(PlatformError::Busy));
            if let Err(e) = &outcome {
                log::debug!("event=append_failed seq={} cause={e:?}", batch.id.seq);
            }
            let done = confirmed || once;
            let input = Input::Append { asked, confirmed, failed, done };
            if control.send(input).await.is_err() {
                return;
            }
            if done {
                break;
            }
            // Half of the pause at random, so that processes do not come back in step.
            let jitter = fastrand::u64(0..=pause.as_millis() as u64 / 2);
            sleep(pause / 2 + Duration::from_millis(jitter)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}
