//! Checks guarantee 6: a non-idempotent request runs at most once.

use std::collections::BTreeMap;

use crate::{Event, EventKind, Guarantee, History, Violation};

/// Finds idempotency keys whose request ran more than once, on the same or on different backend
/// servers.
pub fn check(history: &History) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    for event in history.events() {
        if let EventKind::RequestBegan { key: Some(key), .. } = &event.kind {
            runs.entry(key).or_default().push(event);
        }
    }
    let repeated = runs.into_iter().filter(|(_, events)| events.len() > 1);
    let violations = repeated.map(|(key, events)| Violation {
        guarantee: Guarantee::AtMostOnce,
        what: format!("key {key} ran {} times", events.len()),
        events: events.into_iter().cloned().collect(),
    });
    violations.collect()
}
