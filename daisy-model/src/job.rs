//! Services and batch jobs as operators declare them.

use std::{fmt, time::Duration};

use crate::{Name, Resources};

/// Whether a job answers requests or runs to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Answers requests until it is cancelled.
    Service,
    /// Runs to its end.
    Batch,
}

/// Which work goes first; a later variant goes before an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Whenever there is room.
    Low,
    /// Ordinary batch work.
    Normal,
    /// Starts within 3.5 s (the users' size plan); may evict what is declared evictable.
    Urgent,
    /// Latency-critical services.
    Critical,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Priority; 4] =
        [Priority::Low, Priority::Normal, Priority::Urgent, Priority::Critical];
}

impl fmt::Display for Priority {
    /// The operators' word for the priority.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::Urgent => "urgent",
            Priority::Critical => "critical",
        })
    }
}

/// What the operators allow to be done to a job's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tolerance {
    /// May wait or be throttled.
    pub delay: bool,
    /// May be checkpointed, stopped and resumed.
    pub evict: bool,
    /// May be refused for good when there is no room.
    pub refuse: bool,
}

/// A service or batch job as declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Unique among jobs that are not cancelled.
    pub name: Name,
    /// The team whose quota the job counts against.
    pub team: Name,
    /// Service or batch.
    pub kind: JobKind,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What each task takes, as declared.
    pub size: Resources,
    /// Which work goes first.
    pub priority: Priority,
    /// What may be done to the work.
    pub tolerance: Tolerance,
    /// Whether a task whose fate is unknown may run again from its start.
    pub restartable: bool,
    /// Declared run time of a batch task; `None` if not declared.
    pub run_time: Option<Duration>,
    /// Data centres in order of preference; empty for all.
    pub data_centres: Vec<Name>,
    /// Bytes that a task moves over the region link if it runs away from its first data centre.
    pub region_bytes: u64,
}
