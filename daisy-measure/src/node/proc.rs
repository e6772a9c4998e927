//! Reads processor time and memory of a process from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time, user and system.
    pub processor_time: Duration,
    /// Resident memory.
    pub memory_bytes: u64,
}

/// Linux reports processor time to user space in hundredths of a second.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;
/// Positions of fields after the command's name, which ends with the last `)` of the line.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;

impl Usage {
    /// Reads the figures of process `pid`.
    ///
    /// # Errors
    ///
    /// If the process has ended, or its line has too few fields.
    pub fn of(pid: u32) -> anyhow::Result<Usage> {
        let path = format!("/proc/{pid}/stat");
        let text = std::fs::read_to_string(&path).with_context(|| format!("reading {path}"))?;
        let (_, rest) = text.rsplit_once(')').context("no command name in the process status")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let number = |at: usize| -> anyhow::Result<u64> {
            Ok(fields.get(at).context("too few fields in the process status")?.parse()?)
        };
        let ticks = number(USER_TICKS)? + number(SYSTEM_TICKS)?;
        Ok(Usage {
            processor_time: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
            memory_bytes: number(RESIDENT_PAGES)? * PAGE_BYTES,
        })
    }
}
