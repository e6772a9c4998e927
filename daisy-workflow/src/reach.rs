//! Whether the log was away, as the reads of one VM tell.

use std::time::Duration;

use daisy_model::Instant;

/// Time without an answered read, some of which failed, from which on the log counts as away: owners
/// give signs of life more often than this.
const AWAY: Duration = Duration::from_millis(700);

/// Time without an answered read from which on an owner's silence says nothing: the longest wait for a
/// record, the longest pause between two reads, and a slow answer.
const UNSURE: Duration = Duration::from_millis(1_500);

/// Reads of a topic that owners write to all the time.
#[derive(Debug, Clone, Default)]
pub struct LogReachability {
    read_at: Instant,
    failed: bool,
    recovered_at: Instant,
}

impl LogReachability {
    /// A read failed.
    pub fn read_failed(&mut self) {
        self.failed = true;
    }

    /// A read was answered at `now`.
    pub fn read(&mut self, now: Instant) {
        if std::mem::take(&mut self.failed) && now.since(self.read_at) > AWAY {
            self.recovered_at = now;
        }
        self.read_at = now;
    }

    /// Whether the silence of an owner can be told from that of the log: a read was answered a short
    /// while ago, and one since `lost_at`, when the log gave another call no answer.
    pub fn can_detect_lost_owner(&self, now: Instant, lost_at: Instant) -> bool {
        self.read_at > lost_at && now.since(self.read_at) < UNSURE
    }

    /// When the log was last back after it had been away. Before, no owner could show that it lives.
    pub fn recovered_at(&self) -> Instant {
        self.recovered_at
    }
}
