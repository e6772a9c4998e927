//! The policy that operators publish.

use std::time::Duration;

/// The weights of the scheduling objectives, in thousandths; tail latency always has precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// The weight of the services' tail latency.
    pub tail: u32,
    /// The weight of batch throughput.
    pub throughput: u32,
    /// The weight of evictions.
    pub evictions: u32,
}

/// A version of the policy; published through the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// The weights of the scheduling objectives.
    pub objective: Objective,
    /// The number of retries and hedges allowed per thousand recent successes.
    pub retry_budget: u32,
    /// How long the answer to a request with a key is stored for retries.
    pub retry_window: Duration,
    /// The bytes per second that requests may transfer over the region link.
    pub region_bytes: u64,
    /// The processor use of a worker above which batch work is throttled, in thousandths.
    pub throttle_above: u32,
}

impl Default for Policy {
    /// Returns the default values, which `docs/OPERATING.md` lists.
    fn default() -> Policy {
        Policy {
            objective: Objective { tail: 800, throughput: 150, evictions: 50 },
            retry_budget: 100,
            retry_window: Duration::from_secs(120),
            // Half of 30 Mbit/s; the other half is reserved for the users' own traffic.
            region_bytes: 1_875_000,
            throttle_above: 800,
        }
    }
}

/// New values of some parts of the policy; absent parts stay unchanged.
///
/// If two operators publish different parts at the same time, both changes therefore take effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PolicyChange {
    /// See [`Objective::tail`].
    pub tail: Option<u32>,
    /// See [`Objective::throughput`].
    pub throughput: Option<u32>,
    /// See [`Objective::evictions`].
    pub evictions: Option<u32>,
    /// See [`Policy::retry_budget`].
    pub retry_budget: Option<u32>,
    /// See [`Policy::retry_window`].
    pub retry_window: Option<Duration>,
    /// See [`Policy::region_bytes`].
    pub region_bytes: Option<u64>,
    /// See [`Policy::throttle_above`].
    pub throttle_above: Option<u32>,
}

impl PolicyChange {
    /// Returns `policy` with this change applied.
    pub fn apply(&self, policy: &Policy) -> Policy {
        let Objective { tail, throughput, evictions } = policy.objective;
        Policy {
            objective: Objective {
                tail: self.tail.unwrap_or(tail),
                throughput: self.throughput.unwrap_or(throughput),
                evictions: self.evictions.unwrap_or(evictions),
            },
            retry_budget: self.retry_budget.unwrap_or(policy.retry_budget),
            retry_window: self.retry_window.unwrap_or(policy.retry_window),
            region_bytes: self.region_bytes.unwrap_or(policy.region_bytes),
            throttle_above: self.throttle_above.unwrap_or(policy.throttle_above),
        }
    }
}

impl From<&Policy> for PolicyChange {
    fn from(policy: &Policy) -> PolicyChange {
        PolicyChange {
            tail: Some(policy.objective.tail),
            throughput: Some(policy.objective.throughput),
            evictions: Some(policy.objective.evictions),
            retry_budget: Some(policy.retry_budget),
            retry_window: Some(policy.retry_window),
            region_bytes: Some(policy.region_bytes),
            throttle_above: Some(policy.throttle_above),
        }
    }
}
