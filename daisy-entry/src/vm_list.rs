//! Reads the platform's VM list, from peers if the platform is unreachable.

use std::time::Duration;

use daisy_wire::peer::{PeerAnswer, PeerQuery};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    control::Input,
    peers::Links,
    platform::{Platform, VmListing},
};

/// The longest pause between reads while the platform does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the list every `period`, and reports each new version, or that it is unchanged, to the
/// control task.
pub(crate) async fn run(
    platform: Platform,
    links: Links,
    period: Duration,
    control: mpsc::Sender<Input>,
) {
    let mut version = None;
    let mut pause = period;
    loop {
        let input = match platform.vms(version).await {
            Ok(listing) => {
                pause = period;
                Some(listing.map_or(Input::VmsUnchanged, Input::Vms))
            }
            Err(e) => {
                log::debug!("event=vm_list_failed cause=\"{e}\"");
                pause = (pause * 2).min(MAX_PAUSE.max(period));
                list_from_peer(&links, version).await.map(Input::PeerVms)
            }
        };
        if let Some(Input::Vms(listing) | Input::PeerVms(listing)) = &input {
            version = Some(listing.version);
        }
        if let Some(input) = input
            && control.send(input).await.is_err()
        {
            return;
        }
        sleep(pause).await;
    }
}

/// Returns a list newer than `known` from a random peer.
///
/// Guard: an entry VM that is cut off from the platform, but not from its peers, would send
/// requests to backend servers that have long been removed, and would not learn of new peers. It is
/// unknown which peer has a newer list, so each time a peer is chosen at random.
async fn list_from_peer(links: &Links, known: Option<u64>) -> Option<VmListing> {
    let peer = links.any_peer()?;
    match links.send_query(peer, PeerQuery::Vms { known }, PEER_TIMEOUT).await? {
        PeerAnswer::Vms { version, vms } => {
            log::info!("event=vm_list_from_peer peer={peer} version={version}");
            Some(VmListing { version, vms })
        }
        _ => None,
    }
}
