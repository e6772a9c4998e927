//! What a worker has changed since which report.

use daisy_model::{Incarnation, Resources, SortedMap, TaskId, Usage, WorkerReport};
use daisy_wire::worker::{ReportJson, ReportVersionJson};

/// The slowdown, in thousandths, of a task that nothing disturbs.
const UNDISTURBED: u32 = 1000;

type Key = (TaskId, Incarnation);

/// Versions of all that a worker reports.
#[derive(Debug)]
pub(super) struct Journal {
    boot: u64,
    version: u64,
    /// The version of the last end of a task, or of a marked change in a slowdown.
    news: u64,
    changed: SortedMap<Key, u64>,
    usage: SortedMap<TaskId, (Usage, u64)>,
}

/// Use is told again when it has changed by more than this part.
const CHANGE_PART: u32 = 10;
/// A slowdown that changed by more than this part is told at once: throttling rests on it.
const NEWS_PART: u32 = 4;

impl Journal {
    /// Nothing has changed.
    pub(super) fn new() -> Journal {
        let (changed, usage) = (SortedMap::new(), SortedMap::new());
        Journal { boot: 0, version: 1, news: 0, changed, usage }
    }

    pub(super) fn set_boot(&mut self, boot: u64) {
        self.boot = boot;
    }

    pub(super) fn news(&self) -> ReportVersionJson {
        ReportVersionJson { boot: self.boot, version: self.news }
    }

    /// A task was started or throttled.
    pub(super) fn changed(&mut self, key: Key) {
        self.version += 1;
        self.changed.insert(key, self.version);
    }

    /// A task has ended.
    pub(super) fn ended(&mut self, key: Key) {
        self.changed(key);
        self.news = self.version;
    }

    /// An exit report was acknowledged.
    pub(super) fn forgot(&mut self, key: Key) {
        self.changed.remove(&key);
        self.version += 1;
    }

    /// Takes out of a whole report what was seen.
    pub(super) fn reduce(
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

    /// Takes in the use that a report would tell now.
    pub(super) fn note_usage(&mut self, usage: &[Usage]) {
        let version = self.version + 1;
        for it in usage {
            let old = self.usage.get(&it.task).map(|(old, _)| *old);
            if old.is_some_and(|old| is_close(&old, it)) {
                continue;
            }
            let slowdown = old.map_or(UNDISTURBED, |old| old.slowdown);
            if slowdown.abs_diff(it.slowdown) > slowdown / NEWS_PART {
                self.news = version;
            }
            self.usage.insert(it.task, (*it, version));
            self.version = version;
        }
        self.usage.retain(|task, _| usage.iter().any(|it| it.task == *task));
    }
}

fn is_close(old: &Usage, new: &Usage) -> bool {
    let near = |old: u32, new: u32| old.abs_diff(new) <= old / CHANGE_PART;
    let Resources { cpu_milli, memory_mib, accelerators } = new.used;
    near(old.used.cpu_milli, cpu_milli)
        && near(old.used.memory_mib, memory_mib)
        && old.used.accelerators == accelerators
        && near(old.slowdown, new.slowdown)
}
