//! What a worker has told so far, kept up by its reports of changes.
//!
//! At 33 tasks a worker a whole report is 3.5 KB, and a holder of 130 workers may spend
//! 2 KB a second on all of them (the users' plan): a worker therefore tells everything once
//! and then what has changed. What decides still reads whole reports; the mirror makes them.

use daisy_model::{
    Ended, Incarnation, Order, OrderResult, Resources, Running, SortedMap, TaskId, WorkerReport,
};

use crate::worker::{ReportJson, ReportVersionJson};

/// What one worker has told.
#[derive(Debug, Clone, Default)]
pub struct ReportMerger {
    seen: Option<ReportVersionJson>,
    capacity: Resources,
    running: SortedMap<(TaskId, Incarnation), Running>,
    ended: SortedMap<(TaskId, Incarnation), Ended>,
}

impl ReportMerger {
    /// Nothing was told yet.
    pub fn new() -> ReportMerger {
        ReportMerger::default()
    }

    /// What the next call says it has seen; `None` asks for everything.
    pub fn seen(&self) -> Option<ReportVersionJson> {
        self.seen
    }

    /// Takes a report in that answers `orders`, and gives the worker's whole report.
    ///
    /// `None` if the report's changes do not follow what was seen, which a worker's agent that
    /// started anew can bring about: the next call asks for everything.
    pub fn take(&mut self, orders: &[Order], report: ReportJson) -> Option<WorkerReport> {
        let (now, since) = (report.now, report.since);
        let told = WorkerReport::from(report);
        if !told.accepted {
            return Some(told);
        }
        match since {
            None => self.replace(&told),
            Some(since) if self.follows(since, now) => self.change(&told),
            Some(_) => {
                self.seen = None;
                return None;
            }
        }
        self.seen = now;
        self.forget_acknowledged(orders, &told.results);
        Some(WorkerReport {
            capacity: self.capacity,
            running: self.running.iter().map(|(_, it)| *it).collect(),
            ended: self.ended.iter().map(|(_, it)| *it).collect(),
            ..told
        })
    }

    fn follows(&self, since: u64, now: Option<ReportVersionJson>) -> bool {
        let (Some(seen), Some(now)) = (self.seen, now) else { return false };
        seen.boot == now.boot && since <= seen.version && seen.version <= now.version
    }

    fn replace(&mut self, told: &WorkerReport) {
        self.capacity = told.capacity;
        self.running = told.running.iter().map(|it| ((it.task, it.incarnation), *it)).collect();
        self.ended = told.ended.iter().map(|it| ((it.task, it.incarnation), *it)).collect();
    }

    fn change(&mut self, told: &WorkerReport) {
        for it in &told.running {
            self.running.insert((it.task, it.incarnation), *it);
        }
        for it in &told.ended {
            let key = (it.task, it.incarnation);
            self.running.remove(&key);
            self.ended.insert(key, *it);
        }
    }

    /// An acknowledged exit report is gone at the worker, which does not tell that again.
    fn forget_acknowledged(&mut self, orders: &[Order], results: &[OrderResult]) {
        for order in orders.iter().take(results.len()) {
            if let Order::Acknowledge { task, incarnation } = order {
                self.ended.remove(&(*task, *incarnation));
            }
        }
    }
}
