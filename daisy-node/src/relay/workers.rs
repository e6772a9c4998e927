//! Keeps the workers' records for the owners that follow this VM.
//!
//! Each owner needs the records of its shard only. If all of them read the whole list from the log,
//! its bytes grow as shards times workers.

use std::time::Duration;

use daisy_platform::{LogClient, Topic};
use daisy_wire::relay::RelayedTopic;
use tokio::time::sleep;

use super::{Relay, lock};
use crate::{clock, follow::TopicReader};

/// The interval at which the records are read.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// How long they are read after the last request: longer than a change of the owner takes.
const DEMAND_TIME: Duration = Duration::from_secs(10);
/// The interval of checks whether an owner has asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The topic, of any shard: what is kept does not depend on it.
const TOPIC: RelayedTopic = RelayedTopic::Workers { shard: 0, shards: 1 };

/// Keeps the workers' records while owners ask for them.
pub(crate) async fn keep_workers(log_client: LogClient, relay: Relay) {
    let is_asked = || {
        let asked_at = *lock(&relay.0.workers_asked_at);
        asked_at.is_some_and(|it| clock::now().since(it) < DEMAND_TIME)
    };
    loop {
        if !is_asked() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        log::info!("event=workers_kept");
        let mut reader = TopicReader::new(log_client.clone(), Topic::Workers);
        while is_asked() {
            let from = reader.next();
            let Some(read) = reader.try_read(Duration::ZERO).await else { continue };
            if let Some(next) = reader.next() {
                relay.keep(TOPIC, &read.records, from, next, read.at_end_at);
            }
            if read.at_end() {
                sleep(READ_INTERVAL).await;
            }
        }
        *lock(&relay.topic(TOPIC).cache) = Default::default();
    }
}
