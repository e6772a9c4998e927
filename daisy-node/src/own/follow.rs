//! What an owner follows besides its submissions: the list of workers, and what other owners learn.

use std::{sync::Arc, time::Duration};

use daisy_model::SortedMap;
use daisy_platform::{Store, Topic, worker};
use daisy_workflow::{Event, Record, ShardId, WorkerListing};
use tokio::{sync::mpsc, time::sleep};

use super::SHARE_EVERY;
use crate::{follow::Tail, jobs::readable, shared::Shared};

/// Between reads of the list of workers.
const LIST_EVERY: Duration = Duration::from_millis(300);

/// Tells the owner what the owners of other shards have learnt.
pub(super) async fn follow_observations(
    store: Store,
    shared: Shared,
    shard: ShardId,
    events: mpsc::UnboundedSender<Event>,
) {
    if shared.lock().directory.layout().is_none_or(|it| it.shards < 2) {
        return;
    }
    let mut tail = Tail::new(store, Topic::Observed);
    while !events.is_closed() {
        sleep(SHARE_EVERY).await;
        let Some(read) = tail.try_read(Duration::ZERO).await else { continue };
        for record in readable("observed", &read.records) {
            if let Record::InterferenceSums(from, seen) = record
                && from != shard
                && events.send(Event::InterferenceSums(seen)).is_err()
            {
                return;
            }
        }
    }
}

/// Tells the owner of those workers in the platform's list that belong to its shard, whenever the
/// list changes.
pub(super) async fn follow_workers(
    store: Store,
    shared: Shared,
    shard: ShardId,
    events: mpsc::UnboundedSender<Event>,
) {
    let layout = shared.lock().directory.layout();
    let here = |id: &str| layout.is_some_and(|it| it.shard_of_worker(&id.into()) == shard);
    let mut tail = Tail::new(store, Topic::Workers);
    let mut listed: SortedMap<String, Arc<WorkerListing>> = SortedMap::new();
    let mut unreadable = SortedMap::new();
    while !events.is_closed() {
        let fresh = tail.next().is_none();
        let Some(read) = tail.try_read(Duration::ZERO).await else { continue };
        if fresh {
            listed = SortedMap::new();
        }
        let changed = fresh || read.records.iter().any(|it| here(&it.key));
        for it in read.records.into_iter().filter(|it| here(&it.key)) {
            if it.value.is_empty() {
                listed.remove(&it.key);
                continue;
            }
            match worker(&it.key, &it.value) {
                Ok(entry) => {
                    listed.insert(it.key, Arc::new(entry));
                }
                Err(why) => {
                    listed.remove(&it.key);
                    if unreadable.insert(it.key.clone(), ()).is_none() {
                        log::warn!("event=worker_unreadable worker={:?} cause=\"{why}\"", it.key);
                    }
                }
            }
        }
        let event = match changed {
            true => Event::Workers(listed.iter().map(|(_, it)| WorkerListing::clone(it)).collect()),
            false => Event::ListUnchanged,
        };
        if events.send(event).is_err() {
            return;
        }
        sleep(LIST_EVERY).await;
    }
}
