//! Point 9, one process after the other.

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

fn shows(version: u64) -> EventKind {
    EventKind::ConfigInForce { version }
}

#[test]
fn refuses_a_version_that_reverts() {
    let bad = history(&[(1, "e", shows(2)), (2, "e", shows(1))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn refuses_a_process_that_is_late() {
    let bad = history(&[(0, "o", accepted(2)), (5_000_001, "e", shows(1))]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn refuses_a_process_that_is_late_after_it_was_healed() {
    let bad = history(&[
        (0, "o", accepted(2)),
        (1, "e", EventKind::CutOff),
        (9_000_000, "e", EventKind::Healed),
        (15_000_000, "e", shows(1)),
    ]);

    assert_eq!(check(&bad, &OPTIONS).len(), 1);
}

#[test]
fn accepts_a_cut_off_process_until_its_time_after_the_heal() {
    let good = history(&[
        (0, "o", accepted(2)),
        (1, "e", EventKind::CutOff),
        (8_000_000, "e", shows(1)),
        (9_000_000, "e", EventKind::Healed),
        (13_000_000, "e", shows(1)),
        (14_000_000, "e", shows(2)),
    ]);

    assert!(check(&good, &OPTIONS).is_empty());
}
