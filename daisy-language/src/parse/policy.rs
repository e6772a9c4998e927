//! `publish policy`.

use daisy_model::{Command, PolicyChange};

use crate::{
    Comparison,
    cursor::{Cursor, alternatives},
    token::Kind,
    value,
};

/// What may stand after a value; after a finding, reading goes on at the next one.
const STOPS: &[&str] = &[
    "tail",
    "throughput",
    "evictions",
    "retry-budget",
    "retry-window",
    "region-bytes",
    "throttle-above",
    "if",
];

/// The parts of the policy.
fn keys() -> &'static [&'static str] {
    &STOPS[..STOPS.len() - 1]
}

const THOUSANDTHS: &str = "thousandths from 0 to 1000";

/// The rest of `publish`.
pub(crate) fn publish(cursor: &mut Cursor<'_>) -> Option<Command> {
    cursor.expect("policy")?;
    if cursor.is_done() || cursor.is_word("if") {
        return cursor.fail(alternatives(keys()));
    }
    let mut change = PolicyChange::default();
    let mut seen: Vec<&str> = Vec::new();
    while !cursor.is_done() && !cursor.is_word("if") {
        let span = cursor.span();
        let Some(key) = cursor.one_of(keys()) else {
            cursor.skip();
            cursor.recover(STOPS);
            continue;
        };
        if seen.contains(&key) {
            cursor.fail_at::<()>(span, format!("'{key}' only once"));
        }
        seen.push(key);
        if set(cursor, &mut change, key).is_none() {
            cursor.recover(STOPS);
        }
    }
    Some(Command::Publish(change))
}

fn set(cursor: &mut Cursor<'_>, change: &mut PolicyChange, key: &str) -> Option<()> {
    if cursor.kind() != Some(Kind::Comparison(Comparison::Equal)) {
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
            let window = cursor.value("a time such as 120s", value::try_duration)?;
            change.retry_window = Some(window);
        }
        _ => {
            let bytes = cursor.value("bytes a second such as 1875000 or 1Mi", value::try_bytes)?;
            change.region_bytes = Some(bytes);
        }
    }
    Some(())
}

fn thousandths(cursor: &mut Cursor<'_>) -> Option<u32> {
    let in_range = |text: &str| value::try_count(text).filter(|it| *it <= 1_000);
    cursor.value(THOUSANDTHS, in_range)
}
