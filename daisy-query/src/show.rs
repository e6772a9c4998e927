//! `show`: rows, filtered, ordered, counted.

mod filter;
mod fleet;
pub(crate) mod work;

use daisy_language::{Count, OrderBy, Show, Target, amount};
use daisy_ledger::State;

use crate::{Live, Table};

/// Rows one at a time, so that a filter keeps little of a large table.
type Sink<'a> = &'a mut dyn FnMut(Vec<String>);

/// Answers `show`.
pub(crate) fn show(state: &State, live: &Live, query: &Show) -> Table {
    let columns = query.target.columns();
    let position = |column: &str| columns.iter().position(|it| *it == column).unwrap_or(0);
    let mut table = Table::new(columns);
    let mut take = |row: Vec<String>| {
        let passes = query.filters.iter().all(|it| filter::passes(it, &row[position(it.column)]));
        if passes {
            table.rows.push(row);
        }
    };
    rows(state, live, query.target, &mut take);
    match query.count {
        Some(Count::All) => return count_all(&table),
        Some(Count::By(column)) => table = count_by(&table, position(column), column),
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

fn rows(state: &State, live: &Live, target: Target, sink: Sink<'_>) {
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

fn count_all(table: &Table) -> Table {
    Table { columns: vec!["count"], rows: vec![vec![table.rows.len().to_string()]] }
}

/// Values of a column with the number of their rows, the most frequent first.
fn count_by(table: &Table, at: usize, column: &'static str) -> Table {
    let mut values: Vec<&str> = table.rows.iter().map(|row| row[at].as_str()).collect();
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
