//! An owner's reading of its shard's submissions and cancellations.

use std::time::Duration;

use daisy_model::Instant;
use daisy_platform::StoredRecord;
use daisy_workflow::{Claim, Event, OWNER_KEY, Record, RecordError, decode};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{clock, follow::Tail};

/// How long a read waits for a record: it bounds how far the owner may be behind when it says that
/// it has read all.
const WAIT: Duration = Duration::from_millis(400);
/// Between reads: each call is paid for, and a job waits this long for its first start.
const PAUSE: Duration = Duration::from_millis(4);

/// The records of jobs and owners among `records`; what cannot be read is logged.
pub(crate) fn readable<'a>(
    topic: &'a str,
    records: &'a [StoredRecord],
) -> impl Iterator<Item = Record> + 'a {
    records.iter().filter(|it| !it.value.is_empty()).filter_map(|it| read(topic, it).ok())
}

/// What a record says; that it cannot be read is logged.
pub(crate) fn read(topic: &str, it: &StoredRecord) -> Result<Record, RecordError> {
    decode(&it.key, &it.value).or_else(|e| {
        log::warn!("event=record_unreadable topic={topic} offset={} cause=\"{e}\"", it.offset);
        match it.key == OWNER_KEY {
            // Taken for nothing, an owner that may still renew leases would count as none.
            true => Ok(Record::Claim(Claim::unreadable(it.offset))),
            false => Err(e),
        }
    })
}

/// Tells the owner of new records until it has ended; `read_at` says when all had been read.
pub(crate) async fn follow_jobs(
    mut tail: Tail,
    events: mpsc::UnboundedSender<Event>,
    read_at: watch::Sender<Instant>,
) {
    while !events.is_closed() {
        let Some(read) = tail.try_read(WAIT).await else { continue };
        for record in readable("jobs", &read.records) {
            if events.send(Event::Record(record)).is_err() {
                return;
            }
        }
        if read.at_end {
            read_at.send_replace(clock::now());
        }
        sleep(PAUSE).await;
    }
}
