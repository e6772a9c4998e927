//! Notices that the process was suspended, so that what it has read may be old.

use std::time::Duration;

use daisy_model::Instant;

/// The interval at which a running process notes that it runs.
pub(crate) const NOTE_INTERVAL: Duration = Duration::from_millis(100);
/// A process that has noted nothing for this long was suspended, or as good as. It is less than the
/// time within which an end must be visible at every VM, less the age of what a running VM has read.
const SUSPENSION_MIN: Duration = Duration::from_secs(2);

/// When the process last ran, and when it was last resumed.
#[derive(Debug, Default)]
pub(crate) struct Suspension {
    noted_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl Suspension {
    /// Notes that the process runs at `now`.
    pub fn note_running(&mut self, now: Instant) {
        let noted_at = self.noted_at.replace(now);
        if noted_at.is_some_and(|at| now.since(at) >= SUSPENSION_MIN) {
            self.resumed_at = Some(now);
        }
    }

    /// Returns whether the process was suspended after what it knows was read, by a call that it
    /// made at `requested_at`. A call that was under way during the suspension may have been answered
    /// at its beginning.
    pub fn is_after(&mut self, now: Instant, requested_at: Option<Instant>) -> bool {
        self.note_running(now);
        self.resumed_at.is_some_and(|at| requested_at.is_none_or(|it| it < at))
    }
}
