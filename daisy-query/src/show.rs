//! `show`: collects the rows of a table, and filters, sorts or counts them.

mod filter;
mod fleet;
pub(crate) mod work;

use daisy_language::{Count, OrderBy, Show, TableKind, parse_amount};
use daisy_ledger::State;

use crate::{LiveView, Table};

/// A row: returns the cell of a column, computed on demand.
type Row<'a> = &'a dyn Fn(&str) -> String;

/// Receives rows one at a time. In a large table, filters reject most rows after reading one or
/// two of their cells, so the other cells are never computed.
type Sink<'a> = &'a mut dyn FnMut(Row<'_>);

/// Answers `show`.
pub(crate) fn show(state: &State, live: &LiveView, query: &Show) -> Table {
    let columns = output_columns(query);
    let mut table = Table::new(&columns);
    let mut matches = 0;
    let mut add_row = |row: Row<'_>| {
        if query.filters.iter().all(|it| filter::passes(it, &row(it.column))) {
            matches += 1;
            if !columns.is_empty() {
                table.rows.push(columns.iter().map(|column| row(column)).collect());
            }
        }
    };
    visit_rows(state, live, query.target, &mut add_row);
    match query.count {
        Some(Count::All) => return count_all(matches),
        Some(Count::By(column)) => table = count_by(&table, column),
        None => {}
    }
    if let Some(OrderBy { column, descending }) = query.order {
        let index = table.columns.iter().position(|it| *it == column);
        sort(&mut table, index, descending);
    }
    if let Some(limit) = query.limit {
        table.rows.truncate(limit as usize);
    }
    table
}

/// Returns the columns whose cells are needed for the answer.
fn output_columns(query: &Show) -> Vec<&'static str> {
    match query.count {
        Some(Count::All) => Vec::new(),
        Some(Count::By(column)) => vec![column],
        None => query.target.columns().to_vec(),
    }
}

fn visit_rows(state: &State, live: &LiveView, target: TableKind, sink: Sink<'_>) {
    match target {
        TableKind::Tasks => work::tasks(state, live, sink),
        TableKind::Jobs => work::jobs(state, |_| true, sink),
        TableKind::Services => work::jobs(state, work::is_service, sink),
        TableKind::Teams => work::teams(state, sink),
        TableKind::Workers => fleet::workers(state, live, sink),
        TableKind::Vms => fleet::vms(state, live, sink),
        TableKind::Holders => fleet::holders(state, live, sink),
        TableKind::Config => work::config(state, sink),
        TableKind::Changes => work::changes(state, sink),
    }
}

fn count_all(matches: usize) -> Table {
    Table { columns: vec!["count"], rows: vec![vec![matches.to_string()]] }
}

/// Returns the values of the only column of `table` with their numbers of rows, the most frequent
/// first.
fn count_by(table: &Table, column: &'static str) -> Table {
    let mut values: Vec<&str> = table.rows.iter().map(|row| row[0].as_str()).collect();
    values.sort_unstable();
    let groups = values.chunk_by(|a, b| a == b);
    let mut counts: Vec<(usize, &str)> = groups.map(|group| (group.len(), group[0])).collect();
    counts.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    let rows = counts.iter().map(|(count, value)| vec![(*value).to_owned(), count.to_string()]);
    Table { columns: vec![column, "count"], rows: rows.collect() }
}

/// Sorts by the column at index `column`: numbers first, by value, then texts. `None` means that
/// `count` has removed the column; the order stays as it is then.
fn sort(table: &mut Table, column: Option<usize>, descending: bool) {
    let Some(column) = column else { return };
    table.rows.sort_by_cached_key(|row| {
        let number = parse_amount(&row[column]);
        (number.is_none(), number, row[column].clone())
    });
    if descending {
        table.rows.reverse();
    }
}
