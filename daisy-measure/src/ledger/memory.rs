//! Memory of this process.

use std::fs;

/// Bytes of memory that this process has resident, from the operating system; pages of 4 KiB.
///
/// Only growth between two readings says something, and only while nothing large is freed.
pub(crate) fn resident() -> anyhow::Result<u64> {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).unwrap_or_default();
    Ok(pages.parse::<u64>()? * PAGE)
}
