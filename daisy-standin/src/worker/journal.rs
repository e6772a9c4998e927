//! Tracks what has changed since a worker's earlier reports, so that a report can be reduced to the
//! changes.

use daisy_model::{Incarnation, Resources, SortedMap, TaskId, Usage, WorkerReport};
use daisy_wire::worker::{ReportJson, ReportVersionJson};

/// The slowdown, in thousandths, of a task that nothing disturbs.
const NO_SLOWDOWN: u32 = 1000;

type Key = (TaskId, Incarnation);

/// The versions at which the parts of a worker's report changed last.
#[derive(Debug)]
pub(super) struct ReportJournal {
    /// Identifies the start of the worker to which the versions belong.
    boot: u64,
    version: u64,
    /// The version at which a task ended last, or a slowdown changed considerably.
    last_update: u64,
    /// The version at which each incarnation changed last.
    changed: SortedMap<Key, u64>,
    /// The usage of each task as reported last, and the version of this report.
    usage: SortedMap<TaskId, (Usage, u64)>,
}

/// Usage is reported again when it has changed by more than 1/10.
const USAGE_CHANGE_DIVISOR: u32 = 10;
/// A slowdown that has changed by more than 1/4 is reported immediately, because throttling depends on
/// it.
const SLOWDOWN_CHANGE_DIVISOR: u32 = 4;

impl ReportJournal {
    /// Creates a journal without changes.
    pub(super) fn new() -> ReportJournal {
        let (changed, usage) = (SortedMap::new(), SortedMap::new());
        ReportJournal { boot: 0, version: 1, last_update: 0, changed, usage }
    }

    pub(super) fn set_boot_id(&mut self, boot: u64) {
        self.boot = boot;
    }

    pub(super) fn last_update(&self) -> ReportVersionJson {
        ReportVersionJson { boot: self.boot, version: self.last_update }
    }

    /// Records that an incarnation was started or throttled.
    pub(super) fn record_change(&mut self, key: Key) {
        self.version += 1;
        self.changed.insert(key, self.version);
    }

    /// Records that an incarnation has ended.
    pub(super) fn record_end(&mut self, key: Key) {
        self.record_change(key);
        self.last_update = self.version;
    }

    /// Records that the exit report of an incarnation was acknowledged.
    pub(super) fn record_acknowledge(&mut self, key: Key) {
        self.changed.remove(&key);
        self.version += 1;
    }

    /// Reduces a complete report to the changes since `seen`, or leaves it complete if that version is
    /// not known.
    pub(super) fn reduce_to_changes(
        &mut self,
        seen: Option<ReportVersionJson>,
        report: WorkerReport,
    ) -> ReportJson {
        let now = ReportVersionJson { boot: self.boot, version: self.version };
        let known = seen.filter(|it| it.boot == self.boot && it.version <= self.version);
        let Some(ReportVersionJson { version, .. }) = known else {
            return ReportJson { now: Some(now), ..ReportJson::from(report) };
        };
        let is_new = |key: Key| self.changed.get(&key).is_some_and(|&at| at > version);
        let mut changes = report;
        changes.running.retain(|it| is_new((it.task, it.incarnation)));
        changes.ended.retain(|it| is_new((it.task, it.incarnation)));
        changes.usage.retain(|it| self.usage.get(&it.task).is_some_and(|it| it.1 > version));
        let json = ReportJson::from(changes);
        ReportJson { now: Some(now), since: Some(version), capacity: None, ..json }
    }

    /// Records the usage that a report would contain now.
    pub(super) fn record_usage(&mut self, usage: &[Usage]) {
        let version = self.version + 1;
        for it in usage {
            let old = self.usage.get(&it.task).map(|(old, _)| *old);
            if old.is_some_and(|old| is_similar(&old, it)) {
                continue;
            }
            let slowdown = old.map_or(NO_SLOWDOWN, |old| old.slowdown);
            if slowdown.abs_diff(it.slowdown) > slowdown / SLOWDOWN_CHANGE_DIVISOR {
                self.last_update = version;
            }
            self.usage.insert(it.task, (*it, version));
            self.version = version;
        }
        self.usage.retain(|task, _| usage.iter().any(|it| it.task == *task));
    }
}

fn is_similar(old: &Usage, new: &Usage) -> bool {
    let is_near = |old: u32, new: u32| old.abs_diff(new) <= old / USAGE_CHANGE_DIVISOR;
    let Resources { cpu_milli, memory_mib, accelerators } = new.used;
    is_near(old.used.cpu_milli, cpu_milli)
        && is_near(old.used.memory_mib, memory_mib)
        && old.used.accelerators == accelerators
        && is_near(old.slowdown, new.slowdown)
}
