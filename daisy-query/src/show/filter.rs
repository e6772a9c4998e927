//! Whether a cell passes a filter.

use std::cmp::Ordering;

use daisy_language::{Filter, Test, amount};

use crate::table::NONE;

/// Whether `cell` passes; what is not known passes only `=` and `!=`.
pub(crate) fn passes(filter: &Filter, cell: &str) -> bool {
    let value = &*filter.value;
    let order = match (amount(cell), amount(value)) {
        (Some(a), Some(b)) if a.is_comparable(b) => a.cmp(&b),
        _ => cell.cmp(value),
    };
    match filter.test {
        Test::Equal => order == Ordering::Equal,
        Test::NotEqual => order != Ordering::Equal,
        _ if cell == NONE => false,
        Test::Below => order == Ordering::Less,
        Test::AtMost => order != Ordering::Greater,
        Test::Above => order == Ordering::Greater,
        Test::AtLeast => order != Ordering::Less,
        Test::Like => like(cell, value),
    }
}

/// Whether `text` is `pattern`, in which `%` stands for any text.
fn like(text: &str, pattern: &str) -> bool {
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
