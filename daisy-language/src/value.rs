//! Parses numbers with units.

use std::time::Duration;

use winnow::{
    Parser, Result,
    ascii::{alpha0, digit1},
    combinator::{opt, preceded},
};

/// The maximum number of decimal places of a number.
const MAX_DECIMALS: usize = 3;

/// A number as written, in thousandths, and its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Number<'s> {
    negative: bool,
    thousandths: u128,
    unit: &'s str,
}

fn number<'s>(input: &mut &'s str) -> Result<Number<'s>> {
    let fraction = opt(preceded('.', digit1));
    (opt('-'), digit1, fraction, alpha0)
        .verify_map(|(minus, whole, fraction, unit): (_, &str, Option<&str>, &str)| {
            let fraction = fraction.unwrap_or_default();
            if fraction.len() > MAX_DECIMALS {
                return None;
            }
            let whole: u128 = whole.parse().ok()?;
            let fraction: u128 = format!("{fraction:0<MAX_DECIMALS$}").parse().ok()?;
            let thousandths = whole.checked_mul(1_000)?.checked_add(fraction)?;
            Some(Number { negative: minus.is_some(), thousandths, unit })
        })
        .parse_next(input)
}

fn parse_number(text: &str) -> Option<Number<'_>> {
    number.parse(text).ok().filter(|it| !it.negative || it.thousandths == 0)
}

/// Parses processors, such as `500m`, `2` or `1.5`, into thousandths of a core.
pub(crate) fn parse_cpu(text: &str) -> Option<u32> {
    let it = parse_number(text)?;
    let millis = match it.unit {
        "" => it.thousandths,
        "m" if it.thousandths.is_multiple_of(1_000) => it.thousandths / 1_000,
        _ => return None,
    };
    u32::try_from(millis).ok()
}

/// Parses memory, such as `512Mi`, `4Gi`, `1.5Gi` or `1Ti`, into MiB.
pub(crate) fn parse_memory(text: &str) -> Option<u32> {
    let it = parse_number(text)?;
    let mebibytes = match it.unit {
        "Mi" => 1_u128,
        "Gi" => 1 << 10,
        "Ti" => 1 << 20,
        _ => return None,
    };
    to_whole(it.thousandths.checked_mul(mebibytes)?).and_then(|it| u32::try_from(it).ok())
}

/// Parses a number of bytes, such as `1500`, `10Ki`, `3Mi` or `1Gi`.
pub(crate) fn parse_bytes(text: &str) -> Option<u64> {
    let it = parse_number(text)?;
    let unit = match it.unit {
        "" => 1_u128,
        "Ki" => 1 << 10,
        "Mi" => 1 << 20,
        "Gi" => 1 << 30,
        "Ti" => 1 << 40,
        _ => return None,
    };
    to_whole(it.thousandths.checked_mul(unit)?).and_then(|it| u64::try_from(it).ok())
}

/// Parses a duration, such as `500ms`, `90s`, `1.5s`, `5m` or `2h`, in whole milliseconds.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let it = parse_number(text)?;
    let unit_millis = match it.unit {
        "ms" => 1_u128,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    let millis = to_whole(it.thousandths.checked_mul(unit_millis)?)?;
    u64::try_from(millis).ok().map(Duration::from_millis)
}

/// Parses a whole number without a unit.
pub(crate) fn parse_count<T: TryFrom<u128>>(text: &str) -> Option<T> {
    let it = parse_number(text)?;
    let count = if it.unit.is_empty() { to_whole(it.thousandths)? } else { return None };
    T::try_from(count).ok()
}

/// Returns the number if it has no fraction.
fn to_whole(thousandths: u128) -> Option<u128> {
    thousandths.is_multiple_of(1_000).then_some(thousandths / 1_000)
}

/// The dimension of an [`Amount`]; amounts of different dimensions cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Dimension {
    Number,
    Bytes,
    Time,
}

/// A cell of a table that is compared as a number: a count, processors, bytes or a duration.
///
/// In the ordering, counts and processors come before bytes, and bytes before durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Amount {
    dimension: Dimension,
    /// Millionths of a count, a core, a byte or a second.
    millionths: u128,
}

impl Amount {
    /// Returns whether both amounts have the same dimension.
    pub fn is_comparable(self, rhs: Amount) -> bool {
        self.dimension == rhs.dimension
    }
}

/// Parses `text` as an amount; returns `None` if it is not a number with a known unit.
///
/// `500m` is half a processor, as in sizes, and not 500 minutes.
pub fn parse_amount(text: &str) -> Option<Amount> {
    let it = parse_number(text)?;
    let (dimension, factor) = match it.unit {
        "" => (Dimension::Number, 1_000),
        "m" => (Dimension::Number, 1),
        "Ki" => (Dimension::Bytes, 1_000 << 10),
        "Mi" => (Dimension::Bytes, 1_000 << 20),
        "Gi" => (Dimension::Bytes, 1_000 << 30),
        "Ti" => (Dimension::Bytes, 1_000 << 40),
        "ms" => (Dimension::Time, 1),
        "s" => (Dimension::Time, 1_000),
        "h" => (Dimension::Time, 3_600_000),
        _ => return None,
    };
    Some(Amount { dimension, millionths: it.thousandths.checked_mul(factor)? })
}
