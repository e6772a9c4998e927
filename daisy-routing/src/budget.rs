//! Budgets that are spent by what would otherwise add load without bound.

use daisy_model::Instant;

/// Retries that a service may make before it has answered anything.
const INITIAL_RETRIES: f64 = 10.0;
/// Retries that a service can have saved up; longer memory would let an old calm pay for a storm.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Retries and hedges that a service may still add: a share of its recent successes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget with its reserve only.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_RETRIES }
    }

    /// Earns `share` thousandths of a retry by a success.
    pub(crate) fn earn(&mut self, share_per_mille: u32) {
        self.tokens = (self.tokens + f64::from(share_per_mille) / 1_000.0).min(MAX_SAVED_RETRIES);
    }

    /// Whether a retry is left; takes it.
    pub(crate) fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Gives back a retry that was not made after all.
    pub(crate) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_SAVED_RETRIES);
    }
}

/// Bytes that may move over the region link: a token bucket of one second's worth.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ByteBudget {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// A full bucket.
    pub(crate) fn new(per_second: u64, now: Instant) -> ByteBudget {
        let per_second = per_second as f64;
        ByteBudget { per_second, tokens: per_second, refilled_at: now }
    }

    /// Changes the rate; what is saved stays, up to the new size.
    pub(crate) fn set_rate(&mut self, per_second: u64, now: Instant) {
        self.refill(now);
        self.per_second = per_second as f64;
        self.tokens = self.tokens.min(self.per_second);
    }

    /// Whether `bytes` may move now.
    pub(crate) fn allows(&mut self, bytes: u64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= bytes as f64 && self.tokens > 0.0
    }

    /// Takes `bytes`, into debt where an answer was longer than foreseen.
    pub(crate) fn spend(&mut self, bytes: u64) {
        self.tokens -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.per_second);
        self.refilled_at = self.refilled_at.max(now);
    }
}
