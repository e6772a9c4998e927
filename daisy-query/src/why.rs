//! `why`: describes the chain of decisions, from the declaration to what runs.

mod fleet;
mod task;

pub(crate) use self::{
    fleet::{request_class, vm},
    task::{job, task},
};

use crate::{LiveView, Subject, Table, text};

/// The columns of the answer: the source of a line, and its text.
pub(crate) const COLUMNS: &[&str] = &["from", "what"];

/// The maximum number of decisions listed for one subject.
const MAX_REASONS: usize = 10;

/// Adds the newest decisions about `subject`, at most [`MAX_REASONS`] of them, oldest first.
fn add_reasons(table: &mut Table, live: &LiveView, subject: &Subject) {
    let mut newest: Vec<_> = live.reasons_of(subject).rev().take(MAX_REASONS).collect();
    newest.reverse();
    for reason in newest {
        table.add_line("decision", format!("{}: {}", text::time(reason.at), reason.text));
    }
}
