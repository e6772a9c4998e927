//! Budgets that limit load which would otherwise grow without bound.

use daisy_model::Instant;

/// Retries that a service may make before it has answered any request.
const INITIAL_RETRIES: f64 = 10.0;
/// Maximum number of retries that a service can save up; with a higher limit, an earlier calm
/// period would pay for the retries of an outage.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Budget of retries and hedges of a service: a share of its recent successes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that holds only the initial retries.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_RETRIES }
    }

    /// Adds `share_per_mille` thousandths of a retry for a success.
    pub(crate) fn earn(&mut self, share_per_mille: u32) {
        self.tokens = (self.tokens + f64::from(share_per_mille) / 1_000.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Puts back a retry that was taken from the budget but not made.
    pub(crate) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_SAVED_RETRIES);
    }
}

/// Bytes that may be sent over the region link: a token bucket that holds one second of the rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ByteBudget {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(crate) fn new(per_second: u64, now: Instant) -> ByteBudget {
        let per_second = per_second as f64;
        ByteBudget { per_second, tokens: per_second, refilled_at: now }
    }

    /// Changes the rate; saved bytes remain available up to the new size.
    pub(crate) fn set_rate(&mut self, per_second: u64, now: Instant) {
        self.refill(now);
        self.per_second = per_second as f64;
        self.tokens = self.tokens.min(self.per_second);
    }

    /// Returns whether `bytes` may be sent now.
    pub(crate) fn allows(&mut self, bytes: u64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= bytes as f64 && self.tokens > 0.0
    }

    /// Takes `bytes`; the balance becomes negative if an answer was longer than estimated.
    pub(crate) fn spend(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second);
        self.refilled_at = self.refilled_at.max(now);
    }
}
