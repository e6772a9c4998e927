//! Point 6: a non-idempotent request runs at most once.

use std::collections::BTreeMap;

use crate::{Event, EventKind, History, Point, Violation};

/// Finds idempotency keys under which requests ran more than once, anywhere.
pub fn check(history: &History) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    for event in history.events() {
        if let EventKind::RequestBegan { key: Some(key), .. } = &event.kind {
            runs.entry(key).or_default().push(event);
        }
    }
    let twice = runs.into_iter().filter(|(_, events)| events.len() > 1);
    let violations = twice.map(|(key, events)| Violation {
        point: Point::AtMostOnce,
        what: format!("key {key} ran {} times", events.len()),
        events: events.into_iter().cloned().collect(),
    });
    violations.collect()
}
