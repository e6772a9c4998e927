//! `explain` reports the effects of a change without making it.

mod common;

use daisy_model::VmId;

use crate::common::{Fixture, assert_contains, worker};

#[test]
fn explaining_a_change_does_not_make_it() {
    let fixture = Fixture::with_running_task();
    let before = fixture.state.clone();
    for change in ["cancel job renders", "drain vm worker-12", "pause batch"] {
        fixture.query(&format!("explain {change}"));
    }
    assert_eq!(fixture.state, before);
}

#[test]
fn a_rejected_change_is_explained_with_its_cause() {
    let fixture = Fixture::with_running_task();
    let unknown = fixture.query("explain cancel job absent");
    let conflicting = fixture.query("explain change job renders tasks 5 if generation 2");
    assert_contains(&unknown, &["would be refused: job absent is unknown"]);
    assert_contains(&conflicting, &["at generation 3, rui said: create job renders"]);
}

#[test]
fn a_new_job_is_explained_with_its_quota_and_the_free_capacity() {
    let fixture = Fixture::with_running_task();
    let table = fixture.query("explain create job big team shop tasks 4 cpu 12 memory 8Gi");
    assert_contains(
        &table,
        &[
            "would be accepted",
            "4 tasks would wait to start",
            "allows 1 of them to start now",
            "a task fits on 3 of 3 known workers, on 3 now",
        ],
    );
}

/// A job declares more resources than any worker has. The operator learns at once that it can
/// never run, and how much the most suitable worker lacks.
#[test]
fn a_job_that_fits_on_no_worker_is_explained_with_the_smallest_shortfall() {
    let mut fixture = Fixture::with_running_task();
    fixture.live.workers.insert(VmId(12), worker(18_000));
    let table = fixture.query("explain create job big team shop cpu 20 memory 8Gi");
    assert_contains(
        &table,
        &["a task fits on none of 3 known workers; the nearest, worker-12, lacks cpu 2000m"],
    );
}

#[test]
fn each_kind_of_change_is_explained_with_its_effects() {
    let fixture = Fixture::with_running_task();
    let cases = [
        ("cancel job renders", "2 waiting tasks would never start"),
        ("cancel job renders", "1 running task would be stopped"),
        ("drain vm worker-12", "1 task would be evicted and resumed elsewhere"),
        ("drain vm worker-99", "worker-99 is not in the platform's list"),
        ("pause batch", "2 waiting tasks would go on waiting"),
        ("pause priority normal", "1 running task would go on running"),
        ("change job renders tasks 1", "tasks: from 3 to 1"),
        ("change job renders tasks 1", "last changed in generation 3, by rui"),
        ("change job renders cpu 1 memory 1Gi", "1 running task would keep the old size"),
        ("quota team shop cpu 100m memory 1Gi", "none starts until the team is below its quota"),
        ("quota team new cpu 1 memory 1Gi", "new would be created"),
        ("publish policy tail=500", "tail: from 800 to 500"),
    ];
    for (change, effect) in cases {
        assert_contains(&fixture.query(&format!("explain {change}")), &[effect]);
    }
}
