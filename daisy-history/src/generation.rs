//! Checks guarantees 9 and 2: concurrent changes take effect one after the other.
//!
//! The declared state is modelled as a register that holds its generation. A change that depends
//! on a generation is a compare-and-swap on this register. The linearizability checker of
//! `todc-utils` checks the operations.

use std::collections::BTreeMap;

use todc_utils::{Action, History as Operations, Specification, WGLChecker};

use crate::{ChangeOutcome, Event, EventKind, Guarantee, History, Violation};

/// A change and its outcome.
#[derive(Debug, Clone, Copy)]
struct Change {
    expected: Option<u64>,
    verdict: ChangeOutcome,
}

/// The generation of the declared state, as far as the outcomes of changes reveal it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Generation {
    /// Exactly this generation: the one that was accepted last.
    Known(u64),
    /// This generation or a later one, after a change whose answer was lost.
    AtLeast(u64),
}

/// The sequential specification of changes to the declared state.
struct GenerationRegister;

impl Specification for GenerationRegister {
    type State = Generation;
    type Operation = Change;

    /// Returns the state before the first change; it is not known what was accepted earlier.
    fn init() -> Generation {
        Generation::AtLeast(0)
    }

    fn apply(change: &Change, state: &Generation) -> (bool, Generation) {
        let may_equal = |expected: u64| match *state {
            Generation::Known(known) => expected == known,
            Generation::AtLeast(floor) => expected >= floor,
        };
        let floor = match *state {
            Generation::Known(known) | Generation::AtLeast(known) => known,
        };
        let may_match = change.expected.is_none_or(may_equal);
        match change.verdict {
            ChangeOutcome::Accepted(new) if may_match && new > floor => {
                (true, Generation::Known(new))
            }
            ChangeOutcome::Accepted(_) => (false, *state),
            ChangeOutcome::Refused => {
                let must_match = change.expected.is_none_or(|it| *state == Generation::Known(it));
                (!must_match, *state)
            }
            ChangeOutcome::Unknown if may_match => (true, Generation::AtLeast(floor + 1)),
            ChangeOutcome::Unknown => (true, *state),
        }
    }
}

/// Checks whether the operators' changes are linearizable: a change that depends on a generation is
/// accepted only if this generation was current, and refused only if it was not.
///
/// A change without an answer may have taken effect at any time after it was sent.
pub fn check(history: &History) -> Vec<Violation> {
    let changes = history.events().iter().filter(|event| {
        matches!(event.kind, EventKind::ChangeSent { .. } | EventKind::ChangeEnded { .. })
    });
    let events: Vec<&Event> = changes.collect();
    let actions = actions(&events);
    if actions.is_empty()
        || WGLChecker::<GenerationRegister>::is_linearizable(Operations::from_actions(actions))
    {
        return Vec::new();
    }
    let what = "no order of the operators' changes explains the reported outcomes".to_owned();
    let events = events.into_iter().cloned().collect();
    vec![Violation { guarantee: Guarantee::Configuration, what, events }]
}

/// Returns the calls and responses for the linearizability checker. Each change is a process of its
/// own, numbered from 0.
fn actions(events: &[&Event]) -> Vec<(usize, Action<Change>)> {
    let mut verdicts: BTreeMap<u64, ChangeOutcome> = BTreeMap::new();
    for event in events {
        if let EventKind::ChangeEnded { change, verdict } = event.kind {
            verdicts.insert(change, verdict);
        }
    }
    let mut actions = Vec::new();
    let mut unanswered = BTreeMap::new();
    let mut sent = 0;
    for event in events {
        match event.kind {
            EventKind::ChangeSent { change, expected } => {
                let verdict = verdicts.get(&change).copied().unwrap_or(ChangeOutcome::Unknown);
                let operation = Change { expected, verdict };
                unanswered.insert(change, (sent, operation));
                actions.push((sent, Action::Call(operation)));
                sent += 1;
            }
            EventKind::ChangeEnded { change, verdict } if verdict != ChangeOutcome::Unknown => {
                if let Some((process, operation)) = unanswered.remove(&change) {
                    actions.push((process, Action::Response(operation)));
                }
            }
            _ => {}
        }
    }
    // A change whose outcome is unknown may take effect even after the end of the history.
    let unanswered = unanswered.into_values();
    actions.extend(unanswered.map(|(process, operation)| (process, Action::Response(operation))));
    actions
}
