//! Checks guarantee 2: no task runs in two places at once, or again after it has finished its work.

use std::collections::BTreeMap;

use crate::{Event, EventKind, Guarantee, History, Run, RunEnd, Violation};

/// The time during which one incarnation ran on one worker.
#[derive(Debug)]
struct Interval<'a> {
    run: Run,
    started: &'a Event,
    /// The time of its end, how it ended (`None` if its worker was killed or restarted), and the
    /// event. `None` while it runs.
    ended: Option<(u64, Option<RunEnd>, &'a Event)>,
}

/// Finds tasks that run on two workers at the same time, incarnations that are started twice, and
/// tasks that are started again after they were done.
///
/// An incarnation whose end is not in the history is assumed to run until its worker is killed or
/// restarts, otherwise forever.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for intervals in intervals_by_task(history).values() {
        for (index, later) in intervals.iter().enumerate() {
            let conflicts =
                intervals[..index].iter().filter_map(|earlier| find_conflict(earlier, later));
            violations.extend(conflicts);
        }
    }
    violations
}

/// Returns the intervals of each task, keyed by job and index, in the order of their starts.
fn intervals_by_task(history: &History) -> BTreeMap<(u32, u32), Vec<Interval<'_>>> {
    let mut tasks: BTreeMap<(u32, u32), Vec<Interval<'_>>> = BTreeMap::new();
    for event in history.events() {
        match &event.kind {
            EventKind::TaskStarted { run, .. } => {
                let interval = Interval { run: *run, started: event, ended: None };
                tasks.entry((run.job, run.index)).or_default().push(interval);
            }
            EventKind::TaskEnded { run, end } => {
                let intervals = tasks.entry((run.job, run.index)).or_default();
                let is_this_run =
                    |it: &&mut Interval<'_>| it.run == *run && it.is_running_on(&event.who);
                if let Some(interval) = intervals.iter_mut().find(is_this_run) {
                    interval.ended = Some((event.at_us, Some(*end), event));
                }
            }
            EventKind::Killed { .. } | EventKind::WorkerBegan { .. } => {
                let all = tasks.values_mut().flatten();
                for interval in all.filter(|interval| interval.is_running_on(&event.who)) {
                    interval.ended = Some((event.at_us, None, event));
                }
            }
            _ => {}
        }
    }
    tasks
}

impl Interval<'_> {
    fn is_running_on(&self, worker: &str) -> bool {
        self.ended.is_none() && self.started.who == worker
    }

    fn events(&self) -> impl Iterator<Item = Event> {
        let ended = self.ended.map(|(.., event)| event.clone());
        std::iter::once(self.started.clone()).chain(ended)
    }
}

/// Returns the violation if `later` must not have started as it did after `earlier`.
fn find_conflict(earlier: &Interval<'_>, later: &Interval<'_>) -> Option<Violation> {
    let ended_at = earlier.ended.map_or(u64::MAX, |(at, ..)| at);
    let done = earlier.ended.is_some_and(|(_, end, _)| end == Some(RunEnd::Done));
    // An end and a start at the same instant do not overlap: an interval does not include its end.
    let what = if later.started.at_us < ended_at {
        "a task runs in two places at once"
    } else if earlier.run == later.run {
        "an incarnation is started twice"
    } else if done {
        "a task is started again after it was done"
    } else {
        return None;
    };
    let events = earlier.events().chain(later.events()).collect();
    Some(Violation { guarantee: Guarantee::OnePlace, what: what.to_owned(), events })
}
