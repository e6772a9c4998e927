//! Checks guarantee 8: a planned stop is a graceful shutdown that cuts off no request in flight.

use std::collections::BTreeMap;

use crate::{CallOutcome, Event, EventKind, Guarantee, History, Violation};

/// Finds attempts at entry VMs that have begun a planned stop whose connection broke, that could not
/// be sent, or whose outcome the system reported as unknown.
///
/// Entry VMs that were killed before the attempt ended are not checked.
pub fn check(history: &History) -> Vec<Violation> {
    let mut stopping: BTreeMap<&str, &Event> = BTreeMap::new();
    let mut sent: BTreeMap<(u64, u32), &Event> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::Stopping { entry: Some(entry) } => {
                stopping.insert(entry, event);
            }
            EventKind::Killed { entry: Some(entry) } => {
                stopping.remove(entry.as_str());
            }
            EventKind::CallSent { call, attempt, .. } => {
                sent.insert((*call, *attempt), event);
            }
            EventKind::CallEnded { call, attempt, outcome, .. } if is_cut_off(*outcome) => {
                let Some(sent) = sent.get(&(*call, *attempt)) else { continue };
                let EventKind::CallSent { entry, .. } = &sent.kind else { continue };
                let stop = stopping.get(entry.as_str());
                violations.extend(stop.map(|stop| violation(sent, stop, event)));
            }
            _ => {}
        }
    }
    violations
}

fn is_cut_off(outcome: CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Broken | CallOutcome::Unknown | CallOutcome::Unreachable)
}

fn violation(sent: &Event, stop: &Event, ended: &Event) -> Violation {
    Violation {
        guarantee: Guarantee::PlannedStop,
        what: "a planned stop cut off a request".to_owned(),
        events: vec![sent.clone(), stop.clone(), ended.clone()],
    }
}
