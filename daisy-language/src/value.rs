//! Numbers with units.

use std::time::Duration;

use winnow::{
    Parser, Result,
    ascii::{alpha0, digit1},
    combinator::{opt, preceded},
};

/// Decimals after the point that a number may have.
const MAX_DECIMALS: usize = 3;

/// A number as written: whole thousandths and a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Written<'s> {
    negative: bool,
    thousandths: u128,
    unit: &'s str,
}

fn written<'s>(input: &mut &'s str) -> Result<Written<'s>> {
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
            Some(Written { negative: minus.is_some(), thousandths, unit })
        })
        .parse_next(input)
}

fn try_written(text: &str) -> Option<Written<'_>> {
    written.parse(text).ok().filter(|it| !it.negative || it.thousandths == 0)
}

/// Processors in thousandths of a core: `500m`, `2`, `1.5`.
pub(crate) fn try_cpu(text: &str) -> Option<u32> {
    let it = try_written(text)?;
    let millis = match it.unit {
        "" => it.thousandths,
        "m" if it.thousandths.is_multiple_of(1_000) => it.thousandths / 1_000,
        _ => return None,
    };
    u32::try_from(millis).ok()
}

/// Memory in MiB: `512Mi`, `4Gi`, `1.5Gi`, `1Ti`.
pub(crate) fn try_memory(text: &str) -> Option<u32> {
    let it = try_written(text)?;
    let mebibytes = match it.unit {
        "Mi" => 1_u128,
        "Gi" => 1 << 10,
        "Ti" => 1 << 20,
        _ => return None,
    };
    whole(it.thousandths.checked_mul(mebibytes)?).and_then(|it| u32::try_from(it).ok())
}

/// Bytes: `1500`, `10Ki`, `3Mi`, `1Gi`.
pub(crate) fn try_bytes(text: &str) -> Option<u64> {
    let it = try_written(text)?;
    let unit = match it.unit {
        "" => 1_u128,
        "Ki" => 1 << 10,
        "Mi" => 1 << 20,
        "Gi" => 1 << 30,
        "Ti" => 1 << 40,
        _ => return None,
    };
    whole(it.thousandths.checked_mul(unit)?).and_then(|it| u64::try_from(it).ok())
}

/// A time: `500ms`, `90s`, `1.5s`, `5m`, `2h`; to the millisecond.
pub(crate) fn try_duration(text: &str) -> Option<Duration> {
    let it = try_written(text)?;
    let unit_millis = match it.unit {
        "ms" => 1_u128,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    let millis = whole(it.thousandths.checked_mul(unit_millis)?)?;
    u64::try_from(millis).ok().map(Duration::from_millis)
}

/// A whole number without a unit.
pub(crate) fn try_count<T: TryFrom<u128>>(text: &str) -> Option<T> {
    let it = try_written(text)?;
    let count = if it.unit.is_empty() { whole(it.thousandths)? } else { return None };
    T::try_from(count).ok()
}

fn whole(thousandths: u128) -> Option<u128> {
    thousandths.is_multiple_of(1_000).then_some(thousandths / 1_000)
}

/// What kind of thing an [`Amount`] counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Dimension {
    Number,
    Bytes,
    Time,
}

/// A value of a table that compares as a number: a count, processors, bytes or a time.
///
/// The order puts counts before bytes before times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Amount {
    dimension: Dimension,
    micros: u128,
}

impl Amount {
    /// Whether both count the same kind of thing.
    pub fn is_comparable(self, rhs: Amount) -> bool {
        self.dimension == rhs.dimension
    }
}

/// The amount that `text` stands for, `None` if it is no number with a known unit.
///
/// `500m` is half a processor as in sizes, not minutes.
pub fn amount(text: &str) -> Option<Amount> {
    let it = try_written(text)?;
    let (dimension, micros) = match it.unit {
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
    Some(Amount { dimension, micros: it.thousandths.checked_mul(micros)? })
}
