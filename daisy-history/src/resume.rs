//! Point 3: evicted work resumes exactly once.

use std::collections::BTreeMap;

use crate::{Event, EventKind, History, Point, Run, RunEnd, Violation};

/// What the checker takes for granted.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Jobs that operators cancelled: their checkpoints need not be resumed.
    pub cancelled: Vec<u32>,
    /// Whether the run went on long enough for all evicted work to resume.
    pub all_must_resume: bool,
}

/// One task's checkpoints and starts.
#[derive(Debug, Default)]
struct Task<'a> {
    /// The newest checkpoint and the start that resumed it.
    checkpoint: Option<(u64, &'a Event)>,
    resumed: Option<(Run, &'a Event)>,
}

/// Finds checkpoints that were resumed twice, passed over, never made, or (in a complete
/// run) never resumed.
///
/// A second resumption is in order only after the first one's work was lost: it failed, was
/// stopped, or its lease lapsed.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let mut tasks: BTreeMap<(u32, u32), Task<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::TaskStarted { run, checkpoint, .. } => {
                let task = tasks.entry((run.job, run.index)).or_default();
                violations.extend(task.start(*run, *checkpoint, event));
            }
            EventKind::TaskEnded { run, end } => {
                let task = tasks.entry((run.job, run.index)).or_default();
                task.end(*run, *end, event);
            }
            _ => {}
        }
    }
    if options.all_must_resume {
        violations.extend(left_behind(&tasks, options));
    }
    violations
}

impl<'a> Task<'a> {
    fn start(&mut self, run: Run, token: Option<u64>, event: &'a Event) -> Option<Violation> {
        let what = match (self.checkpoint, token) {
            (None, None) => return None,
            (None, Some(_)) => "work resumes from a checkpoint that was never made",
            (Some(_), None) => "evicted work begins anew instead of resuming",
            (Some((newest, _)), Some(token)) if newest != token => {
                "work resumes from another checkpoint than its newest"
            }
            (Some(_), Some(_)) if self.resumed.is_some() => "evicted work resumes twice",
            (Some(_), Some(_)) => {
                self.resumed = Some((run, event));
                return None;
            }
        };
        let made = self.checkpoint.map(|(_, made)| made);
        let resumed = self.resumed.map(|(_, resumed)| resumed);
        let events = made.into_iter().chain(resumed).chain([event]).cloned().collect();
        Some(violation(what, events))
    }

    fn end(&mut self, run: Run, end: RunEnd, event: &'a Event) {
        match end {
            RunEnd::Checkpointed(token) => {
                self.checkpoint = Some((token, event));
                self.resumed = None;
            }
            // The work since the checkpoint is lost, so the checkpoint may be resumed again.
            RunEnd::Failed | RunEnd::Stopped | RunEnd::LeaseLapsed => {
                if self.resumed.is_some_and(|(it, _)| it == run) {
                    self.resumed = None;
                }
            }
            RunEnd::Done => self.checkpoint = None,
        }
    }
}

fn left_behind(tasks: &BTreeMap<(u32, u32), Task<'_>>, options: &Options) -> Vec<Violation> {
    let waiting = tasks.iter().filter(|((job, _), task)| {
        task.checkpoint.is_some() && task.resumed.is_none() && !options.cancelled.contains(job)
    });
    let made = waiting.filter_map(|(_, task)| task.checkpoint);
    made.map(|(_, made)| violation("evicted work never resumed", vec![made.clone()])).collect()
}

fn violation(what: &str, events: Vec<Event>) -> Violation {
    Violation { point: Point::Resume, what: what.to_owned(), events }
}
