//! What is sent to a log that does not answer.

use daisy_model::Instant;
use daisy_workflow::{LogHealth, SendDecision};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a log that has answered appends within 10 ms, and reads, up to 1,000 ms.
fn responsive_log() -> LogHealth {
    let mut log = LogHealth::default();
    for began in [900, 940, 980] {
        log.begin_append(at(began));
        log.append_ended(at(began + 10), at(began), true);
    }
    log.read_answered(at(1_000));
    log
}

/// The log stops answering while requests keep coming. If each were sent, the outcome of all of
/// them would be unknown and their callers could not retry. Only the appends in flight before the
/// outage is detected have an unknown outcome; the others are never sent.
#[test]
fn at_most_two_appends_are_sent_to_a_log_that_hangs() {
    let mut log = responsive_log();
    let mut sent = 0;

    for now in (1_000..2_400).step_by(20) {
        if let SendDecision::All(_) = log.next_send(at(now)) {
            sent += 1;
            log.begin_append(at(now));
        }
        if now == 1_500 {
            log.append_ended(at(now), at(1_000), false);
        }
    }

    assert!(sent <= 2, "{sent} appends were sent");
}

/// An append and all reads got no answer. New callers are told at once that nothing was done; once
/// a read is answered, requests are accepted again.
#[test]
fn an_unresponsive_log_is_reported_until_it_answers() {
    let mut log = responsive_log();
    log.begin_append(at(1_010));
    log.append_ended(at(1_510), at(1_010), false);

    let before = log.is_unresponsive(at(1_600));
    let unresponsive = log.is_unresponsive(at(1_800));
    let again = log.next_send(at(1_800));
    log.read_answered(at(5_000));
    let after = (log.is_unresponsive(at(5_000)), log.next_send(at(5_000)));

    assert!(!before && unresponsive);
    assert!(matches!(again, SendDecision::RetriesOnly(_)));
    assert!(!after.0);
    assert!(matches!(after.1, SendDecision::All(_)));
}

/// A record that arrived during an outage was sent, its outcome was unknown, and its caller could
/// not retry.
#[test]
fn no_new_record_is_sent_while_reads_show_an_outage() {
    let mut log = responsive_log();
    let mut sent = 0;
    let mut queried_at = Vec::new();

    for now in (1_700..4_000).step_by(50) {
        match log.next_send(at(now)) {
            SendDecision::All(_) | SendDecision::RetriesOnly(_) => sent += 1,
            SendDecision::Probe(_) => {
                log.begin_probe(at(now));
                queried_at.push(now);
            }
            SendDecision::Wait => {}
        }
    }
    let unresponsive = log.is_unresponsive(at(2_200));
    log.read_answered(at(4_000));

    assert_eq!((sent, unresponsive), (0, true));
    assert_eq!(queried_at, [1_700, 2_700, 3_700]);
    assert!(!log.is_unresponsive(at(4_000)));
    assert!(matches!(log.next_send(at(4_000)), SendDecision::All(_)));
}

/// A read was lost though the log is available: one query shows that it answers, and the record is
/// sent.
#[test]
fn a_lost_read_rejects_no_request() {
    let mut log = responsive_log();

    let first = log.next_send(at(1_700));
    log.begin_probe(at(1_700));
    let waits = (log.next_send(at(1_720)), log.should_reject(at(1_720), at(1_690)));
    log.read_answered(at(1_730));

    assert!(matches!(first, SendDecision::Probe(_)));
    assert_eq!(waits, (SendDecision::Wait, false));
    assert!(matches!(log.next_send(at(1_730)), SendDecision::All(_)));
}

/// The log answers reads but no appends. One append a second detects the end of that; callers in
/// between are told that nothing was done.
#[test]
fn a_log_that_answers_only_reads_is_probed_with_appends() {
    let mut log = responsive_log();
    log.begin_append(at(1_010));
    log.append_ended(at(1_510), at(1_010), false);
    let mut probes = 0;

    let mut in_flight: Option<u64> = None;
    for now in (1_520..7_500).step_by(20) {
        log.read_answered(at(now));
        if let Some(began) = in_flight.filter(|it| now >= it + 500) {
            log.append_ended(at(now), at(began), false);
            in_flight = None;
        }
        if in_flight.is_none() && matches!(log.next_send(at(now)), SendDecision::All(_)) {
            probes += 1;
            log.begin_append(at(now));
            in_flight = Some(now);
        }
    }

    assert!((4..=8).contains(&probes), "{probes} probes");
}

/// On a slow log a record waits while others are in flight, but not as long as its caller waits.
#[test]
fn a_record_that_was_not_sent_is_rejected_after_1500_ms() {
    let log = responsive_log();

    assert!(!log.should_reject(at(2_400), at(1_000)));
    assert!(log.should_reject(at(2_500), at(1_000)));
}

/// Two fifths of the log's partitions were unresponsive, and records were sent to them because the
/// others answered.
#[test]
fn answers_of_another_partition_do_not_make_a_hanging_partition_responsive() {
    let mut log = responsive_log();
    let mut sent: Vec<u64> = Vec::new();

    for now in (1_000..4_000).step_by(20) {
        log.other_partition_read_answered(at(now), at(0));
        for began in sent.iter().filter(|it| now == **it + 500) {
            log.append_ended(at(now), at(*began), false);
        }
        if let SendDecision::All(_) = log.next_send(at(now)) {
            sent.push(now);
            log.begin_append(at(now));
        }
    }
    let unresponsive = log.is_unresponsive(at(4_000));
    log.read_answered(at(4_010));

    assert!(sent.len() <= 2 && unresponsive, "{sent:?}");
    assert!(!log.is_unresponsive(at(4_010)));
}

/// A lost answer of an append made a partition with few writes count as unresponsive.
#[test]
fn a_lost_answer_of_an_append_rejects_no_request() {
    let mut log = responsive_log();
    log.begin_append(at(1_010));
    log.append_ended(at(1_510), at(1_010), false);
    log.other_partition_read_answered(at(1_500), at(0));

    let query = log.try_probe(at(1_510));
    log.begin_probe(at(1_510));
    let again = log.try_probe(at(1_520));
    log.read_answered(at(1_520));
    log.other_partition_read_answered(at(8_980), at(0));

    assert!(query.is_some() && again.is_none());
    assert!(!log.is_unresponsive(at(9_000)));
    assert!(matches!(log.next_send(at(9_000)), SendDecision::All(_)));
}

/// After an outage of the whole log, an answer of one partition counts for the others. Otherwise
/// each partition would have to be queried before its next caller is served.
#[test]
fn partitions_that_became_unresponsive_together_recover_together() {
    let mut log = responsive_log();
    log.begin_append(at(1_010));
    log.append_ended(at(1_510), at(1_010), false);

    let unresponsive = log.is_unresponsive(at(4_990));
    log.other_partition_read_answered(at(5_000), at(5_000));

    assert!(unresponsive && !log.is_unresponsive(at(5_000)));
    assert!(matches!(log.next_send(at(5_000)), SendDecision::All(_)));
}
