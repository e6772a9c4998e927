//! A worker's reports of changes make up its whole report.

use daisy_model::{
    Ended, Epoch, Exit, Incarnation, JobId, Order, OrderResult, Resources, Running, TaskId,
    WorkerReport,
};
use daisy_wire::{
    report_merger::ReportMerger,
    worker::{ReportJson, ReportVersionJson},
};

const FIRST: Incarnation = Incarnation(1);

fn task(index: u32) -> TaskId {
    TaskId { job: JobId(0), index }
}

fn running(index: u32) -> Running {
    Running { task: task(index), incarnation: FIRST, size: Resources::ZERO, share: 1000 }
}

fn ended(index: u32) -> Ended {
    Ended { task: task(index), incarnation: FIRST, exit: Exit::Done }
}

fn report(boot: u64, since: Option<u64>, version: u64) -> ReportJson {
    let whole = WorkerReport {
        epoch: Epoch(1),
        accepted: true,
        capacity: Resources { cpu_milli: 1000, ..Resources::ZERO },
        results: Vec::new(),
        running: Vec::new(),
        ended: Vec::new(),
        usage: Vec::new(),
    };
    let now = Some(ReportVersionJson { boot, version });
    let capacity = since.is_none().then_some(whole.capacity.into());
    ReportJson { now, since, capacity, ..ReportJson::from(whole) }
}

fn with(report: ReportJson, running: Vec<Running>, ended: Vec<Ended>) -> ReportJson {
    let lists = WorkerReport { running, ended, ..WorkerReport::from(report.clone()) };
    let ReportJson { running, ended, .. } = ReportJson::from(lists);
    ReportJson { running, ended, ..report }
}

fn indices(report: &WorkerReport) -> (Vec<u32>, Vec<u32>) {
    let running = report.running.iter().map(|it| it.task.index).collect();
    let ended = report.ended.iter().map(|it| it.task.index).collect();
    (running, ended)
}

#[test]
fn changes_add_up_to_the_whole_report() {
    let mut report_merger = ReportMerger::new();
    report_merger.take(&[], with(report(7, None, 3), vec![running(0), running(1)], vec![]));

    let changes = with(report(7, Some(3), 5), vec![running(2)], vec![ended(0)]);
    let whole = report_merger.take(&[], changes).expect("the changes follow");

    assert_eq!(indices(&whole), (vec![1, 2], vec![0]));
    assert_eq!(whole.capacity.cpu_milli, 1000);
    assert_eq!(report_merger.seen(), Some(ReportVersionJson { boot: 7, version: 5 }));
}

#[test]
fn an_acknowledged_exit_report_is_gone() {
    let mut report_merger = ReportMerger::new();
    report_merger.take(&[], with(report(7, None, 3), vec![], vec![ended(0), ended(1)]));
    let order = Order::Acknowledge { task: task(0), incarnation: FIRST };

    let lists = WorkerReport {
        results: vec![OrderResult::Done],
        ..WorkerReport::from(report(7, Some(3), 4))
    };
    let answer = ReportJson { results: ReportJson::from(lists).results, ..report(7, Some(3), 4) };
    let whole = report_merger.take(&[order], answer).expect("the changes follow");

    assert_eq!(indices(&whole), (vec![], vec![1]));
}

/// A worker's agent starts anew; its versions begin again and one of them happens to be the
/// one that the holder has seen. Without the agent's number the holder would add the changes
/// to what ran before the start, and go on holding room for tasks that are gone.
#[test]
fn changes_of_an_agent_that_started_anew_are_refused_until_it_tells_everything() {
    let mut report_merger = ReportMerger::new();
    report_merger.take(&[], with(report(7, None, 3), vec![running(0)], vec![]));

    let refused = report_merger.take(&[], with(report(8, Some(3), 4), vec![running(1)], vec![]));

    assert_eq!(refused, None);
    assert_eq!(report_merger.seen(), None);
    let whole = report_merger.take(&[], with(report(8, None, 5), vec![running(1)], vec![]));
    assert_eq!(indices(&whole.expect("everything")), (vec![1], vec![]));
}

/// Two calls cross: the answer to the earlier one arrives last and tells of a task that has
/// ended since. Taken in, it would bring the task back.
#[test]
fn an_older_report_does_not_bring_back_what_has_ended() {
    let mut report_merger = ReportMerger::new();
    report_merger.take(&[], with(report(7, None, 3), vec![running(0)], vec![]));
    report_merger.take(&[], with(report(7, Some(3), 6), vec![], vec![ended(0)]));

    let refused = report_merger.take(&[], with(report(7, Some(3), 5), vec![running(0)], vec![]));

    assert_eq!(refused, None);
}
