//! Evaluates filters on cells.

use std::cmp::Ordering;

use daisy_language::{Comparison, Filter, parse_amount};

use crate::table::NONE;

/// Returns whether `cell` passes the filter. A cell without a value (`-`) can pass only `=` and
/// `!=`.
pub(crate) fn passes(filter: &Filter, cell: &str) -> bool {
    let value = &*filter.value;
    let order = match (parse_amount(cell), parse_amount(value)) {
        (Some(a), Some(b)) if a.is_comparable(b) => a.cmp(&b),
        _ => cell.cmp(value),
    };
    match filter.comparison {
        Comparison::Equal => order == Ordering::Equal,
        Comparison::NotEqual => order != Ordering::Equal,
        _ if cell == NONE => false,
        Comparison::Below => order == Ordering::Less,
        Comparison::AtMost => order != Ordering::Greater,
        Comparison::Above => order == Ordering::Greater,
        Comparison::AtLeast => order != Ordering::Less,
        Comparison::Like => is_like(cell, value),
    }
}

/// Returns whether `text` matches `pattern`, in which `%` matches any text.
fn is_like(text: &str, pattern: &str) -> bool {
    let Some((first, rest)) = pattern.split_once('%') else { return text == pattern };
    let Some(mut text) = text.strip_prefix(first) else { return false };
    let mut parts: Vec<&str> = rest.split('%').collect();
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        let Some(at) = text.find(part) else { return false };
        text = &text[at + part.len()..];
    }
    text.ends_with(last)
}
