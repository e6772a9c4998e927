//! `why` describes the chain of decisions.

mod common;

use daisy_ledger::Record;
use daisy_model::{DcId, Exit, ExitReport, Incarnation, VmId, WallTime};
use daisy_query::{Error, Reason, Subject, WorkerState, run};

use crate::common::{Fixture, assert_contains, parse_one, render_task};

fn add_decision(fixture: &mut Fixture, subject: Subject, text: &str) {
    let at = WallTime(1_796_256_000_000);
    fixture.live.reasons.push(Reason { at, subject, text: text.into() });
}

#[test]
fn a_running_task_is_described_from_its_declaration_to_its_worker() {
    let mut fixture = Fixture::with_running_task();
    add_decision(
        &mut fixture,
        Subject::Task(render_task(0)),
        "throttled: stock was slowed down by 1.4",
    );
    let table = fixture.query("why task renders/0");
    assert_contains(
        &table,
        &[
            "declared: batch renders of team shop: 3 tasks of cpu 500m memory 1024Mi",
            "generation 3, by rui at 2026-12-03T00:02:00Z: create job renders",
            "ledger: checked out by braga under epoch 4",
            "ledger: incarnation 1 was placed on worker-12",
            "live: incarnation 1 has run on worker-12 for 35s, throttled to 400 thousandths",
            "decision: 2026-12-03T00:00:00Z: throttled: stock was slowed down by 1.4",
        ],
    );
}

#[test]
fn a_waiting_task_is_described_with_what_it_waits_for() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("ana", "pause batch");
    fixture.execute("ana", "quota team shop cpu 500m memory 64Gi");
    add_decision(&mut fixture, Subject::Job(render_task(0).job), "fits nowhere now");
    let table = fixture.query("why task 1/2");
    assert_contains(
        &table,
        &[
            "ledger: waits: no data centre has checked it out",
            "declared: paused by ana at",
            "team shop uses cpu 500m memory 1024Mi accelerators 0 of cpu 500m",
            "one more does not fit",
            "fits nowhere now",
        ],
    );
}

/// A task is evicted, and the holder of its data centre changes. The operator sees which
/// incarnation will resume which checkpoint, and which VM holds the data centre now.
#[test]
fn an_evicted_task_is_described_with_its_checkpoint_and_the_new_holder() {
    let mut fixture = Fixture::with_running_task();
    let epoch = fixture.claim(0, 2);
    let taken_over = fixture.query("why task renders/0");
    let exit = Exit::Checkpointed(77);
    let ended = ExitReport { task: render_task(0), incarnation: Incarnation(1), exit };
    fixture.append(Record::Ended { dc: DcId(0), epoch, exits: vec![ended] });
    let evicted = fixture.query("why task renders/0");
    assert_contains(&taken_over, &["entry-2 took braga over under epoch 7"]);
    assert_contains(&evicted, &["incarnation 2 will resume checkpoint 77"]);
}

/// A worker with a task becomes unreachable. The operator sees why the task is not started
/// elsewhere: it may still run there, and would then run twice.
#[test]
fn a_task_on_a_worker_that_does_not_answer_is_blocked() {
    let mut fixture = Fixture::with_running_task();
    fixture.live.tasks.remove(&render_task(0));
    fixture.live.workers.get_mut(&VmId(12)).expect("a worker").state = WorkerState::Unresponsive;
    let blocked = fixture.query("show tasks where state = blocked");
    assert_eq!(blocked.rows.len(), 1);
    assert_contains(
        &fixture.query("why task renders/0"),
        &["no worker that this process knows reports it", "blocked: worker-12 does not answer"],
    );
}

#[test]
fn a_task_with_an_unknown_outcome_is_not_run_again() {
    let mut fixture = Fixture::with_running_task();
    let epoch = fixture.claim(0, 1);
    let ended =
        ExitReport { task: render_task(0), incarnation: Incarnation(1), exit: Exit::Unknown };
    fixture.append(Record::Ended { dc: DcId(0), epoch, exits: vec![ended] });
    let table = fixture.query("why task renders/0");
    assert_contains(
        &table,
        &[
            "its worker is lost, and whether it did its work is unknown",
            "not declared restartable, so it is not run again",
        ],
    );
}

#[test]
fn jobs_vms_and_request_classes_are_described() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("ana", "drain vm worker-12");
    fixture.execute("ana", "publish policy retry-budget=50");
    let silent = fixture.live.workers.get_mut(&VmId(12)).expect("a worker");
    silent.state = WorkerState::Unresponsive;
    add_decision(
        &mut fixture,
        Subject::RequestClass("stock/keyed".into()),
        "refused: no time left",
    );

    assert_contains(&fixture.query("why job renders"), &["tasks: 2 waiting, 1 out, 0 ended"]);
    assert_contains(
        &fixture.query("why vm worker-12"),
        &["drained by ana at", "tasks recorded there: 1", "does not answer"],
    );
    assert_contains(&fixture.query("why vm entry-1"), &["holds braga under epoch 4"]);
    assert_contains(
        &fixture.query("why request-class stock/keyed"),
        &[
            "service stock of team shop",
            "retries add at most 50 thousandths",
            "published in generation 8, by ana",
            "refused: no time left",
        ],
    );
}

#[test]
fn unknown_subjects_are_errors() {
    let fixture = Fixture::with_running_task();
    let cases = [
        ("why task absent/0", "task absent/0 is unknown, or its job ended long ago"),
        ("why task renders/9", "task renders/9 is unknown, or its job ended long ago"),
        ("why job absent", "job absent is unknown"),
        ("why vm absent", "vm absent is not in the platform's list"),
    ];
    for (source, expected) in cases {
        let error: Error =
            run(&fixture.state, &fixture.live, &parse_one(source)).expect_err("unknown");
        assert_eq!(error.to_string(), expected);
    }
}
