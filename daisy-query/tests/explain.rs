//! What a change would do, without doing it.

mod common;

use daisy_model::VmId;

use crate::common::{Shop, assert_says, worker};

#[test]
fn nothing_is_done() {
    let shop = Shop::open();
    let before = shop.state.clone();
    for change in ["cancel job renders", "drain vm worker-12", "pause batch"] {
        shop.ask(&format!("explain {change}"));
    }
    assert_eq!(shop.state, before);
}

#[test]
fn a_refusal_with_its_cause() {
    let shop = Shop::open();
    let unknown = shop.ask("explain cancel job absent");
    let lost = shop.ask("explain change job renders tasks 5 if generation 2");
    assert_says(&unknown, &["would be refused: job absent is unknown"]);
    assert_says(&lost, &["at generation 3, rui said: create job renders"]);
}

#[test]
fn a_new_job_with_its_quota_and_room() {
    let shop = Shop::open();
    let table = shop.ask("explain create job big team shop tasks 4 cpu 12 memory 8Gi");
    assert_says(
        &table,
        &[
            "would be accepted",
            "4 tasks would wait to start",
            "leaves room for 1 of them now",
            "a task fits on 3 of 3 known workers, on 3 now",
        ],
    );
}

/// A job declares more than any worker holds. The operator learns at once that it could never
/// run, and by how much the nearest worker falls short.
#[test]
fn the_nearest_miss_of_what_fits_nowhere() {
    let mut shop = Shop::open();
    shop.live.workers.insert(VmId(12), worker(18_000));
    let table = shop.ask("explain create job big team shop cpu 20 memory 8Gi");
    assert_says(
        &table,
        &["a task fits on none of 3 known workers; the nearest, worker-12, lacks cpu 2000m"],
    );
}

#[test]
fn tasks_that_a_change_touches() {
    let shop = Shop::open();
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
    for (change, words) in cases {
        assert_says(&shop.ask(&format!("explain {change}")), &[words]);
    }
}
