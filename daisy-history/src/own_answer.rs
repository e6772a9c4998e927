//! Checks guarantee 4: every caller receives the complete answer to its own request.

use std::collections::BTreeMap;

use crate::{CallOutcome, Event, EventKind, Guarantee, History, Violation};

/// Finds answers that are incomplete, belong to another caller, or come from the run of another
/// call.
///
/// The callers themselves compare each body with the expected one and record the result. This
/// checker also compares the request id in an answer with the run that had this id.
pub fn check(history: &History) -> Vec<Violation> {
    let runs = runs_by_request(history);
    let mut violations = Vec::new();
    for event in history.events() {
        let EventKind::CallEnded { call, outcome: CallOutcome::Answered, request, own, .. } =
            &event.kind
        else {
            continue;
        };
        if !own {
            violations.push(violation(
                "an answer is incomplete or belongs to another call",
                event,
                None,
            ));
        }
        let run = request.as_deref().and_then(|request| runs.get(request));
        if let Some((ran_for, run)) = run
            && ran_for != call
        {
            let what = "an answer has the request id of another call's run";
            violations.push(violation(what, event, Some(run)));
        }
    }
    violations
}

fn runs_by_request(history: &History) -> BTreeMap<&str, (u64, &Event)> {
    let runs = history.events().iter().filter_map(|event| match &event.kind {
        EventKind::RequestBegan { request, call: Some(call), .. } => {
            Some((request.as_str(), (*call, event)))
        }
        _ => None,
    });
    runs.collect()
}

fn violation(what: &str, event: &Event, run: Option<&Event>) -> Violation {
    let events = run.into_iter().chain([event]).cloned().collect();
    Violation { guarantee: Guarantee::OwnAnswer, what: what.to_owned(), events }
}
