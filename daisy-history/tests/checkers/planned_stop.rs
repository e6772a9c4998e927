//! Guarantee 8: a planned stop cuts off no request in flight.

use daisy_history::{CallOutcome, EventKind, planned_stop::check};

use crate::{call_ended, call_sent, history};

fn entry() -> Option<String> {
    Some("1.1.1.1:1".to_owned())
}

#[test]
fn reports_a_request_that_a_planned_stop_cut_off() {
    for outcome in [CallOutcome::Broken, CallOutcome::Unknown, CallOutcome::Unreachable] {
        let bad = history(&[
            (1, "c", call_sent(1, 1)),
            (2, "e", EventKind::Stopping { entry: entry() }),
            (3, "c", call_ended(1, 1, outcome)),
        ]);

        assert_eq!(check(&bad).len(), 1, "{outcome:?}");
    }
}

#[test]
fn accepts_answers_and_refusals_during_a_stop() {
    let good = history(&[
        (1, "c", call_sent(1, 1)),
        (1, "c", call_sent(2, 1)),
        (2, "e", EventKind::Stopping { entry: entry() }),
        (3, "c", call_ended(1, 1, CallOutcome::Answered)),
        (4, "c", call_ended(2, 1, CallOutcome::NotRun)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn a_request_cut_off_by_a_kill_does_not_violate_the_guarantee() {
    let good = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "e", EventKind::Stopping { entry: entry() }),
        (3, "e", EventKind::Killed { entry: entry() }),
        (4, "c", call_ended(1, 1, CallOutcome::Broken)),
    ]);

    assert!(check(&good).is_empty());
}
