//! Guarantee 9, for concurrent operators: their changes are linearizable.

use daisy_history::{ChangeOutcome, EventKind, generation::check};

use crate::history;

fn sent(change: u64, expected: u64) -> EventKind {
    EventKind::ChangeSent { change, expected: Some(expected) }
}

fn ended(change: u64, verdict: ChangeOutcome) -> EventKind {
    EventKind::ChangeEnded { change, verdict }
}

#[test]
fn reports_two_accepted_changes_that_expected_the_same_generation() {
    let bad = history(&[
        (1, "a", sent(1, 5)),
        (1, "b", sent(2, 5)),
        (2, "a", ended(1, ChangeOutcome::Accepted(6))),
        (3, "b", ended(2, ChangeOutcome::Accepted(7))),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn reports_a_refused_change_without_another_one_that_was_accepted() {
    let bad = history(&[
        (1, "a", sent(1, 5)),
        (2, "a", ended(1, ChangeOutcome::Accepted(6))),
        (3, "a", sent(2, 6)),
        (4, "a", ended(2, ChangeOutcome::Refused)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_one_accepted_change_per_generation() {
    let good = history(&[
        (1, "a", sent(1, 5)),
        (1, "b", sent(2, 5)),
        (2, "b", ended(2, ChangeOutcome::Accepted(6))),
        (3, "a", ended(1, ChangeOutcome::Refused)),
        (4, "a", sent(3, 6)),
        (5, "a", ended(3, ChangeOutcome::Accepted(9))),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn a_change_without_an_answer_may_have_taken_effect() {
    let good = history(&[
        (1, "a", sent(1, 5)),
        (2, "a", ended(1, ChangeOutcome::Accepted(6))),
        (3, "a", sent(2, 6)),
        (4, "a", ended(2, ChangeOutcome::Unknown)),
        (5, "b", sent(3, 6)),
        (6, "b", ended(3, ChangeOutcome::Refused)),
        (7, "b", sent(4, 8)),
        (8, "b", ended(4, ChangeOutcome::Accepted(9))),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn accepts_a_history_without_changes() {
    assert!(check(&history(&[])).is_empty());
}
