//! Point 7: a backend server that is leaving receives no new work after a few seconds.

use std::{collections::BTreeMap, time::Duration};

use crate::{Event, EventKind, History, Point, Violation};

/// What the checker takes for granted.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long after the news new work may still come.
    pub time_limit: Duration,
}

/// Finds requests that came to a backend server after it had been leaving for too long.
///
/// The news is the platform's record of the VM, an operator's drain, or the server's own;
/// a request that the server refuses has come to it all the same.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let within_us = u64::try_from(options.time_limit.as_micros()).unwrap_or(u64::MAX);
    let mut leaving: BTreeMap<&str, &Event> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        match &event.kind {
            EventKind::VmChanged { vm, status } if status == "live" => {
                leaving.remove(vm.as_str());
            }
            EventKind::VmChanged { vm, .. } | EventKind::Drained { vm } => {
                leaving.entry(vm).or_insert(event);
            }
            EventKind::Leaving => {
                leaving.entry(&event.who).or_insert(event);
            }
            EventKind::RequestBegan { .. } | EventKind::RequestRefused { .. } => {
                let news = leaving.get(event.who.as_str()).copied();
                let late = |news: &&Event| event.at_us > news.at_us.saturating_add(within_us);
                violations.extend(news.filter(late).map(|news| violation(news, event)));
            }
            _ => {}
        }
    }
    violations
}

fn violation(news: &Event, event: &Event) -> Violation {
    let after_ms = (event.at_us - news.at_us) / 1000;
    Violation {
        point: Point::Leaving,
        what: format!("new work came to {} {after_ms} ms after it was leaving", event.who),
        events: vec![news.clone(), event.clone()],
    }
}
