//! Follows the operators' records: the configuration, and requests to evacuate data centres.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;
use daisy_platform::{
    EvacuationRecord, LogClient, StoredRecord, Topic, parse_evacuation, parse_queue_config,
};
use daisy_workflow::Evacuations;
use tokio::time::sleep;

use crate::{clock, follow::TopicReader, metrics::Metrics, shared::Shared};

/// How long a read of the operators' records waits for a record.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// The pause between reads until a configuration has been read.
const CONFIGURATION_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Follows the operators' records until the process ends.
pub(crate) async fn follow_operators(log_client: LogClient, shared: Shared, metrics: Metrics) {
    let mut reader = TopicReader::new(log_client, Topic::Operators);
    let mut known = Arc::new(Evacuations::default());
    let mut caught_up_at = clock::now();
    loop {
        let is_first_read = reader.next().is_none();
        let Some(read) = reader.try_read(READ_WAIT).await else { continue };
        apply_configurations(&shared, &read.records);
        let now = clock::now();
        let evacuations = fold_evacuations(&known, &read.records, is_first_read);
        if evacuations != *known {
            log_changes(&known, &evacuations, now, caught_up_at);
            metrics.set_evacuations(&evacuations);
            known = Arc::new(evacuations);
        }
        if read.at_end {
            caught_up_at = now;
            shared.lock().apply_evacuations(now, known.clone());
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

/// Returns the evacuations after `records`. The first read returns the newest record of each key,
/// so an evacuation that it does not name has ended. A record that cannot be parsed changes nothing.
fn fold_evacuations(
    known: &Evacuations,
    records: &[StoredRecord],
    is_first_read: bool,
) -> Evacuations {
    let mut evacuations = match is_first_read {
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
                if is_first_read {
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
