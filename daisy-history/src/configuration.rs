//! Checks guarantee 9: an accepted configuration is in force everywhere within seconds and never
//! reverts.

use std::{collections::BTreeMap, time::Duration};

use crate::{Event, EventKind, Guarantee, History, Violation};

/// Settings of the checker.
#[derive(Debug, Clone)]
pub struct Options {
    /// The longest time from a configuration's acceptance until it is in force (5 s in the users'
    /// size plan).
    pub time_limit: Duration,
}

/// The configuration that one process has in force.
#[derive(Debug, Default)]
struct Process<'a> {
    /// The version that it reported last, and the event that reported it.
    last_reported: Option<(u64, &'a Event)>,
    /// Whether it is frozen or cut off.
    is_cut_off: bool,
    /// When it was last healed, in microseconds since 1970.
    last_healed_us: u64,
    /// Whether it is stopping, has stopped or was killed.
    has_stopped: bool,
}

/// Finds processes that reverted to an older version, or that reported an outdated version after
/// the time limit.
///
/// For a process that was frozen or cut off, the time limit counts from when it was healed. A
/// process that stops or is killed is not checked from then on. A delay is detected only in an
/// event in which a process reports its version, so each process must be queried until the time
/// limit after the last change has passed.
pub fn check(history: &History, options: &Options) -> Vec<Violation> {
    let time_limit_us = u64::try_from(options.time_limit.as_micros()).unwrap_or(u64::MAX);
    let mut processes: BTreeMap<&str, Process<'_>> = BTreeMap::new();
    let mut accepted: Vec<(u64, &Event)> = Vec::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let process = processes.entry(&event.who).or_default();
        match &event.kind {
            EventKind::ConfigAccepted { version } => accepted.push((*version, event)),
            EventKind::ConfigInForce { version } if !process.has_stopped => {
                violations.extend(process.check_revert(*version, event));
                violations.extend(process.check_delay(*version, event, &accepted, time_limit_us));
                process.last_reported = Some((*version, event));
            }
            EventKind::CutOff => process.is_cut_off = true,
            EventKind::Healed => {
                process.is_cut_off = false;
                process.last_healed_us = event.at_us;
            }
            EventKind::Stopping { .. } | EventKind::Killed { .. } => process.has_stopped = true,
            _ => {}
        }
    }
    violations
}

impl Process<'_> {
    fn check_revert(&self, version: u64, event: &Event) -> Option<Violation> {
        let (reported, before) = self.last_reported?;
        let what = format!("{} reverted from version {reported} to {version}", event.who);
        (version < reported).then(|| violation(what, vec![before.clone(), event.clone()]))
    }

    fn check_delay(
        &self,
        version: u64,
        event: &Event,
        accepted: &[(u64, &Event)],
        time_limit_us: u64,
    ) -> Option<Violation> {
        if self.is_cut_off {
            return None;
        }
        let deadline_us = |acceptance: &Event| {
            acceptance.at_us.max(self.last_healed_us).saturating_add(time_limit_us)
        };
        let overdue = accepted.iter().find(|(wanted, acceptance)| {
            *wanted > version && event.at_us > deadline_us(acceptance)
        });
        let (wanted, acceptance) = overdue?;
        let after_ms = (event.at_us - acceptance.at_us) / 1000;
        let who = &event.who;
        let what = format!(
            "{who} has version {version}, not {wanted}, {after_ms} ms after it was accepted"
        );
        Some(violation(what, vec![(*acceptance).clone(), event.clone()]))
    }
}

fn violation(what: String, events: Vec<Event>) -> Violation {
    Violation { guarantee: Guarantee::Configuration, what, events }
}
