//! Checks guarantee 3: evicted work resumes exactly once.

use std::collections::BTreeMap;

use crate::{Event, EventKind, Guarantee, History, Run, RunEnd, Violation};

/// Settings of the checker.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The numbers of jobs that operators cancelled; their checkpoints need not be resumed.
    pub cancelled: Vec<u32>,
    /// Whether the test run lasted long enough for all evicted work to resume, so that a checkpoint
    /// without a resumption is a violation.
    pub all_must_resume: bool,
}

/// The newest checkpoint of one task, and its resumption.
#[derive(Debug, Default)]
struct Task<'a> {
    /// The token of the newest checkpoint, and the event that made it.
    checkpoint: Option<(u64, &'a Event)>,
    /// The incarnation that resumed the checkpoint, and the event of its start.
    resumed: Option<(Run, &'a Event)>,
}

/// Finds checkpoints that were resumed twice, ignored, resumed without having been made, or (with
/// [`Options::all_must_resume`]) never resumed.
///
/// A second resumption is allowed only after the work of the first one was lost: it failed, was
/// stopped, or its lease expired.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let mut tasks: BTreeMap<(u32, u32), Task<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::TaskStarted { run, checkpoint, .. } => {
                let task = tasks.entry((run.job, run.index)).or_default();
                violations.extend(task.record_start(*run, *checkpoint, event));
            }
            EventKind::TaskEnded { run, end } => {
                let task = tasks.entry((run.job, run.index)).or_default();
                task.record_end(*run, *end, event);
            }
            _ => {}
        }
    }
    if options.all_must_resume {
        violations.extend(never_resumed(&tasks, options));
    }
    violations
}

impl<'a> Task<'a> {
    fn record_start(
        &mut self,
        run: Run,
        token: Option<u64>,
        event: &'a Event,
    ) -> Option<Violation> {
        let what = match (self.checkpoint, token) {
            (None, None) => return None,
            (None, Some(_)) => "work resumes from a checkpoint that was never made",
            (Some(_), None) => "evicted work starts from the beginning instead of resuming",
            (Some((newest, _)), Some(token)) if newest != token => {
                "work resumes from a checkpoint that is not its newest"
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

    fn record_end(&mut self, run: Run, end: RunEnd, event: &'a Event) {
        match end {
            RunEnd::Checkpointed(token) => {
                self.checkpoint = Some((token, event));
                self.resumed = None;
            }
            // The work since the checkpoint is lost, so the checkpoint may be resumed once more.
            RunEnd::Failed | RunEnd::Stopped | RunEnd::LeaseLapsed => {
                if self.resumed.is_some_and(|(it, _)| it == run) {
                    self.resumed = None;
                }
            }
            RunEnd::Done => self.checkpoint = None,
        }
    }
}

fn never_resumed(tasks: &BTreeMap<(u32, u32), Task<'_>>, options: &Options) -> Vec<Violation> {
    let waiting = tasks.iter().filter(|((job, _), task)| {
        task.checkpoint.is_some() && task.resumed.is_none() && !options.cancelled.contains(job)
    });
    let made = waiting.filter_map(|(_, task)| task.checkpoint);
    made.map(|(_, made)| violation("evicted work never resumed", vec![made.clone()])).collect()
}

fn violation(what: &str, events: Vec<Event>) -> Violation {
    Violation { guarantee: Guarantee::Resume, what: what.to_owned(), events }
}
