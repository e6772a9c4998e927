//! Reads a shard's submissions and cancellations for its owner.

use std::time::Duration;

use daisy_model::Instant;
use daisy_relay::StoredRecord;
use daisy_workflow::{
    Event, JoinedRecord, PartJoiner, Record, RecordError, decode_stored, substitute,
};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{clock, follow::TopicReader};

/// How long a read waits for a record. This limits how far the owner may be behind the log when it
/// reports that it has caught up.
const READ_WAIT: Duration = Duration::from_millis(400);
/// The pause between reads: each call costs money, but the first start of a job waits for this
/// pause.
const READ_PAUSE: Duration = Duration::from_millis(4);

/// Decodes records of a topic. Logs and skips records that cannot be decoded.
pub(crate) fn decode_all<'a>(
    topic: &'a str,
    records: &'a [StoredRecord],
) -> impl Iterator<Item = Record> + 'a {
    records.iter().filter_map(|it| decode_record(topic, it).ok())
}

/// Decodes a record. If that fails, logs the error and returns it, or the record's substitute if it
/// must not be ignored.
fn decode_record(topic: &str, it: &StoredRecord) -> Result<Record, RecordError> {
    or_substitute(topic, it, decode_stored(&it.key, &it.value))
}

/// Decodes a record that may be stored in parts; returns `None` if it is a part while others are
/// missing, or the removal of a part. Errors are handled as by [`decode_record`].
pub(crate) fn join_record(
    topic: &str,
    it: &StoredRecord,
    parts: &mut PartJoiner,
) -> Result<Option<Record>, RecordError> {
    match parts.add(&it.key, &it.value) {
        Ok(Some(JoinedRecord { key, value })) => {
            or_substitute(topic, it, decode_stored(key, &value)).map(Some)
        }
        Ok(None) => Ok(None),
        Err(e) => or_substitute(topic, it, Err(e)).map(Some),
    }
}

fn or_substitute(
    topic: &str,
    it: &StoredRecord,
    record: Result<Record, RecordError>,
) -> Result<Record, RecordError> {
    record.or_else(|e| {
        log::warn!("event=record_unreadable topic={topic} offset={} cause=\"{e}\"", it.offset);
        substitute(&it.key, it.offset, &e).ok_or(e)
    })
}

/// Sends new records to the owner until the owner has ended. Sets `caught_up_at` to the current
/// time whenever the topic has been read to its end.
pub(crate) async fn follow_jobs(
    mut reader: TopicReader,
    events: mpsc::UnboundedSender<Event>,
    caught_up_at: watch::Sender<Instant>,
) {
    while !events.is_closed() {
        let Some(read) = reader.try_read(READ_WAIT).await else { continue };
        for record in decode_all("jobs", &read.records) {
            if events.send(Event::Record(record)).is_err() {
                return;
            }
        }
        if read.at_end() {
            caught_up_at.send_replace(clock::now());
        }
        sleep(READ_PAUSE).await;
    }
}
