//! Follows the operators' records: the configuration, and requests to evacuate data centres.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;
use daisy_platform::{EvacuationRecord, LogClient, Topic, parse_evacuation, parse_queue_config};
use daisy_relay::StoredRecord;
use daisy_wire::relay::RelayedTopic;
use daisy_workflow::Evacuations;
use tokio::time::sleep;

use crate::{clock, follow::TopicReader, metrics::Metrics, relay::Relay, shared::Shared};

/// How long a read of the operators' records waits for a record.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// The same for a VM that reads for others: its followers are told that it has read up to the end
/// only when a read is answered.
const READERS_READ_WAIT: Duration = Duration::from_millis(400);
/// The pause between reads until a configuration has been read.
const CONFIGURATION_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Follows the operators' records until the process ends.
pub(crate) async fn follow_operators(
    log_client: LogClient,
    relay: Option<Relay>,
    shared: Shared,
    metrics: Metrics,
) {
    let reader = TopicReader::new(log_client, Topic::Operators);
    let mut reader = reader.through(relay.clone(), RelayedTopic::Operators);
    let mut known = Arc::new(Evacuations::default());
    let mut caught_up_at = clock::now();
    loop {
        let reads_for_others = relay.as_ref().is_some_and(|it| it.reads_for_others(clock::now()));
        let wait = if reads_for_others { READERS_READ_WAIT } else { READ_WAIT };
        let Some(read) = reader.try_read(wait).await else { continue };
        apply_configurations(&shared, &read.records);
        let now = clock::now();
        let evacuations = fold_evacuations(&known, &read.records, read.is_snapshot);
        if evacuations != *known {
            log_changes(&known, &evacuations, now, caught_up_at);
            metrics.set_evacuations(&evacuations);
            known = Arc::new(evacuations);
        }
        if let Some(at) = read.at_end_at {
            caught_up_at = at;
            shared.lock().apply_evacuations(at, known.clone());
        }
        if shared.lock().queues.is_none() {
            sleep(CONFIGURATION_RETRY_INTERVAL).await;
        }
    }
}

fn apply_configurations(shared: &Shared, records: &[StoredRecord]) {
    for it in records {
        match parse_queue_config(&it.key, &it.value) {
            Some(Ok(queues)) => shared.lock().apply_configuration(queues),
            Some(Err(cause)) => {
                log::warn!("event=configuration_unreadable offset={} cause=\"{cause}\"", it.offset);
            }
            None => {}
        }
    }
}

/// Returns the evacuations after `records`. A snapshot has the newest record of each key, so an evacuation that it does not name has ended. A record that cannot be parsed changes nothing.
fn fold_evacuations(
    known: &Evacuations,
    records: &[StoredRecord],
    is_snapshot: bool,
) -> Evacuations {
    let mut evacuations = match is_snapshot {
        true => Evacuations::default(),
        false => known.clone(),
    };
    for it in records {
        let Some(EvacuationRecord { data_centre, request }) = parse_evacuation(&it.key, &it.value)
        else {
            continue;
        };
        match request {
            Ok(request) => evacuations.apply(data_centre, it.offset, request),
            Err(cause) => {
                if is_snapshot {
                    evacuations.keep_from(known, data_centre);
                }
                log::warn!(
                    "event=evacuation_unreadable data_centre={data_centre:?} offset={} \
                     cause=\"{cause}\"",
                    it.offset
                );
            }
        }
    }
    evacuations
}

/// Logs which evacuations have begun or ended; each change is at most as old as the last read that
/// reached the end of the records.
fn log_changes(known: &Evacuations, new: &Evacuations, now: Instant, caught_up_at: Instant) {
    let age_ms = now.since(caught_up_at).as_millis();
    for (data_centre, offset) in new.iter().filter(|(it, _)| !known.contains(it)) {
        log::info!(
            "event=evacuation_begun data_centre={data_centre:?} offset={offset} \
             max_age_ms={age_ms}"
        );
    }
    for (data_centre, offset) in known.iter().filter(|(it, _)| !new.contains(it)) {
        log::info!(
            "event=evacuation_ended data_centre={data_centre:?} begun_offset={offset} \
             max_age_ms={age_ms}"
        );
    }
}
