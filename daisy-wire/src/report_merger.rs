//! Merges a worker's incremental reports into full reports.
//!
//! With 33 tasks per worker a full report is 3.5 KB, and a holder of 130 workers may use 2 KB
//! per second for all of them (the users' plan). A worker therefore sends a full report once
//! and then only what has changed. The placement code still reads full reports, which the
//! [`ReportMerger`] creates.

use daisy_model::{
    ExitReport, Incarnation, Order, OrderResult, Resources, RunningTask, SortedMap, TaskId,
    WorkerReport,
};

use crate::worker::{ReportJson, ReportVersionJson};

/// The last known state of one worker, built from its reports.
#[derive(Debug, Clone, Default)]
pub struct ReportMerger {
    seen: Option<ReportVersionJson>,
    capacity: Resources,
    running: SortedMap<(TaskId, Incarnation), RunningTask>,
    ended: SortedMap<(TaskId, Incarnation), ExitReport>,
}

impl ReportMerger {
    /// Creates a merger that has received no report yet.
    pub fn new() -> ReportMerger {
        ReportMerger::default()
    }

    /// Returns the version to send as last seen in the next call; `None` requests a full report.
    pub fn seen(&self) -> Option<ReportVersionJson> {
        self.seen
    }

    /// Merges a report that answers `orders`, and returns the worker's full report.
    ///
    /// Returns `None` if the report's changes do not follow the last version seen, for example
    /// because the worker's agent has restarted. The next call then requests a full report.
    pub fn merge(&mut self, orders: &[Order], report: ReportJson) -> Option<WorkerReport> {
        let (now, since) = (report.now, report.since);
        let report = WorkerReport::from(report);
        if !report.accepted {
            return Some(report);
        }
        match since {
            None => self.replace(&report),
            Some(since) if self.is_successor(since, now) => self.apply_changes(&report),
            Some(_) => {
                self.seen = None;
                return None;
            }
        }
        self.seen = now;
        self.remove_acknowledged(orders, &report.results);
        Some(WorkerReport {
            capacity: self.capacity,
            running: self.running.iter().map(|(_, it)| *it).collect(),
            ended: self.ended.iter().map(|(_, it)| *it).collect(),
            ..report
        })
    }

    fn is_successor(&self, since: u64, now: Option<ReportVersionJson>) -> bool {
        let (Some(seen), Some(now)) = (self.seen, now) else { return false };
        seen.boot == now.boot && since <= seen.version && seen.version <= now.version
    }

    fn replace(&mut self, report: &WorkerReport) {
        self.capacity = report.capacity;
        self.running = report.running.iter().map(|it| ((it.task, it.incarnation), *it)).collect();
        self.ended = report.ended.iter().map(|it| ((it.task, it.incarnation), *it)).collect();
    }

    fn apply_changes(&mut self, report: &WorkerReport) {
        for it in &report.running {
            self.running.insert((it.task, it.incarnation), *it);
        }
        for it in &report.ended {
            let key = (it.task, it.incarnation);
            self.running.remove(&key);
            self.ended.insert(key, *it);
        }
    }

    /// Removes acknowledged exit reports: the worker has dropped them, and does not report that.
    fn remove_acknowledged(&mut self, orders: &[Order], results: &[OrderResult]) {
        for order in orders.iter().take(results.len()) {
            if let Order::Acknowledge { task, incarnation } = order {
                self.ended.remove(&(*task, *incarnation));
            }
        }
    }
}
