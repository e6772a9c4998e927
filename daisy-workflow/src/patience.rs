//! How long one VM waits for a large answer of the log.

use std::time::Duration;

use daisy_model::Instant;

/// Between looks at whether the log has answered other calls. Reads that wait for a record are
/// answered about as often.
const LOOK_EVERY: Duration = Duration::from_millis(900);
/// How long the first try may last. An answer may also be lost, and then only the next try helps.
const BOUND_MIN: Duration = Duration::from_millis(2_700);

/// How long a read is waited for whose answer may be large.
///
/// From a slow log such an answer takes longer than any other, and each try begins it anew. So it is
/// waited for while the log answers other calls, in each try for longer than in the last.
#[derive(Debug, Clone, Default)]
pub struct LargeReadTimeout {
    /// Tries that were given up though the log answered other calls.
    given_up: u32,
    began: Instant,
    look_at: Instant,
    /// Calls that the log had answered at the last look.
    answered: u64,
}

impl LargeReadTimeout {
    /// The longest that a try may last.
    pub const TIMEOUT_MAX: Duration = Duration::from_millis(8_100);

    /// A try begins at `now`, when the log has answered `answered` calls. If it answers none for
    /// `silent_after`, it is silent, and the try in vain.
    pub fn begin(&mut self, now: Instant, silent_after: Duration, answered: u64) {
        self.began = now;
        self.look_at = now + silent_after;
        self.answered = answered;
    }

    /// How long to wait on before this is asked again; `None` if the try is to be given up.
    pub fn try_wait(&mut self, now: Instant, answered: u64) -> Option<Duration> {
        if now >= self.look_at {
            if answered == self.answered {
                return None;
            }
            self.look_at = now + LOOK_EVERY;
            self.answered = answered;
        }
        let bound = (BOUND_MIN * 2u32.saturating_pow(self.given_up)).min(Self::TIMEOUT_MAX);
        let left = bound.saturating_sub(now.since(self.began));
        if left.is_zero() {
            self.given_up += 1;
            return None;
        }
        Some(left.min(self.look_at.since(now)))
    }

    /// Whether a try was given up as the answer took too long, not as the log was silent.
    pub fn has_timed_out(&self) -> bool {
        self.given_up > 0
    }
}
