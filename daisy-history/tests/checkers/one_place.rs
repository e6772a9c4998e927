//! Guarantee 2: no task runs in two places at once, or again after it is done.

use daisy_history::{EventKind, RunEnd, one_place::check};

use crate::{cores, history, run, started};

fn ended(incarnation: u32, end: RunEnd) -> EventKind {
    EventKind::TaskEnded { run: run(incarnation), end }
}

#[test]
fn reports_a_task_that_runs_on_two_workers_at_once() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w2", started(run(2), None)),
        (3, "w1", ended(1, RunEnd::Stopped)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn an_incarnation_without_a_recorded_end_is_assumed_to_run_forever() {
    let bad = history(&[(1, "w1", started(run(1), None)), (9, "w2", started(run(2), None))]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn reports_an_incarnation_that_is_started_twice() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::LeaseLapsed)),
        (3, "w2", started(run(1), None)),
    ]);

    assert_eq!(check(&bad)[0].what, "an incarnation is started twice");
}

#[test]
fn reports_a_task_that_runs_again_after_it_was_done() {
    let bad = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::Done)),
        (3, "w2", started(run(2), None)),
    ]);

    assert_eq!(check(&bad).len(), 1);
}

#[test]
fn accepts_a_restart_at_the_instant_at_which_the_lease_expired() {
    let good = history(&[
        (1, "w1", started(run(1), None)),
        (2, "w1", ended(1, RunEnd::LeaseLapsed)),
        (2, "w2", started(run(2), None)),
        (3, "w2", ended(2, RunEnd::Done)),
    ]);

    assert!(check(&good).is_empty());
}

#[test]
fn accepts_a_restart_after_the_worker_was_killed_or_restarted() {
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
