//! Point 5: when the system says that a request was not run, it was not run.

use std::collections::BTreeMap;

use crate::{CallOutcome, Event, EventKind, History, Point, Violation};

/// All attempts of one call, and its runs.
#[derive(Debug, Default)]
struct Call<'a> {
    ends: Vec<(CallOutcome, &'a Event)>,
    attempts: usize,
    runs: Vec<&'a Event>,
}

/// Finds requests that ran, before or after, although the system said that they did not.
///
/// An answer that shows a request id speaks of that id. A call whose every attempt ended in
/// "not run" or could not be sent must have no run at all.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = by_request(history);
    for call in by_call(history).values() {
        let denied = |outcome| matches!(outcome, CallOutcome::NotRun | CallOutcome::Unreachable);
        let all_ended = call.ends.len() == call.attempts;
        let all_denied = all_ended && call.ends.iter().all(|(outcome, _)| denied(*outcome));
        if all_denied && !call.runs.is_empty() {
            let ends = call.ends.iter().map(|(_, event)| *event);
            let what = "a call ran although each of its attempts was said not to have";
            violations.push(violation(what, call.runs.iter().copied().chain(ends)));
        }
    }
    violations
}

fn by_request(history: &History) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, &Event> = BTreeMap::new();
    for event in history.events() {
        if let EventKind::RequestBegan { request, .. } = &event.kind {
            runs.insert(request, event);
        }
    }
    let denials = history.events().iter().filter_map(|event| match &event.kind {
        EventKind::CallEnded { outcome: CallOutcome::NotRun, request: Some(request), .. } => {
            Some((runs.get(request.as_str())?, event))
        }
        _ => None,
    });
    let what = "a request ran although the system said that it did not";
    denials.map(|(run, event)| violation(what, [*run, event].into_iter())).collect()
}

fn by_call(history: &History) -> BTreeMap<u64, Call<'_>> {
    let mut calls: BTreeMap<u64, Call<'_>> = BTreeMap::new();
    for event in history.events() {
        match &event.kind {
            EventKind::CallSent { call, .. } => calls.entry(*call).or_default().attempts += 1,
            EventKind::CallEnded { call, outcome, .. } => {
                calls.entry(*call).or_default().ends.push((*outcome, event));
            }
            EventKind::RequestBegan { call: Some(call), .. } => {
                calls.entry(*call).or_default().runs.push(event);
            }
            _ => {}
        }
    }
    // Runs of calls that no caller of this history made say nothing.
    calls.retain(|_, call| call.attempts > 0);
    calls
}

fn violation<'a>(what: &str, events: impl Iterator<Item = &'a Event>) -> Violation {
    Violation { point: Point::NotRun, what: what.to_owned(), events: events.cloned().collect() }
}
