//! Point 4: every caller receives the whole answer to its own request.

use std::collections::BTreeMap;

use crate::{CallOutcome, Event, EventKind, History, Point, Violation};

/// Finds answers that were not whole, not the caller's own, or made by a run of another call.
///
/// The callers compare each body with the one that their request must give; here the id that
/// an answer shows is compared with the run that bore it.
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
            violations.push(violation("an answer is not whole or not the call's own", event, None));
        }
        let run = request.as_deref().and_then(|request| runs.get(request));
        if let Some((ran_for, run)) = run
            && ran_for != call
        {
            let what = "an answer shows the id of another call's run";
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
    Violation { point: Point::OwnAnswer, what: what.to_owned(), events }
}
