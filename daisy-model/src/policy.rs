//! The published configuration that steers policy.

use std::time::Duration;

/// What counts how much, in thousandths; tail latency always goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Weight of the services' tail latency.
    pub tail: u32,
    /// Weight of batch throughput.
    pub throughput: u32,
    /// Weight of evictions.
    pub evictions: u32,
}

/// Policy in force; published through the log, one version at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// What counts how much.
    pub objective: Objective,
    /// Share of recent successes that retries and hedges may add, in thousandths.
    pub retry_budget: u32,
    /// How long the answer of a keyed request is kept for retries.
    pub retry_window: Duration,
    /// Bytes per second that requests may move over the region link.
    pub region_bytes: u64,
    /// Processor use of a worker above which batch work is throttled, in thousandths.
    pub throttle_above: u32,
}

impl Default for Policy {
    /// The values of `docs/OPERATING.md`.
    fn default() -> Policy {
        Policy {
            objective: Objective { tail: 800, throughput: 150, evictions: 50 },
            retry_budget: 100,
            retry_window: Duration::from_secs(120),
            // Half of 30 Mbit/s: the other half is left to the users' own traffic.
            region_bytes: 1_875_000,
            throttle_above: 800,
        }
    }
}
