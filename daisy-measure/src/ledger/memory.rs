//! Reads the memory of this process.

use std::fs;

/// Returns the bytes of this process's resident memory, which the operating system states in pages of
/// 4 KiB.
///
/// Only the growth between two readings is meaningful, and only if nothing large is freed in between.
pub(crate) fn resident() -> anyhow::Result<u64> {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).unwrap_or_default();
    Ok(pages.parse::<u64>()? * PAGE)
}
