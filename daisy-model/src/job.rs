//! Services and batch jobs as operators declare them.

use std::{fmt, time::Duration};

use crate::{Name, Resources};

/// Whether a job answers requests or runs to completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Answers requests until it is cancelled.
    Service,
    /// Runs to completion.
    Batch,
}

/// The order in which work is placed; a later variant has a higher priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Runs when there is free capacity.
    Low,
    /// Regular batch work.
    Normal,
    /// Must start within 3.5 s (the users' size plan); may evict work that is declared evictable.
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
    /// Writes the name that operators use for the priority.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::Urgent => "urgent",
            Priority::Critical => "critical",
        })
    }
}

/// What the scheduler may do to the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tolerance {
    /// Tasks may wait or be throttled.
    pub delay: bool,
    /// Tasks may be checkpointed, stopped and resumed later.
    pub evict: bool,
    /// Tasks may be refused permanently when there is no capacity.
    pub refuse: bool,
}

/// A service or batch job as operators declare it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// The name; unique among jobs that are not cancelled and have not ended.
    pub name: Name,
    /// The team whose quota the job uses.
    pub team: Name,
    /// Service or batch.
    pub kind: JobKind,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// The declared size of each task.
    pub size: Resources,
    /// The priority of the job's tasks.
    pub priority: Priority,
    /// What the scheduler may do to the tasks.
    pub tolerance: Tolerance,
    /// Whether a task whose outcome is unknown may run again from the beginning.
    pub restartable: bool,
    /// The declared run time of a batch task; `None` if not declared.
    pub run_time: Option<Duration>,
    /// The allowed data centres in order of preference; empty for all.
    pub data_centres: Vec<Name>,
    /// The bytes that a task transfers over the region link if it runs outside its first data
    /// centre.
    pub region_bytes: u64,
}
