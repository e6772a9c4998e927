//! Point 9: an accepted configuration is in force everywhere within seconds and never reverts.

use std::{collections::BTreeMap, time::Duration};

use crate::{Event, EventKind, History, Point, Violation};

/// What the checker takes for granted.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long after its acceptance a configuration may take (5 s in the users' size plan).
    pub time_limit: Duration,
}

/// What one process has in force.
#[derive(Debug, Default)]
struct Process<'a> {
    /// The newest version that it showed.
    shown: Option<(u64, &'a Event)>,
    /// Since when it is frozen or cut off.
    cut_off: bool,
    /// When it was last healed.
    healed_us: u64,
    gone: bool,
}

/// Finds processes that went back to an older version, or that showed an older one too late.
///
/// A process that is frozen or cut off has `time_limit` from when it is healed; one that stops or
/// is killed owes nothing from then on. Lateness is judged where a process shows its version,
/// so each has to be asked until `time_limit` after the last change.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let within_us = u64::try_from(options.time_limit.as_micros()).unwrap_or(u64::MAX);
    let mut processes: BTreeMap<&str, Process<'_>> = BTreeMap::new();
    let mut accepted: Vec<(u64, &Event)> = Vec::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let process = processes.entry(&event.who).or_default();
        match &event.kind {
            EventKind::ConfigAccepted { version } => accepted.push((*version, event)),
            EventKind::ConfigInForce { version } if !process.gone => {
                violations.extend(process.revert(*version, event));
                violations.extend(process.late(*version, event, &accepted, within_us));
                process.shown = Some((*version, event));
            }
            EventKind::CutOff => process.cut_off = true,
            EventKind::Healed => {
                process.cut_off = false;
                process.healed_us = event.at_us;
            }
            EventKind::Stopping { .. } | EventKind::Killed { .. } => process.gone = true,
            _ => {}
        }
    }
    violations
}

impl Process<'_> {
    fn revert(&self, version: u64, event: &Event) -> Option<Violation> {
        let (shown, before) = self.shown?;
        let what = format!("{} went back from version {shown} to {version}", event.who);
        (version < shown).then(|| violation(what, vec![before.clone(), event.clone()]))
    }

    fn late(
        &self,
        version: u64,
        event: &Event,
        accepted: &[(u64, &Event)],
        within_us: u64,
    ) -> Option<Violation> {
        if self.cut_off {
            return None;
        }
        let due = |news: &Event| news.at_us.max(self.healed_us).saturating_add(within_us);
        let missed =
            accepted.iter().find(|(wanted, news)| *wanted > version && event.at_us > due(news));
        let (wanted, news) = missed?;
        let after_ms = (event.at_us - news.at_us) / 1000;
        let who = &event.who;
        let what = format!("{who} has version {version}, not {wanted}, {after_ms} ms after it");
        Some(violation(what, vec![(*news).clone(), event.clone()]))
    }
}

fn violation(what: String, events: Vec<Event>) -> Violation {
    Violation { point: Point::Configuration, what, events }
}
