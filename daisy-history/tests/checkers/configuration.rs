//! Guarantee 9, for each process: an accepted configuration is in force in time and never reverts.

use std::time::Duration;

use daisy_history::{
    EventKind,
    configuration::{Options, check},
};

use crate::history;

const OPTIONS: Options = Options { time_limit: Duration::from_secs(5) };

fn accepted(version: u64) -> EventKind {
    EventKind::ConfigAccepted { version }
}

fn in_force(version: u64) -> EventKind {
    EventKind::ConfigInForce { version }
}

#[test]
fn reports_a_version_that_reverts() {
    let bad = history(&[(1, "e", in_force(2)), (2, "e", in_force(1))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn reports_a_process_with_an_outdated_version_after_the_time_limit() {
    let bad = history(&[(0, "o", accepted(2)), (5_000_001, "e", in_force(1))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn reports_a_process_with_an_outdated_version_after_the_time_limit_from_its_healing() {
    let bad = history(&[
        (0, "o", accepted(2)),
        (1, "e", EventKind::CutOff),
        (9_000_000, "e", EventKind::Healed),
        (15_000_000, "e", in_force(1)),
    ]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn accepts_an_outdated_version_of_a_cut_off_process_until_the_time_limit_from_its_healing() {
    let good = history(&[
        (0, "o", accepted(2)),
        (1, "e", EventKind::CutOff),
        (8_000_000, "e", in_force(1)),
        (9_000_000, "e", EventKind::Healed),
        (13_000_000, "e", in_force(1)),
        (14_000_000, "e", in_force(2)),
    ]);

    assert!(check(&good, &OPTIONS).is_empty());
}
