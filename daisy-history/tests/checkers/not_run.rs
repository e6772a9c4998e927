//! Guarantee 5: a request that is reported as not run was not run.

use daisy_history::{CallOutcome, EventKind, not_run::check};

use crate::{call_ended, call_sent, history, request_began};

#[test]
fn reports_a_request_that_runs_after_it_was_reported_as_not_run() {
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
fn reports_a_run_of_a_call_whose_every_attempt_was_reported_as_not_run() {
    let mut without_request_id = call_ended(1, 1, CallOutcome::NotRun);
    if let EventKind::CallEnded { request, .. } = &mut without_request_id {
        *request = None;
    }
    let bad = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "b", request_began(1, 1, None)),
        (3, "c", without_request_id),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_a_not_run_attempt_of_a_call_with_another_attempt_that_ran() {
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
fn a_call_with_an_unfinished_attempt_may_have_run() {
    let good = history(&[(1, "c", call_sent(1, 1)), (2, "b", request_began(1, 1, None))]);

    assert!(check(&good).is_empty());
}
