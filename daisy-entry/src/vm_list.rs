//! Reads the platform's VM list.

use std::time::Duration;

use tokio::{sync::mpsc, time::sleep};

use crate::{control::Input, platform::Platform};

/// The longest pause between reads while the platform does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Reads the list every `period`, and passes each new version on, or that there is none.
pub(crate) async fn run(platform: Platform, period: Duration, control: mpsc::Sender<Input>) {
    let mut version = None;
    let mut pause = period;
    loop {
        match platform.vms(version).await {
            Ok(Some(listing)) => {
                version = Some(listing.version);
                pause = period;
                if control.send(Input::Vms(listing)).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                pause = period;
                if control.send(Input::VmsUnchanged).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                log::debug!("event=vm_list_failed cause={e:?}");
                pause = (pause * 2).min(MAX_PAUSE.max(period));
            }
        }
        sleep(pause).await;
    }
}
