//! How long a VM waits for a large response from the log.

use std::time::Duration;

use daisy_model::Instant;

/// The interval between checks of whether the log has answered other calls. Reads that wait for a
/// record are answered about as often.
const CHECK_INTERVAL: Duration = Duration::from_millis(900);
/// The timeout of the first try. It is bounded as a response may also be lost, and then only
/// another try helps.
const TIMEOUT_MIN: Duration = Duration::from_millis(2_700);

/// The timeout of a read whose response may be large.
///
/// On a slow log such a response takes longer than any other, and each try transfers it from the
/// start. So a try goes on while the log answers other calls, and each try that times out makes the
/// next one's timeout longer.
#[derive(Debug, Clone, Default)]
pub struct LargeReadTimeout {
    /// Tries that timed out although the log answered other calls.
    timed_out_tries: u32,
    started_at: Instant,
    check_at: Instant,
    /// Calls that the log had answered at the last check.
    answered_calls: u64,
}

impl LargeReadTimeout {
    /// The longest timeout of a try.
    pub const TIMEOUT_MAX: Duration = Duration::from_millis(8_100);

    /// Starts a try at `now`, when the log has answered `answered_calls` calls. If the log answers
    /// none within `unresponsive_after`, the try is given up.
    pub fn begin(&mut self, now: Instant, unresponsive_after: Duration, answered_calls: u64) {
        self.started_at = now;
        self.check_at = now + unresponsive_after;
        self.answered_calls = answered_calls;
    }

    /// Returns how long to wait before the next call of this function, or `None` if the try is to
    /// be given up.
    pub fn try_wait(&mut self, now: Instant, answered_calls: u64) -> Option<Duration> {
        if now >= self.check_at {
            if answered_calls == self.answered_calls {
                return None;
            }
            self.check_at = now + CHECK_INTERVAL;
            self.answered_calls = answered_calls;
        }
        let timeout =
            (TIMEOUT_MIN * 2u32.saturating_pow(self.timed_out_tries)).min(Self::TIMEOUT_MAX);
        let remaining = timeout.saturating_sub(now.since(self.started_at));
        if remaining.is_zero() {
            self.timed_out_tries += 1;
            return None;
        }
        Some(remaining.min(self.check_at.since(now)))
    }

    /// Returns whether a try was given up because the response took too long, rather than because
    /// the log was unresponsive.
    pub fn has_timed_out(&self) -> bool {
        self.timed_out_tries > 0
    }
}
