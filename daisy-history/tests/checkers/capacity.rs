//! Point 1.

use daisy_history::{EventKind, Run, RunEnd, capacity::check};

use crate::{cores, history, started};

const A: Run = Run { job: 1, index: 0, incarnation: 1 };
const B: Run = Run { job: 2, index: 0, incarnation: 1 };

fn began() -> EventKind {
    EventKind::WorkerBegan { capacity: cores(1) }
}

fn done(run: Run) -> EventKind {
    EventKind::TaskEnded { run, end: RunEnd::Done }
}

#[test]
fn refuses_two_tasks_where_one_fits() {
    let bad = history(&[(0, "w", began()), (1, "w", started(A, None)), (2, "w", started(B, None))]);

    let violations = check(&bad);

    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].events.len(), 2);
}

#[test]
fn accepts_one_after_the_other_also_at_the_same_instant() {
    let good = history(&[
        (0, "w", began()),
        (1, "w", started(A, None)),
        (2, "w", done(A)),
        (2, "w", started(B, None)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn accepts_a_worker_that_began_anew() {
    let good = history(&[
        (0, "w", began()),
        (1, "w", started(A, None)),
        (2, "w", began()),
        (3, "w", started(B, None)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn refuses_a_worker_of_unknown_capacity() {
    let bad = history(&[(1, "w", started(A, None))]);

    assert_eq!(check(&bad).len(), 1);
}
