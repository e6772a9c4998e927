//! Guarantee 4: every caller receives the complete answer to its own request.

use daisy_history::{CallOutcome, EventKind, own_answer::check};

use crate::{call_ended, call_sent, history, request_began};

#[test]
fn reports_a_body_that_does_not_belong_to_the_call() {
    let mut ended = call_ended(1, 1, CallOutcome::Answered);
    if let EventKind::CallEnded { own, .. } = &mut ended {
        *own = false;
    }
    let bad = history(&[(1, "c", call_sent(1, 1)), (2, "c", ended)]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn reports_an_answer_from_the_run_of_another_call() {
    let mut ended = call_ended(1, 1, CallOutcome::Answered);
    if let EventKind::CallEnded { request, .. } = &mut ended {
        *request = Some("2-1".to_owned());
    }
    let bad = history(&[(1, "b", request_began(2, 1, None)), (2, "c", ended)]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_the_answer_to_the_callers_own_request() {
    let good = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "b", request_began(1, 1, None)),
        (3, "c", call_ended(1, 1, CallOutcome::Answered)),
    ]);

    assert!(check(&good).is_empty());
}
