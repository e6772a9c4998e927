//! Checks guarantee 5: when the system reports that a request was not run, it was not run.

use std::collections::BTreeMap;

use crate::{CallOutcome, Event, EventKind, Guarantee, History, Violation};

/// All attempts of one call, and all runs of it on backend servers.
#[derive(Debug, Default)]
struct Call<'a> {
    ended: Vec<(CallOutcome, &'a Event)>,
    attempts: usize,
    runs: Vec<&'a Event>,
}

/// Finds requests that ran, before or after the answer, although the system reported that they were
/// not run.
///
/// An answer with a request id makes a statement about the request with this id. In addition, a
/// call must have no run at all if each of its attempts ended in "not run" or could not be sent.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = violations_by_request(history);
    for call in calls_by_number(history).values() {
        let is_not_run =
            |outcome| matches!(outcome, CallOutcome::NotRun | CallOutcome::Unreachable);
        let all_ended = call.ended.len() == call.attempts;
        let all_not_run = all_ended && call.ended.iter().all(|(outcome, _)| is_not_run(*outcome));
        if all_not_run && !call.runs.is_empty() {
            let ended = call.ended.iter().map(|(_, event)| *event);
            let what = "a call ran although each of its attempts was reported as not run";
            violations.push(violation(what, call.runs.iter().copied().chain(ended)));
        }
    }
    violations
}

fn violations_by_request(history: &History) -> Vec<Violation> {
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
    let what = "a request ran although the system reported it as not run";
    denials.map(|(run, event)| violation(what, [*run, event].into_iter())).collect()
}

fn calls_by_number(history: &History) -> BTreeMap<u64, Call<'_>> {
    let mut calls: BTreeMap<u64, Call<'_>> = BTreeMap::new();
    for event in history.events() {
        match &event.kind {
            EventKind::CallSent { call, .. } => calls.entry(*call).or_default().attempts += 1,
            EventKind::CallEnded { call, outcome, .. } => {
                calls.entry(*call).or_default().ended.push((*outcome, event));
            }
            EventKind::RequestBegan { call: Some(call), .. } => {
                calls.entry(*call).or_default().runs.push(event);
            }
            _ => {}
        }
    }
    // Nothing can be concluded from runs of calls that no caller in this history made.
    calls.retain(|_, call| call.attempts > 0);
    calls
}

fn violation<'a>(what: &str, events: impl Iterator<Item = &'a Event>) -> Violation {
    Violation {
        guarantee: Guarantee::NotRun,
        what: what.to_owned(),
        events: events.cloned().collect(),
    }
}
