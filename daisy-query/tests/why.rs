//! The chain of decisions in words.

mod common;

use daisy_ledger::Record;
use daisy_model::{DcId, Ended, Exit, Incarnation, VmId, WallTime};
use daisy_query::{Error, Reason, Subject, WorkerState, run};

use crate::common::{Shop, assert_says, one, renders};

fn decided(shop: &mut Shop, subject: Subject, text: &str) {
    let at = WallTime(1_796_256_000_000);
    shop.live.reasons.push(Reason { at, subject, text: text.into() });
}

#[test]
fn a_running_task_from_declaration_to_worker() {
    let mut shop = Shop::open();
    decided(&mut shop, Subject::Task(renders(0)), "throttled: stock was slowed down by 1.4");
    let table = shop.ask("why task renders/0");
    assert_says(
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
fn a_waiting_task_with_what_holds_it_up() {
    let mut shop = Shop::open();
    shop.say("ana", "pause batch");
    shop.say("ana", "quota team shop cpu 500m memory 64Gi");
    decided(&mut shop, Subject::Job(renders(0).job), "fits nowhere now");
    let table = shop.ask("why task 1/2");
    assert_says(
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

/// A task was evicted and its job's holder changed. The operator sees which incarnation will
/// resume which checkpoint, and who holds the data centre now.
#[test]
fn an_evicted_task_and_a_change_of_holder() {
    let mut shop = Shop::open();
    let epoch = shop.claim(0, 2);
    let taken_over = shop.ask("why task renders/0");
    let exit = Exit::Checkpointed(77);
    let ended = Ended { task: renders(0), incarnation: Incarnation(1), exit };
    shop.append(Record::Ended { dc: DcId(0), epoch, exits: vec![ended] });
    let evicted = shop.ask("why task renders/0");
    assert_says(&taken_over, &["entry-2 took braga over under epoch 7"]);
    assert_says(&evicted, &["incarnation 2 will resume checkpoint 77"]);
}

/// A worker is cut off with a task on it. The operator sees why the task is not started
/// elsewhere: it may still run there, and would then run in two places.
#[test]
fn a_task_on_a_silent_worker_is_blocked() {
    let mut shop = Shop::open();
    shop.live.tasks.remove(&renders(0));
    shop.live.workers.get_mut(&VmId(12)).expect("a worker").state = WorkerState::Silent;
    let blocked = shop.ask("show tasks where state = blocked");
    assert_eq!(blocked.rows.len(), 1);
    assert_says(
        &shop.ask("why task renders/0"),
        &["no worker that this process knows reports it", "blocked: worker-12 does not answer"],
    );
}

#[test]
fn a_task_of_unknown_fate_is_not_run_again() {
    let mut shop = Shop::open();
    let epoch = shop.claim(0, 1);
    let ended = Ended { task: renders(0), incarnation: Incarnation(1), exit: Exit::Unknown };
    shop.append(Record::Ended { dc: DcId(0), epoch, exits: vec![ended] });
    let table = shop.ask("why task renders/0");
    assert_says(
        &table,
        &[
            "its worker is gone, and whether it did its work is unknown",
            "not declared restartable, so it is not run again",
        ],
    );
}

#[test]
fn jobs_vms_and_request_classes() {
    let mut shop = Shop::open();
    shop.say("ana", "drain vm worker-12");
    shop.say("ana", "publish policy retry-budget=50");
    let silent = shop.live.workers.get_mut(&VmId(12)).expect("a worker");
    silent.state = WorkerState::Silent;
    decided(&mut shop, Subject::RequestClass("stock/keyed".into()), "refused: no time left");

    assert_says(&shop.ask("why job renders"), &["tasks: 2 waiting, 1 out, 0 ended"]);
    assert_says(
        &shop.ask("why vm worker-12"),
        &["drained by ana at", "tasks recorded there: 1", "does not answer"],
    );
    assert_says(&shop.ask("why vm entry-1"), &["holds braga under epoch 4"]);
    assert_says(
        &shop.ask("why request-class stock/keyed"),
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
    let shop = Shop::open();
    let cases = [
        ("why task absent/0", "task absent/0 is unknown, or its job ended long ago"),
        ("why task renders/9", "task renders/9 is unknown, or its job ended long ago"),
        ("why job absent", "job absent is unknown"),
        ("why vm absent", "vm absent is not in the platform's list"),
    ];
    for (source, expected) in cases {
        let error: Error = run(&shop.state, &shop.live, &one(source)).expect_err("unknown");
        assert_eq!(error.to_string(), expected);
    }
}
