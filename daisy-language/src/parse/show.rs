//! `show`.

use crate::{
    Count, Filter, OrderBy, Show, TableKind,
    cursor::{Cursor, alternatives},
    value,
};

const CLAUSES: &[&str] = &["where", "order", "limit", "count"];

/// The rest of `show`.
pub(crate) fn show(cursor: &mut Cursor<'_>) -> Option<Show> {
    let target = target(cursor)?;
    let mut show = Show { target, filters: Vec::new(), order: None, limit: None, count: None };
    let mut next = 0;
    while !cursor.is_done() {
        let Some(at) = CLAUSES.iter().position(|word| cursor.is_word(word)) else {
            cursor.fail::<()>(alternatives(&CLAUSES[next..]));
            cursor.skip();
            cursor.recover(CLAUSES);
            continue;
        };
        // Clauses have one order, so that equal queries look alike.
        if at < next {
            let word = CLAUSES[at];
            cursor.fail::<()>(format!("'{word}' only once and before the clauses after it"));
        }
        next = next.max(at + 1);
        cursor.skip();
        if clause(cursor, &mut show, CLAUSES[at]).is_none() {
            cursor.recover(CLAUSES);
        }
    }
    Some(show)
}

fn clause(cursor: &mut Cursor<'_>, show: &mut Show, word: &str) -> Option<()> {
    match word {
        "where" => filters(cursor, show)?,
        "order" => show.order = Some(order(cursor, show.target)?),
        "limit" => show.limit = Some(cursor.value("a number of rows", value::try_count)?),
        _ => show.count = Some(count(cursor, show.target)?),
    }
    Some(())
}

fn target(cursor: &mut Cursor<'_>) -> Option<TableKind> {
    let words = TableKind::ALL.map(TableKind::word);
    let word = cursor.one_of(&words)?;
    TableKind::ALL.into_iter().find(|it| it.word() == word)
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
    cursor.one_of(target.columns())
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
