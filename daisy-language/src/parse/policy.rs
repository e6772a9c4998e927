//! Parses `publish policy`.

use daisy_model::{Command, PolicyChange};

use crate::{
    Comparison,
    cursor::{Cursor, format_alternatives},
    token::TokenKind,
    value,
};

/// The words that may follow a value; after a finding, parsing continues at the next one.
const NEXT_WORDS: &[&str] = &[
    "tail",
    "throughput",
    "evictions",
    "retry-budget",
    "retry-window",
    "region-bytes",
    "throttle-above",
    "if",
];

/// Returns the keys of the policy.
fn keys() -> &'static [&'static str] {
    &NEXT_WORDS[..NEXT_WORDS.len() - 1]
}

const EXPECTED_THOUSANDTHS: &str = "thousandths from 0 to 1000";

/// Parses the rest of `publish`.
pub(crate) fn publish(cursor: &mut Cursor<'_>) -> Option<Command> {
    cursor.expect("policy")?;
    if cursor.is_at_end() || cursor.is_word("if") {
        return cursor.fail(format_alternatives(keys()));
    }
    let mut change = PolicyChange::default();
    let mut seen: Vec<&str> = Vec::new();
    while !cursor.is_at_end() && !cursor.is_word("if") {
        let span = cursor.span();
        let Some(key) = cursor.expect_one_of(keys()) else {
            cursor.skip();
            cursor.skip_to(NEXT_WORDS);
            continue;
        };
        if seen.contains(&key) {
            cursor.fail_at::<()>(span, format!("'{key}' only once"));
        }
        seen.push(key);
        if parse_value(cursor, &mut change, key).is_none() {
            cursor.skip_to(NEXT_WORDS);
        }
    }
    Some(Command::Publish(change))
}

fn parse_value(cursor: &mut Cursor<'_>, change: &mut PolicyChange, key: &str) -> Option<()> {
    if cursor.kind() != Some(TokenKind::Comparison(Comparison::Equal)) {
        return cursor.fail("'='");
    }
    cursor.skip();
    match key {
        "tail" => change.tail = Some(thousandths(cursor)?),
        "throughput" => change.throughput = Some(thousandths(cursor)?),
        "evictions" => change.evictions = Some(thousandths(cursor)?),
        "retry-budget" => change.retry_budget = Some(thousandths(cursor)?),
        "throttle-above" => change.throttle_above = Some(thousandths(cursor)?),
        "retry-window" => {
            let window = cursor.value("a time such as 120s", value::parse_duration)?;
            change.retry_window = Some(window);
        }
        _ => {
            let bytes =
                cursor.value("bytes a second such as 1875000 or 1Mi", value::parse_bytes)?;
            change.region_bytes = Some(bytes);
        }
    }
    Some(())
}

fn thousandths(cursor: &mut Cursor<'_>) -> Option<u32> {
    let in_range = |text: &str| value::parse_count(text).filter(|it| *it <= 1_000);
    cursor.value(EXPECTED_THOUSANDTHS, in_range)
}
