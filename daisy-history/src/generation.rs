//! Points 9 and 2: racing changes take effect one after the other.
//!
//! The declared state is a register of its generation; a change that depends on a generation
//! is a compare-and-swap. The linearizability checker of `todc-utils` decides.

use std::collections::BTreeMap;

use todc_utils::{Action, History as Operations, Specification, WGLChecker};

use crate::{ChangeOutcome, Event, EventKind, History, Point, Violation};

/// A change and what came of it.
#[derive(Debug, Clone, Copy)]
struct Change {
    expected: Option<u64>,
    verdict: ChangeOutcome,
}

/// The generation as far as the changes show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Generation {
    /// The one accepted last.
    Known(u64),
    /// This one or a later one: after a change whose answer was lost.
    AtLeast(u64),
}

struct Register;

impl Specification for Register {
    type State = Generation;
    type Operation = Change;

    /// What was accepted before the history began is not known.
    fn init() -> Generation {
        Generation::AtLeast(0)
    }

    fn apply(change: &Change, state: &Generation) -> (bool, Generation) {
        let may_be = |expected: u64| match *state {
            Generation::Known(known) => expected == known,
            Generation::AtLeast(floor) => expected >= floor,
        };
        let floor = match *state {
            Generation::Known(known) | Generation::AtLeast(known) => known,
        };
        let holds = change.expected.is_none_or(may_be);
        match change.verdict {
            ChangeOutcome::Accepted(new) if holds && new > floor => (true, Generation::Known(new)),
            ChangeOutcome::Accepted(_) => (false, *state),
            ChangeOutcome::Refused => {
                let must_hold = change.expected.is_none_or(|it| *state == Generation::Known(it));
                (!must_hold, *state)
            }
            ChangeOutcome::Unknown if holds => (true, Generation::AtLeast(floor + 1)),
            ChangeOutcome::Unknown => (true, *state),
        }
    }
}

/// Finds out whether operators' changes are linearizable: an accepted change that depended on
/// a generation found just that one, and a refused one did not.
///
/// A change without an answer may have taken effect at any time after it was sent.
pub fn check(history: &History) -> Vec<Violation> {
    let changes = history.events().iter().filter(|event| {
        matches!(event.kind, EventKind::ChangeSent { .. } | EventKind::ChangeEnded { .. })
    });
    let events: Vec<&Event> = changes.collect();
    let actions = actions(&events);
    if actions.is_empty()
        || WGLChecker::<Register>::is_linearizable(Operations::from_actions(actions))
    {
        return Vec::new();
    }
    let what = "no order of the operators' changes explains what they were told".to_owned();
    let events = events.into_iter().cloned().collect();
    vec![Violation { point: Point::Configuration, what, events }]
}

/// Calls and responses; each change is a process of its own, numbered from 0.
fn actions(events: &[&Event]) -> Vec<(usize, Action<Change>)> {
    let mut verdicts: BTreeMap<u64, ChangeOutcome> = BTreeMap::new();
    for event in events {
        if let EventKind::ChangeEnded { change, verdict } = event.kind {
            verdicts.insert(change, verdict);
        }
    }
    let mut actions = Vec::new();
    let mut open = BTreeMap::new();
    let mut sent = 0;
    for event in events {
        match event.kind {
            EventKind::ChangeSent { change, expected } => {
                let verdict = verdicts.get(&change).copied().unwrap_or(ChangeOutcome::Unknown);
                let operation = Change { expected, verdict };
                open.insert(change, (sent, operation));
                actions.push((sent, Action::Call(operation)));
                sent += 1;
            }
            EventKind::ChangeEnded { change, verdict } if verdict != ChangeOutcome::Unknown => {
                if let Some((process, operation)) = open.remove(&change) {
                    actions.push((process, Action::Response(operation)));
                }
            }
            _ => {}
        }
    }
    // What is unknown may take effect as late as after the history's end.
    let open = open.into_values();
    actions.extend(open.map(|(process, operation)| (process, Action::Response(operation))));
    actions
}
