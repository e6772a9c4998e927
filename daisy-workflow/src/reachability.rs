//! Whether the log was unreachable, judged by the reads of one VM.

use std::time::Duration;

use daisy_model::Instant;

/// The log is treated as unreachable after this time without an answered read, if a read failed
/// meanwhile: owners write heartbeats more often than this.
const OUTAGE_MIN: Duration = Duration::from_millis(700);

/// After this time without an answered read, missing heartbeats say nothing about an owner. It
/// covers the longest wait for a record, the longest pause between two reads, and a slow response.
const READ_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The reachability of the log, judged by reads of a topic that owners write to continuously.
#[derive(Debug, Clone, Default)]
pub struct LogReachability {
    read_at: Instant,
    has_failed_read: bool,
    recovered_at: Instant,
}

impl LogReachability {
    /// Records that a read failed.
    pub fn read_failed(&mut self) {
        self.has_failed_read = true;
    }

    /// Records that a read was answered at `now`.
    pub fn read_answered(&mut self, now: Instant) {
        if std::mem::take(&mut self.has_failed_read) && now.since(self.read_at) > OUTAGE_MIN {
            self.recovered_at = now;
        }
        self.read_at = now;
    }

    /// Returns whether missing heartbeats show the loss of an owner rather than of the log: a read
    /// was answered recently, and one since `lost_at`, when the log last left another call
    /// unanswered.
    pub fn can_detect_lost_owner(&self, now: Instant, lost_at: Instant) -> bool {
        self.read_at > lost_at && now.since(self.read_at) < READ_AGE_MAX
    }

    /// Returns when the log last became reachable again. Until then, no owner could write a
    /// heartbeat.
    pub fn recovered_at(&self) -> Instant {
        self.recovered_at
    }
}
