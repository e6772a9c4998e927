//! `explain`: reports the effects of a change without making it.

mod capacity;
mod effect;

use daisy_ledger::{AppendId, Batch, Record, RecordOutcome, State};
use daisy_model::{Change, Command, Condition, Name, WallTime};

pub use self::capacity::describe_misfit;
use crate::{LiveView, Table, text};

/// The columns of the answer: what is affected, and how.
const COLUMNS: &[&str] = &["about", "effect"];

/// Answers `explain` by folding the change into a copy of the state.
pub(crate) fn explain(
    state: &State,
    live: &LiveView,
    command: &Command,
    condition: Option<Condition>,
) -> Table {
    let mut table = Table::new(COLUMNS);
    let mut after = state.clone();
    let outcome = fold_change(&mut after, command, condition);
    match outcome {
        Some(RecordOutcome::Accepted(_)) => {
            let now = state.generation;
            table.add_line("verdict", format!("would be accepted; the generation is {now} now"));
        }
        Some(RecordOutcome::Refused(refusal)) => {
            table.add_line("verdict", format!("would be refused: {refusal}"));
            return table;
        }
        _ => {
            table.add_line("verdict", "would have no effect");
            return table;
        }
    }
    effect::add_lines(&mut table, state, &after, live, command);
    table
}

/// Folds the change into `state` as if it were the next entry of the log.
fn fold_change(
    state: &mut State,
    command: &Command,
    condition: Option<Condition>,
) -> Option<RecordOutcome> {
    let who = Name::new("explain").ok()?;
    let at = WallTime::default();
    let change = Change { who, at, text: "".into(), command: command.clone(), condition };
    // No process has this sender id, so the entry is not taken for a repeated append.
    let id = AppendId { sender: u64::MAX, seq: u64::MAX };
    let batch = Batch { id, records: vec![Record::Change(change)] };
    let next = state.next;
    state.apply(next, &batch).outcomes.pop()
}

/// Returns a count with its noun, such as `1 task` or `3 tasks`.
fn pluralize(number: usize, noun: &str) -> String {
    if number == 1 { format!("1 {noun}") } else { format!("{number} {noun}s") }
}

/// Adds a line with the old and the new value of `label`.
fn add_value_change(table: &mut Table, label: &str, before: &str, after: &str) {
    if before == after {
        table.add_line(label, format!("stays {after}"));
    } else {
        table.add_line(label, format!("from {before} to {after}"));
    }
}

/// Adds a line with a team's usage and limit.
fn add_quota(table: &mut Table, state: &State, team: &Name) {
    if let Some((_, team)) = state.team(team) {
        let (used, limit) = (team.used, team.limit);
        table.add_line("quota", format!("team {} uses {used} of {limit}", team.name));
    }
}

/// Adds a line with the newest accepted change whose command satisfies `is_match`, if any.
fn add_last_change(table: &mut Table, state: &State, is_match: impl Fn(&Command) -> bool) {
    if let Some(entry) = text::last_change(state, is_match) {
        table.add_line("before", format!("last changed {}", text::describe_change(entry)));
    }
}
