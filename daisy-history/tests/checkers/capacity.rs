//! Guarantee 1: no VM is given more work than its capacity.

use daisy_history::{EventKind, Run, RunEnd, capacity::check};

use crate::{cores, history, started};

const A: Run = Run { job: 1, index: 0, incarnation: 1 };
const B: Run = Run { job: 2, index: 0, incarnation: 1 };

fn worker_began() -> EventKind {
    EventKind::WorkerBegan { capacity: cores(1) }
}

fn done(run: Run) -> EventKind {
    EventKind::TaskEnded { run, end: RunEnd::Done }
}

#[test]
fn reports_two_tasks_on_a_worker_with_capacity_for_one() {
    let bad = history(&[
        (0, "w", worker_began()),
        (1, "w", started(A, None)),
        (2, "w", started(B, None)),
    ]);

    let violations = check(&bad);

    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].events.len(), 2);
}

#[test]
fn accepts_a_task_that_starts_at_the_instant_at_which_the_one_before_ends() {
    let good = history(&[
        (0, "w", worker_began()),
        (1, "w", started(A, None)),
        (2, "w", done(A)),
        (2, "w", started(B, None)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn accepts_a_new_task_after_the_worker_restarted() {
    let good = history(&[
        (0, "w", worker_began()),
        (1, "w", started(A, None)),
        (2, "w", worker_began()),
        (3, "w", started(B, None)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn reports_a_task_on_a_worker_of_unknown_capacity() {
    let bad = history(&[(1, "w", started(A, None))]);

    assert_eq!(check(&bad).len(), 1);
}
