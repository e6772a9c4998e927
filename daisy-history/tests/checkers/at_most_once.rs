//! Guarantee 6: a non-idempotent request runs at most once.

use daisy_history::at_most_once::check;

use crate::{history, request_began};

#[test]
fn reports_a_key_that_ran_on_two_backend_servers() {
    let bad = history(&[
        (1, "b1", request_began(1, 1, Some("k"))),
        (2, "b2", request_began(1, 2, Some("k"))),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_one_run_per_key_and_any_number_of_runs_without_a_key() {
    let good = history(&[
        (1, "b1", request_began(1, 1, Some("k"))),
        (2, "b1", request_began(2, 1, Some("l"))),
        (3, "b1", request_began(3, 1, None)),
        (4, "b2", request_began(3, 2, None)),
    ]);

    assert!(check(&good).is_empty());
}
