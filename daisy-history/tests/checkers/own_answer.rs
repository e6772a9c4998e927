//! Point 4.

use daisy_history::{CallOutcome, EventKind, own_answer::check};

use crate::{call_ended, call_sent, history, request_began};

#[test]
fn refuses_a_body_that_is_not_the_calls_own() {
    let mut ended = call_ended(1, 1, CallOutcome::Answered);
    if let EventKind::CallEnded { own, .. } = &mut ended {
        *own = false;
    }
    let bad = history(&[(1, "c", call_sent(1, 1)), (2, "c", ended)]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn refuses_an_answer_of_another_calls_run() {
    let mut ended = call_ended(1, 1, CallOutcome::Answered);
    if let EventKind::CallEnded { request, .. } = &mut ended {
        *request = Some("2-1".to_owned());
    }
    let bad = history(&[(1, "b", request_began(2, 1, None)), (2, "c", ended)]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_an_answer_to_its_own_request() {
    let good = history(&[
        (1, "c", call_sent(1, 1)),
        (2, "b", request_began(1, 1, None)),
        (3, "c", call_ended(1, 1, CallOutcome::Answered)),
    ]);

    assert!(check(&good).is_empty());
}
