//! `why`: the chain of decisions in words, from what was declared to what runs.

mod fleet;
mod task;

pub(crate) use self::{
    fleet::{request_class, vm},
    task::{job, task},
};

use crate::{LiveView, Subject, Table, words};

/// Columns of answers in words: where a line comes from, and what it says.
pub(crate) const COLUMNS: &[&str] = &["from", "what"];

/// The most recent decisions told of one subject.
const MAX_REASONS: usize = 10;

/// Adds what was decided about `subject`, oldest first.
fn say_reasons(table: &mut Table, live: &LiveView, subject: &Subject) {
    let mut newest: Vec<_> = live.reasons_of(subject).rev().take(MAX_REASONS).collect();
    newest.reverse();
    for reason in newest {
        table.say("decision", format!("{}: {}", words::time(reason.at), reason.text));
    }
}
