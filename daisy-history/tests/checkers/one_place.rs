//! Point 2.

use daisy_history::{EventKind, RunEnd, one_place::check};

use crate::{cores, history, run, started};

fn ended(incarnation: u32, end: RunEnd) -> EventKind {
    EventKind::TaskEnded { run: run(incarnation), end }
}

#[test]
fn refuses_a_task_that_runs_on_two_workers() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w2", started(run(2), None)),
        (3, "w1", ended(1, RunEnd::Stopped)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn an_end_that_was_never_recorded_lies_at_the_end_of_time() {
    let bad = history(&[(1, "w1", started(run(1), None)), (9, "w2", started(run(2), None))]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn refuses_an_incarnation_that_is_started_twice() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::LeaseLapsed)),
        (3, "w2", started(run(1), None)),
    ]);

    assert_eq!(check(&bad)[0].what, "an incarnation is started twice");
}

#[test]
fn refuses_a_task_that_runs_again_after_it_was_done() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::Done)),
        (3, "w2", started(run(2), None)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_a_restart_after_the_lease_lapsed_at_the_same_instant() {
    let good = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::LeaseLapsed)),
        (2, "w2", started(run(2), None)),
        (3, "w2", ended(2, RunEnd::Done)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn accepts_a_restart_after_the_worker_was_killed_or_began_anew() {
    let began = EventKind::WorkerBegan { capacity: cores(1) };
    let good = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", EventKind::Killed { entry: None }),
        (3, "w2", started(run(2), None)),
        (4, "w2", began),
        (5, "w3", started(run(3), None)),
    ]);

    assert!(check(&good).is_empty());
}
