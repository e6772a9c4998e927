//! Reads what an owner needs besides its submissions: the list of workers, and the interference
//! measurements of other owners.

use std::{sync::Arc, time::Duration};

use daisy_model::SortedMap;
use daisy_platform::{LogClient, Topic, parse_worker};
use daisy_wire::relay::RelayedTopic;
use daisy_workflow::{Event, Record, ShardId, WorkerListing};
use tokio::{sync::mpsc, time::sleep};

use super::MEASUREMENTS_INTERVAL;
use crate::{follow::TopicReader, jobs::decode_all, relay::Relay, shared::Shared};

/// The interval at which the list of workers is read.
const LIST_INTERVAL: Duration = Duration::from_millis(300);

/// Sends the interference measurements of other shards' owners to the owner.
pub(super) async fn follow_measurements(
    log_client: LogClient,
    shared: Shared,
    shard: ShardId,
    events: mpsc::UnboundedSender<Event>,
) {
    if shared.lock().directory.layout().is_none_or(|it| it.shards < 2) {
        return;
    }
    let mut reader = TopicReader::new(log_client, Topic::Observed);
    while !events.is_closed() {
        sleep(MEASUREMENTS_INTERVAL).await;
        let Some(read) = reader.try_read(Duration::ZERO).await else { continue };
        for record in decode_all("observed", &read.records) {
            if let Record::InterferenceSums(from, sums) = record
                && from != shard
                && events.send(Event::InterferenceSums(sums)).is_err()
            {
                return;
            }
        }
    }
}

/// Reads the platform's list of workers. Sends the owner all listed workers of its shard after the
/// first read and after each read that finds a change in them; after any other read, sends
/// [`Event::ListUnchanged`].
pub(super) async fn follow_workers(
    log_client: LogClient,
    relay: Option<Relay>,
    shared: Shared,
    shard: ShardId,
    events: mpsc::UnboundedSender<Event>,
) {
    let layout = shared.lock().directory.layout();
    let is_in_shard = |id: &str| layout.is_some_and(|it| it.shard_of_worker(&id.into()) == shard);
    let shards = layout.map_or(1, |it| it.shards);
    let topic = RelayedTopic::Workers { shard: shard.0, shards };
    let mut reader = TopicReader::new(log_client, Topic::Workers).through(relay, topic);
    let mut listings: SortedMap<String, Arc<WorkerListing>> = SortedMap::new();
    let mut logged_unreadable = SortedMap::new();
    while !events.is_closed() {
        let Some(read) = reader.try_read(Duration::ZERO).await else { continue };
        if read.is_snapshot {
            listings = SortedMap::new();
        }
        let changed = read.is_snapshot || read.records.iter().any(|it| is_in_shard(&it.key));
        for it in read.records.into_iter().filter(|it| is_in_shard(&it.key)) {
            if it.value.is_empty() {
                listings.remove(&it.key);
                continue;
            }
            match parse_worker(&it.key, &it.value) {
                Ok(listing) => {
                    listings.insert(it.key, Arc::new(listing));
                }
                Err(cause) => {
                    listings.remove(&it.key);
                    if logged_unreadable.insert(it.key.clone(), ()).is_none() {
                        log::warn!("event=worker_unreadable worker={:?} cause=\"{cause}\"", it.key);
                    }
                }
            }
        }
        let event = match changed {
            true => {
                Event::Workers(listings.iter().map(|(_, it)| WorkerListing::clone(it)).collect())
            }
            false => Event::ListUnchanged,
        };
        if events.send(event).is_err() {
            return;
        }
        sleep(LIST_INTERVAL).await;
    }
}
