//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time, user and system.
    pub processor: Duration,
    /// Resident memory.
    pub memory_bytes: u64,
}

/// Linux counts processor time in hundredths of a second towards user space.
const TICKS_A_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;
/// Positions after the command's name, which ends with the last `)` of the line.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

impl Usage {
    /// Reads the figures of process `pid`.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn of(pid: u32) -> anyhow::Result<Usage> {
        let path = format!("/proc/{pid}/stat");
        let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
        let (_, rest) = text.rsplit_once(')').context("no command's name")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let number = |at: usize| -> anyhow::Result<u64> {
            Ok(fields.get(at).context("a short line")?.parse()?)
        };
        let ticks = number(USER_TICKS)? + number(SYSTEM_TICKS)?;
        Ok(Usage {
            processor: Duration::from_millis(ticks * 1000 / TICKS_A_SECOND),
            memory_bytes: number(RESIDENT_PAGES)? * PAGE_BYTES,
        })
    }
}
