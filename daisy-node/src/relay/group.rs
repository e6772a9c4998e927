//! The group of a data centre's VMs, by which the platform tells which of them are readers.

use std::{net::SocketAddr, time::Duration};

use daisy_platform::{LogClient, NodeSettings};
use daisy_relay::is_reader;
use tokio::time::sleep;

use super::{Relay, lock};
use crate::{clock, shared::Shared};

/// How long a member that sends nothing keeps its partitions. Followers of a reader that the log
/// turns away wait for this time until another VM is a reader.
const MEMBER_TTL: Duration = Duration::from_millis(1_500);
/// The interval at which a VM that may be a reader joins again: a third of that time, less a call.
const CANDIDATE_JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// The same for other VMs, whose joins only show whether the log answers them.
const JOIN_INTERVAL: Duration = Duration::from_millis(900);
/// The spread of the intervals.
const JOIN_SPREAD_MS: u64 = 100;
/// The pause after a join that failed.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The interval of checks whether something is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The membership of a VM in the group of its data centre.
#[derive(Debug, Clone)]
pub(crate) struct Membership {
    /// The group whose members may be readers.
    readers_group: String,
    /// The group that this VM joins.
    group: String,
    join_interval: Duration,
    /// The VM's address for followers, which is its name in the group.
    address: SocketAddr,
    partitions: u16,
    /// The least number of shards with which readers are used.
    min_shards: u16,
}

impl Membership {
    /// Returns the membership of a VM with `settings` at `address`. VMs that are no candidates join
    /// a group of their own: their joins show whether the log answers them.
    pub fn new(
        settings: &NodeSettings,
        address: SocketAddr,
        is_candidate: bool,
        min_shards: u16,
    ) -> Membership {
        let readers_group = format!("readers-{}", settings.data_centre);
        let (group, join_interval) = match is_candidate {
            true => (readers_group.clone(), CANDIDATE_JOIN_INTERVAL),
            false => (format!("followers-{}", settings.data_centre), JOIN_INTERVAL),
        };
        let partitions = settings.partitions;
        Membership { readers_group, group, join_interval, address, partitions, min_shards }
    }

    /// Returns whether the fleet is large enough for readers; `None` if that is not known yet.
    fn is_active(&self, shared: &Shared) -> Option<bool> {
        shared.lock().directory.layout().map(|it| it.shards >= self.min_shards)
    }
}

/// Keeps this VM in its group until its planned stop.
pub(crate) async fn stay_in_group(
    membership: Membership,
    log_client: LogClient,
    relay: Relay,
    shared: Shared,
) {
    let member = membership.address.to_string();
    let mut generation = 0;
    let mut failures = 0u32;
    loop {
        if membership.is_active(&shared) != Some(true) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        if shared.lock().is_stopping {
            break;
        }
        let sent_at = clock::now();
        let joined =
            log_client.join(&membership.group, &member, generation, MEMBER_TTL, CALL_TIMEOUT).await;
        let now = clock::now();
        match joined {
            Ok(joined) => {
                generation = joined.generation;
                failures = 0;
                shared.lock().joined_at = Some(sent_at);
                relay.set_reader(now, is_reader(&joined.partitions, membership.partitions));
                let spread = Duration::from_millis(fastrand::u64(..JOIN_SPREAD_MS));
                sleep(membership.join_interval + spread).await;
            }
            Err(e) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("event=join_failed group={} cause=\"{e}\"", membership.group);
                    // Not joined yet is treated as joined until now, so that a VM that the log
                    // turns away from the start becomes unready.
                    shared.lock().joined_at.get_or_insert(sent_at);
                }
                // The platform has given the partitions to another member by now.
                let joined_at = shared.lock().joined_at;
                if joined_at.is_some_and(|it| now.since(it) > MEMBER_TTL) {
                    relay.set_reader(now, false);
                }
                sleep(JOIN_RETRY_PAUSE).await;
            }
        }
    }
    relay.set_reader(clock::now(), false);
    if let Err(e) = log_client.leave(&membership.group, &member, CALL_TIMEOUT).await {
        log::info!("event=leave_failed group={} cause=\"{e}\"", membership.group);
    }
}

/// Lists the readers of the data centre whenever the selector asks for it.
pub(crate) async fn follow_readers(
    membership: Membership,
    log_client: LogClient,
    relay: Relay,
    shared: Shared,
) {
    let mut has_listed = false;
    loop {
        // A VM that has just started may find readers before it knows the layout.
        let is_useful = membership.is_active(&shared).unwrap_or(!has_listed);
        if !is_useful || !lock(&relay.0.selector).take_list_due(clock::now()) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        match log_client.group_members(&membership.readers_group, CALL_TIMEOUT).await {
            Ok(members) => {
                has_listed = true;
                let (readers, others): (Vec<_>, Vec<_>) = members
                    .iter()
                    .filter_map(|it| Some((it.partition, it.member.parse::<SocketAddr>().ok()?)))
                    .filter(|(_, address)| *address != membership.address)
                    .partition(|(partition, _)| is_reader(&[*partition], membership.partitions));
                let addresses =
                    |it: Vec<(u16, SocketAddr)>| it.into_iter().map(|it| it.1).collect();
                lock(&relay.0.selector).set_readers(addresses(readers), addresses(others));
            }
            Err(e) => log::info!("event=readers_unknown cause=\"{e}\""),
        }
    }
}
