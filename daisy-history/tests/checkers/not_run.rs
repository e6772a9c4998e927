//! Point 5.

use daisy_history::{CallOutcome, EventKind, not_run::check};

use crate::{call_ended, call_sent, history, request_began};

#[test]
fn refuses_a_request_that_runs_after_it_was_said_not_to_have() {
    let bad = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "c", call_ended(1, 1, CallOutcome::NotRun)),
        (3, "b", request_began(1, 1, None)),
        (4, "c", call_sent(1, 2)),
        (5, "c", call_ended(1, 2, CallOutcome::Answered)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn refuses_a_run_of_a_call_that_was_never_admitted_to() {
    let mut nameless = call_ended(1, 1, CallOutcome::NotRun);
    if let EventKind::CallEnded { request, .. } = &mut nameless {
        *request = None;
    }
    let bad = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "b", request_began(1, 1, None)),
        (3, "c", nameless),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_a_denial_beside_another_attempt_that_ran() {
    let good = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "c", call_ended(1, 1, CallOutcome::NotRun)),
        (3, "c", call_sent(1, 2)),
        (4, "b", request_began(1, 2, None)),
        (5, "c", call_ended(1, 2, CallOutcome::Broken)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn an_attempt_that_never_ended_says_nothing() {
    let good = history(&[(1, "c", call_sent(1, 1)), (2, "b", request_began(1, 1, None))]);

    assert!(check(&good).is_empty());
}
