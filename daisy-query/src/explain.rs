//! `explain`: what a change would do, without doing it.

mod effect;
mod room;

use daisy_ledger::{AppendId, Batch, Outcome, Record, State};
use daisy_model::{Change, Command, Condition, Name, WallTime};

pub use self::room::describe_misfit;
use crate::{LiveView, Table, words};

/// Columns of the answer: what is affected, and how.
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
    let outcome = fold(&mut after, command, condition);
    match outcome {
        Some(Outcome::Accepted(_)) => {
            let now = state.generation;
            table.say("verdict", format!("would be accepted; the generation is {now} now"));
        }
        Some(Outcome::Refused(refusal)) => {
            table.say("verdict", format!("would be refused: {refusal}"));
            return table;
        }
        _ => {
            table.say("verdict", "would have no effect");
            return table;
        }
    }
    effect::say(&mut table, state, &after, live, command);
    table
}

/// Folds the change as the next entry of the log.
fn fold(state: &mut State, command: &Command, condition: Option<Condition>) -> Option<Outcome> {
    let who = Name::new("explain").ok()?;
    let at = WallTime::default();
    let change = Change { who, at, text: "".into(), command: command.clone(), condition };
    // A sender that no process has, so that the entry is no repetition.
    let id = AppendId { sender: u64::MAX, seq: u64::MAX };
    let batch = Batch { id, records: vec![Record::Change(change)] };
    let next = state.next;
    state.apply(next, &batch).outcomes.pop()
}

/// How a number of things is called.
fn count(number: usize, what: &str) -> String {
    if number == 1 { format!("1 {what}") } else { format!("{number} {what}s") }
}

/// Adds how a value changes, if it does.
fn say_changed(table: &mut Table, what: &str, before: &str, after: &str) {
    if before == after {
        table.say(what, format!("stays {after}"));
    } else {
        table.say(what, format!("from {before} to {after}"));
    }
}

/// A team's use and limit.
fn say_quota(table: &mut Table, state: &State, team: &Name) {
    if let Some((_, team)) = state.team(team) {
        let (used, limit) = (team.used, team.limit);
        table.say("quota", format!("team {} uses {used} of {limit}", team.name));
    }
}

/// Who the last change of a subject came from.
fn say_before(table: &mut Table, state: &State, is: impl Fn(&Command) -> bool) {
    if let Some(entry) = words::last_change(state, is) {
        table.say("before", format!("last changed {}", words::said(entry)));
    }
}
