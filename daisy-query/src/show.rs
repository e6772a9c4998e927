//! `show`: rows, filtered, ordered, counted.

mod filter;
mod fleet;
pub(crate) mod work;

use daisy_language::{Count, OrderBy, Show, Target, amount};
use daisy_ledger::State;

use crate::{LiveView, Table};

/// A row: the cell of each of its table's columns, worked out when it is asked for.
type Row<'a> = &'a dyn Fn(&str) -> String;

/// Takes rows one at a time. Most rows of a large table are looked at by a filter in one or two
/// columns and kept in none.
type Sink<'a> = &'a mut dyn FnMut(Row<'_>);

/// Answers `show`.
pub(crate) fn show(state: &State, live: &LiveView, query: &Show) -> Table {
    let columns = kept_columns(query);
    let mut table = Table::new(&columns);
    let mut matches = 0;
    let mut take = |row: Row<'_>| {
        if query.filters.iter().all(|it| filter::passes(it, &row(it.column))) {
            matches += 1;
            if !columns.is_empty() {
                table.rows.push(columns.iter().map(|column| row(column)).collect());
            }
        }
    };
    rows(state, live, query.target, &mut take);
    match query.count {
        Some(Count::All) => return count_all(matches),
        Some(Count::By(column)) => table = count_by(&table, column),
        None => {}
    }
    if let Some(OrderBy { column, descending }) = query.order {
        let at = table.columns.iter().position(|it| *it == column);
        sort(&mut table, at, descending);
    }
    if let Some(limit) = query.limit {
        table.rows.truncate(limit as usize);
    }
    table
}

/// The columns that the answer is made of.
fn kept_columns(query: &Show) -> Vec<&'static str> {
    match query.count {
        Some(Count::All) => Vec::new(),
        Some(Count::By(column)) => vec![column],
        None => query.target.columns().to_vec(),
    }
}

fn rows(state: &State, live: &LiveView, target: Target, sink: Sink<'_>) {
    match target {
        Target::Tasks => work::tasks(state, live, sink),
        Target::Jobs => work::jobs(state, |_| true, sink),
        Target::Services => work::jobs(state, work::is_service, sink),
        Target::Teams => work::teams(state, sink),
        Target::Workers => fleet::workers(state, live, sink),
        Target::Vms => fleet::vms(state, live, sink),
        Target::Holders => fleet::holders(state, live, sink),
        Target::Config => work::config(state, sink),
        Target::Changes => work::changes(state, sink),
    }
}

fn count_all(matches: usize) -> Table {
    Table { columns: vec!["count"], rows: vec![vec![matches.to_string()]] }
}

/// Values of the one column of `table` with the number of their rows, the most frequent first.
fn count_by(table: &Table, column: &'static str) -> Table {
    let mut values: Vec<&str> = table.rows.iter().map(|row| row[0].as_str()).collect();
    values.sort_unstable();
    let groups = values.chunk_by(|a, b| a == b);
    let mut counts: Vec<(usize, &str)> = groups.map(|group| (group.len(), group[0])).collect();
    counts.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    let rows = counts.iter().map(|(count, value)| vec![(*value).to_owned(), count.to_string()]);
    Table { columns: vec![column, "count"], rows: rows.collect() }
}

/// Sorts by a column: numbers first, by value, then texts. Columns that a count has dropped
/// leave the order as it is.
fn sort(table: &mut Table, at: Option<usize>, descending: bool) {
    let Some(at) = at else { return };
    table.rows.sort_by_cached_key(|row| {
        let number = amount(&row[at]);
        (number.is_none(), number, row[at].clone())
    });
    if descending {
        table.rows.reverse();
    }
}
