//! A worker's incremental reports are merged into its full report.

use daisy_model::{
    Epoch, Exit, ExitReport, Incarnation, JobId, Order, OrderResult, Resources, RunningTask,
    TaskId, WorkerReport,
};
use daisy_wire::{
    report_merger::ReportMerger,
    worker::{ReportJson, ReportVersionJson},
};

const FIRST: Incarnation = Incarnation(1);

fn task(index: u32) -> TaskId {
    TaskId { job: JobId(0), index }
}

fn running(index: u32) -> RunningTask {
    RunningTask { task: task(index), incarnation: FIRST, size: Resources::ZERO, share: 1000 }
}

fn ended(index: u32) -> ExitReport {
    ExitReport { task: task(index), incarnation: FIRST, exit: Exit::Done }
}

fn report(boot: u64, since: Option<u64>, version: u64) -> ReportJson {
    let full = WorkerReport {
        epoch: Epoch(1),
        accepted: true,
        capacity: Resources { cpu_milli: 1000, ..Resources::ZERO },
        results: Vec::new(),
        running: Vec::new(),
        ended: Vec::new(),
        usage: Vec::new(),
    };
    let now = Some(ReportVersionJson { boot, version });
    let capacity = since.is_none().then_some(full.capacity.into());
    ReportJson { now, since, capacity, ..ReportJson::from(full) }
}

fn with_tasks(report: ReportJson, running: Vec<RunningTask>, ended: Vec<ExitReport>) -> ReportJson {
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
fn changes_are_merged_into_the_full_report() {
    let mut report_merger = ReportMerger::new();
    report_merger.merge(&[], with_tasks(report(7, None, 3), vec![running(0), running(1)], vec![]));

    let changes = with_tasks(report(7, Some(3), 5), vec![running(2)], vec![ended(0)]);
    let full = report_merger.merge(&[], changes).expect("the changes follow");

    assert_eq!(indices(&full), (vec![1, 2], vec![0]));
    assert_eq!(full.capacity.cpu_milli, 1000);
    assert_eq!(report_merger.seen(), Some(ReportVersionJson { boot: 7, version: 5 }));
}

#[test]
fn an_acknowledged_exit_report_is_removed() {
    let mut report_merger = ReportMerger::new();
    report_merger.merge(&[], with_tasks(report(7, None, 3), vec![], vec![ended(0), ended(1)]));
    let order = Order::Acknowledge { task: task(0), incarnation: FIRST };

    let lists = WorkerReport {
        results: vec![OrderResult::Done],
        ..WorkerReport::from(report(7, Some(3), 4))
    };
    let answer = ReportJson { results: ReportJson::from(lists).results, ..report(7, Some(3), 4) };
    let full = report_merger.merge(&[order], answer).expect("the changes follow");

    assert_eq!(indices(&full), (vec![], vec![1]));
}

/// A worker's agent restarts. Its versions start again, and one of them happens to equal the last
/// one that the holder has seen. Without the agent's `boot` number the holder would apply the
/// changes to the list from before the restart, and keep capacity allocated to tasks that no
/// longer exist.
#[test]
fn changes_of_a_restarted_agent_are_rejected_until_it_sends_a_full_report() {
    let mut report_merger = ReportMerger::new();
    report_merger.merge(&[], with_tasks(report(7, None, 3), vec![running(0)], vec![]));

    let rejected =
        report_merger.merge(&[], with_tasks(report(8, Some(3), 4), vec![running(1)], vec![]));

    assert_eq!(rejected, None);
    assert_eq!(report_merger.seen(), None);
    let full = report_merger.merge(&[], with_tasks(report(8, None, 5), vec![running(1)], vec![]));
    assert_eq!(indices(&full.expect("a full report")), (vec![1], vec![]));
}

/// The responses to two calls arrive in the wrong order: the earlier one arrives last and lists a
/// task that has ended since. If it were merged, the task would be listed as running again.
#[test]
fn an_older_report_does_not_bring_back_an_ended_task() {
    let mut report_merger = ReportMerger::new();
    report_merger.merge(&[], with_tasks(report(7, None, 3), vec![running(0)], vec![]));
    report_merger.merge(&[], with_tasks(report(7, Some(3), 6), vec![], vec![ended(0)]));

    let rejected =
        report_merger.merge(&[], with_tasks(report(7, Some(3), 5), vec![running(0)], vec![]));

    assert_eq!(rejected, None);
}
