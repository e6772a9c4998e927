//! Parses `show`.

use crate::{
    Count, Filter, OrderBy, Show, TableKind,
    cursor::{Cursor, format_alternatives},
    value,
};

/// The words that start a clause, in the order in which clauses must be written.
const CLAUSES: &[&str] = &["where", "order", "limit", "count"];

/// Parses the rest of `show`.
pub(crate) fn show(cursor: &mut Cursor<'_>) -> Option<Show> {
    let target = target(cursor)?;
    let mut show = Show { target, filters: Vec::new(), order: None, limit: None, count: None };
    let mut next = 0;
    while !cursor.is_at_end() {
        let Some(index) = CLAUSES.iter().position(|word| cursor.is_word(word)) else {
            cursor.fail::<()>(format_alternatives(&CLAUSES[next..]));
            cursor.skip();
            cursor.skip_to(CLAUSES);
            continue;
        };
        // Clauses have a fixed order, so that equal queries have the same text.
        if index < next {
            let word = CLAUSES[index];
            cursor.fail::<()>(format!("'{word}' only once and before the clauses after it"));
        }
        next = next.max(index + 1);
        cursor.skip();
        if parse_clause(cursor, &mut show, CLAUSES[index]).is_none() {
            cursor.skip_to(CLAUSES);
        }
    }
    Some(show)
}

fn parse_clause(cursor: &mut Cursor<'_>, show: &mut Show, word: &str) -> Option<()> {
    match word {
        "where" => filters(cursor, show)?,
        "order" => show.order = Some(order(cursor, show.target)?),
        "limit" => show.limit = Some(cursor.value("a number of rows", value::parse_count)?),
        _ => show.count = Some(count(cursor, show.target)?),
    }
    Some(())
}

fn target(cursor: &mut Cursor<'_>) -> Option<TableKind> {
    let words = TableKind::ALL.map(TableKind::keyword);
    let word = cursor.expect_one_of(&words)?;
    TableKind::ALL.into_iter().find(|it| it.keyword() == word)
}

fn filters(cursor: &mut Cursor<'_>, show: &mut Show) -> Option<()> {
    loop {
        let column = column(cursor, show.target)?;
        let comparison = cursor.comparison()?;
        let value = cursor.literal()?;
        show.filters.push(Filter { column, comparison, value });
        if !cursor.accept("and") {
            return Some(());
        }
    }
}

fn column(cursor: &mut Cursor<'_>, target: TableKind) -> Option<&'static str> {
    cursor.expect_one_of(target.columns())
}

fn order(cursor: &mut Cursor<'_>, target: TableKind) -> Option<OrderBy> {
    cursor.expect("by")?;
    let column = column(cursor, target)?;
    let descending = cursor.accept("desc");
    Some(OrderBy { column, descending })
}

fn count(cursor: &mut Cursor<'_>, target: TableKind) -> Option<Count> {
    if cursor.accept("by") { column(cursor, target).map(Count::By) } else { Some(Count::All) }
}
