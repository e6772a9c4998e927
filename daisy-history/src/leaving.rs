//! Checks guarantee 7: a backend server that is leaving receives no new work after a few seconds.

use std::{collections::BTreeMap, time::Duration};

use crate::{Event, EventKind, Guarantee, History, Violation};

/// Settings of the checker.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long new work may still arrive after the first notice that a server is leaving.
    pub time_limit: Duration,
}

/// Finds requests that arrived at a backend server after it had been leaving for longer than the
/// time limit.
///
/// The notice is the platform's status of the VM, an operator's drain, or the server's own event,
/// whichever comes first. Requests that the server refuses count, too: they did arrive.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let time_limit_us = u64::try_from(options.time_limit.as_micros()).unwrap_or(u64::MAX);
    let mut notices: BTreeMap<&str, &Event> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::VmChanged { vm, status } if status == "live" => {
                notices.remove(vm.as_str());
            }
            EventKind::VmChanged { vm, .. } | EventKind::Drained { vm } => {
                notices.entry(vm).or_insert(event);
            }
            EventKind::Leaving => {
                notices.entry(&event.who).or_insert(event);
            }
            EventKind::RequestBegan { .. } | EventKind::RequestRefused { .. } => {
                let notice = notices.get(event.who.as_str()).copied();
                let is_overdue =
                    |notice: &&Event| event.at_us > notice.at_us.saturating_add(time_limit_us);
                violations.extend(notice.filter(is_overdue).map(|notice| violation(notice, event)));
            }
            _ => {}
        }
    }
    violations
}

fn violation(notice: &Event, event: &Event) -> Violation {
    let after_ms = (event.at_us - notice.at_us) / 1000;
    Violation {
        guarantee: Guarantee::Leaving,
        what: format!(
            "new work arrived at {} {after_ms} ms after the notice that it was leaving",
            event.who
        ),
        events: vec![notice.clone(), event.clone()],
    }
}
