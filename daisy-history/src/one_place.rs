//! Point 2: no task ever runs in two places at once, or again after it has done its work.

use std::collections::BTreeMap;

use crate::{Event, EventKind, History, Point, Run, RunEnd, Violation};

/// One incarnation on one worker.
#[derive(Debug)]
struct Interval<'a> {
    run: Run,
    started: &'a Event,
    /// `None` while it runs.
    ended: Option<(u64, Option<RunEnd>, &'a Event)>,
}

/// Finds tasks that run on two workers at one time, incarnations that are started twice, and
/// tasks that are started after they were done.
///
/// An incarnation whose end is not in the history runs until its worker is killed or begins
/// anew, else to the end of time.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for intervals in by_task(history).values() {
        for (at, later) in intervals.iter().enumerate() {
            let found = intervals[..at].iter().filter_map(|earlier| clash(earlier, later));
            violations.extend(found);
        }
    }
    violations
}

/// Intervals of each task in the order of their starts.
fn by_task(history: &History) -> BTreeMap<(u32, u32), Vec<Interval<'_>>> {
    let mut tasks: BTreeMap<(u32, u32), Vec<Interval<'_>>> = BTreeMap::new();
    for event in history.events() {
        match &event.kind {
            EventKind::TaskStarted { run, .. } => {
                let interval = Interval { run: *run, started: event, ended: None };
                tasks.entry((run.job, run.index)).or_default().push(interval);
            }
            EventKind::TaskEnded { run, end } => {
                let intervals = tasks.entry((run.job, run.index)).or_default();
                let own = |it: &&mut Interval<'_>| it.run == *run && it.runs_on(&event.who);
                if let Some(interval) = intervals.iter_mut().find(own) {
                    interval.ended = Some((event.at_us, Some(*end), event));
                }
            }
            EventKind::Killed { .. } | EventKind::WorkerBegan { .. } => {
                let all = tasks.values_mut().flatten();
                for interval in all.filter(|interval| interval.runs_on(&event.who)) {
                    interval.ended = Some((event.at_us, None, event));
                }
            }
            _ => {}
        }
    }
    tasks
}

impl Interval<'_> {
    fn runs_on(&self, worker: &str) -> bool {
        self.ended.is_none() && self.started.who == worker
    }

    fn events(&self) -> impl Iterator<Item = Event> {
        let ended = self.ended.map(|(.., event)| event.clone());
        std::iter::once(self.started.clone()).chain(ended)
    }
}

fn clash(earlier: &Interval<'_>, later: &Interval<'_>) -> Option<Violation> {
    let ended_at = earlier.ended.map_or(u64::MAX, |(at, ..)| at);
    let done = earlier.ended.is_some_and(|(_, end, _)| end == Some(RunEnd::Done));
    // An end and a start at the same instant are no overlap: the end is not part of the run.
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
    Some(Violation { point: Point::OnePlace, what: what.to_owned(), events })
}
