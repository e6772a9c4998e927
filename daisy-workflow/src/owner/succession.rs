//! Which of several owners may renew leases, while not all of them hear of each other.
//!
//! An owner that the log does not hear cannot tell whether another has taken its place: it goes on
//! renewing for a while, and the next one waits as long.

use std::time::Duration;

use daisy_model::Instant;

use super::Owner;

/// How long an owner whose writes the log does not take goes on renewing leases.
///
/// An outage of the platform must not end the work that runs: the contract's last up to 9 s.
const RENEW_ALONE_MAX: Duration = Duration::from_secs(10);

/// When an owner began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimed {
    /// A time before its claim was sent.
    pub at: Instant,
    /// No owner before it can renew anything any more.
    pub alone: bool,
}

/// What an owner knows of those before and after it.
#[derive(Debug)]
pub(super) struct Succession {
    /// When what the log last took was sent.
    appended_at: Instant,
    /// When the log had first refused all owners before.
    fenced_at: Option<Instant>,
    /// From when on no owner before renews anything, once that is known.
    settled_at: Option<Instant>,
}

impl Succession {
    pub(super) fn new(now: Instant, claimed: Claimed) -> Succession {
        Succession {
            appended_at: claimed.at,
            fenced_at: None,
            settled_at: claimed.alone.then_some(now),
        }
    }

    /// The log has taken what was sent at `sent_at`.
    pub(super) fn taken(&mut self, sent_at: Instant) {
        self.appended_at = self.appended_at.max(sent_at);
    }

    /// How long ago what the log last took was sent.
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        now.since(self.appended_at)
    }
}

impl Owner {
    /// The log has taken a sign of life that was sent at `sent_at`: it refuses all owners before.
    pub(super) fn reached(&mut self, now: Instant, sent_at: Instant) {
        self.succession.taken(sent_at);
        self.succession.fenced_at.get_or_insert(now);
    }

    /// Whether leases may be renewed: nobody else can count them as over yet.
    pub(super) fn may_renew(&self, now: Instant) -> bool {
        self.succession.silent_for(now) <= RENEW_ALONE_MAX
    }

    /// Notes when no owner before can renew anything any more.
    pub(super) fn settle(&mut self, now: Instant) {
        if self.succession.settled_at.is_some() {
            return;
        }
        let Some(fenced_at) = self.succession.fenced_at else { return };
        let over = fenced_at + RENEW_ALONE_MAX;
        if now >= over {
            self.succession.settled_at = Some(over);
        }
    }

    /// When all leases that an owner before may have renewed have run out, if that is known.
    pub(super) fn try_inherited_until(&self) -> Option<Instant> {
        let lease = self.settings.lease;
        self.succession.settled_at.map(|it| it + lease + lease / 20)
    }

    /// When they have run out at the latest, if the log goes on answering.
    pub(super) fn inherited_until(&self, now: Instant) -> Instant {
        let it = &self.succession;
        let lease = self.settings.lease;
        let settled_at = it.settled_at.unwrap_or(it.fenced_at.unwrap_or(now) + RENEW_ALONE_MAX);
        settled_at + lease + lease / 20
    }

    /// Whether no owner before this one can renew anything, and what they renewed has run out by any
    /// worker's clock.
    pub fn is_settled(&self, now: Instant) -> bool {
        let longest = self.settings.lease_max + self.settings.lease_max / 10;
        self.succession.settled_at.is_some_and(|it| now >= it + longest)
    }
}
