//! Whether a partition of the log answers one VM, and what that VM sends it meanwhile.
//!
//! An append that gets no answer may be done all the same, also later: its caller can be told
//! neither yes nor no. So as few records as possible are sent to a log that has fallen silent. The
//! others wait here for a short while, and are then rejected, truthfully, as nothing was done for
//! them.

use std::time::Duration;

use daisy_model::Instant;

/// The shortest and the longest time that an append may take before its outcome counts as unknown.
const TIMEOUT_MIN: Duration = Duration::from_millis(500);
const TIMEOUT_MAX: Duration = Duration::from_millis(1_700);
/// The timeout, in times of what appends took of late; the longest after one that went unanswered.
const TIMEOUT_FACTOR: u32 = 6;
/// Appends under way at one time, so that one that hangs does not hold up the others.
const UNDER_WAY_MAX: usize = 2;
/// The same, with those that have been overtaken by reads.
const OVERTAKEN_MAX: usize = 4;
/// Appends that take longer than this go one at a time: the log takes them one after the other, so
/// more of them under way only make its queue longer.
const SLOW: Duration = Duration::from_millis(80);
/// An append under way for this many times what appends took of late counts as one that hangs.
const HANGS_FACTOR: u32 = 4;
/// An append for which reads that came so much later were answered is lost, or late by itself: the
/// shortest such time, and in times of what appends took of late.
const OVERTAKEN_AFTER: Duration = Duration::from_millis(500);
const OVERTAKEN_FACTOR: u32 = 2;
/// How long nothing may be answered before the log counts as silent.
const SILENT: Duration = Duration::from_millis(700);
/// Appends in a row that went unanswered while reads were answered, from which on the log counts as
/// silent to appends.
const DEAF_MIN: u32 = 2;
/// Between appends that are tried meanwhile, so that it shows when the log takes them again.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Owners write signs of life more often than this, and each VM reads them: after a longer time without
/// an answered read, the log is asked before a record is sent to it.
const READS_EXPECTED: Duration = Duration::from_millis(650);
/// How long the log is given to answer such a question, and between questions.
const ASK_TIMEOUT: Duration = Duration::from_millis(450);
const ASK_EVERY: Duration = Duration::from_millis(1_000);
/// How long a record waits unsent before its caller is told that nothing was done.
const UNSENT_MAX: Duration = Duration::from_millis(1_500);

/// What may be sent next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// All that waits, as one append with this timeout.
    All(Duration),
    /// Only records that were sent before and may be stored already, with this timeout.
    RetriesOnly(Duration),
    /// Nothing yet.
    Wait,
    /// A question, which any answer of the partition to is enough, within this time.
    Probe(Duration),
}

/// How a partition of the log answers a VM's appends.
#[derive(Debug, Clone, Default)]
pub struct LogHealth {
    /// What appends took of late that were answered.
    took: Duration,
    /// When each append under way began.
    under_way: Vec<Instant>,
    unanswered: Option<Unanswered>,
    /// When a read was last answered.
    read_at: Instant,
    /// When an append was last answered.
    appended_at: Instant,
    asked: Option<Asked>,
}

/// Questions that went unanswered since the last answer.
#[derive(Debug, Clone, Copy)]
struct Asked {
    first: Instant,
    last: Instant,
}

/// Appends that went unanswered since the last answer.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    /// When the first and the last of them began.
    first: Instant,
    last: Instant,
    /// How many of the others than the first were overtaken by reads that were answered.
    overtaken: u32,
}

impl LogHealth {
    /// A read of another partition was answered at `now`; such reads were last answered again after
    /// a while without any at `recovered_at`.
    ///
    /// It says nothing of an append that hangs here: a part of the log may be silent. What falls
    /// silent together comes back together.
    pub fn other_partition_read(&mut self, now: Instant, recovered_at: Instant) {
        let is_idle = self.under_way.is_empty() && self.unanswered.is_none();
        self.read(if is_idle { now } else { recovered_at });
    }

    /// A read of the partition was answered at `now`.
    pub fn read(&mut self, now: Instant) {
        self.read_at = self.read_at.max(now);
        self.asked.take_if(|it| it.first < self.read_at);
    }

    /// A question is sent, as [`next_send`](Silence::turn) or [`try_probe`](Silence::try_question) has
    /// said.
    pub fn begin_probe(&mut self, now: Instant) {
        let first = self.asked.map_or(now, |it| it.first);
        self.asked = Some(Asked { first, last: now });
    }

    /// An append begins, as [`next_send`](Silence::turn) has said.
    pub fn begin_append(&mut self, now: Instant) {
        self.under_way.push(now);
    }

    /// The append that began at `began` has ended, with or without an answer.
    pub fn end(&mut self, now: Instant, began: Instant, answered: bool) {
        if let Some(at) = self.under_way.iter().position(|it| *it == began) {
            self.under_way.swap_remove(at);
        }
        if answered {
            self.took = (self.took + now.since(began)) / 2;
            self.appended_at = now;
            self.unanswered = None;
            return;
        }
        let Some(it) = &mut self.unanswered else {
            self.unanswered = Some(Unanswered { first: began, last: began, overtaken: 0 });
            return;
        };
        it.last = it.last.max(began);
        it.overtaken = if self.read_at > began { it.overtaken + 1 } else { 0 };
    }

    /// What may be sent now.
    pub fn next_send(&self, now: Instant) -> SendDecision {
        let hangs_after = SLOW.max(self.took * HANGS_FACTOR);
        let hangs = |it: &&Instant| now.since(**it) > hangs_after;
        // A log that has answered reads since is not silent.
        let overtaken_after = self.overtaken_after();
        let overtaken = |it: &&Instant| self.read_at > **it + overtaken_after;
        let others = || self.under_way.iter().filter(|it| !overtaken(it));
        let most = if self.took > SLOW { 1 } else { UNDER_WAY_MAX };
        if others().any(|it| hangs(&it))
            || others().count() >= most
            || self.under_way.len() >= OVERTAKEN_MAX
        {
            return SendDecision::Wait;
        }
        let timeout = (self.took * TIMEOUT_FACTOR).clamp(TIMEOUT_MIN, TIMEOUT_MAX);
        let Some(it) = self.unanswered else {
            return match (self.is_quiet(now), self.try_probe(now)) {
                (true, Some(timeout)) => SendDecision::Probe(timeout),
                (true, None) => SendDecision::Wait,
                (false, _) => SendDecision::All(timeout),
            };
        };
        match it.is_unresponsive(now, self.read_at) || self.read_at <= it.last {
            true => SendDecision::RetriesOnly(TIMEOUT_MAX),
            false => SendDecision::All(TIMEOUT_MAX),
        }
    }

    /// How long a question may take that is due now, as it is not known whether the log answers.
    pub fn try_probe(&self, now: Instant) -> Option<Duration> {
        let after = self.overtaken_after();
        let hangs = |it: &Instant| now.since(*it) >= after && self.read_at <= *it + after;
        let unsure =
            self.has_unconfirmed_append() || self.is_quiet(now) || self.under_way.iter().any(hangs);
        let due = self.asked.is_none_or(|it| now.since(it.last) >= ASK_EVERY);
        (unsure && due).then_some(ASK_TIMEOUT)
    }

    /// Whether an append went unanswered and nothing was answered since.
    pub fn has_unconfirmed_append(&self) -> bool {
        self.unanswered.is_some_and(|it| self.read_at <= it.last)
    }

    /// Whether the log has fallen silent, so that waiting for it is of no use.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let asked = self.asked.is_some_and(|it| now.since(it.first) >= ASK_TIMEOUT);
        asked || self.unanswered.is_some_and(|it| it.is_unresponsive(now, self.read_at))
    }

    /// Whether the log may have fallen silent, as reads have not been answered for a while.
    fn is_quiet(&self, now: Instant) -> bool {
        let answered_at = self.read_at.max(self.appended_at);
        self.read_at > Instant::default() && now.since(answered_at) > READS_EXPECTED
    }

    fn overtaken_after(&self) -> Duration {
        OVERTAKEN_AFTER.max(self.took * OVERTAKEN_FACTOR)
    }

    /// Whether a record that has waited unsent since `since` is to be rejected.
    pub fn should_reject(&self, now: Instant, since: Instant) -> bool {
        self.is_unresponsive(now) || now.since(since) >= UNSENT_MAX
    }
}

impl Unanswered {
    fn is_unresponsive(&self, now: Instant, read_at: Instant) -> bool {
        let deaf = self.overtaken >= DEAF_MIN && now.since(self.last) < PROBE_EVERY * 2;
        deaf || read_at <= self.last && now.since(self.first) >= SILENT
    }
}
