//! Whether a partition of the log responds to one VM, and what the VM may send to it.
//!
//! An append that gets no answer may still be stored, even later, so its caller can be told neither
//! that it succeeded nor that it failed. For this reason as few records as possible are sent to a
//! log that does not respond. The other records wait unsent for a short while and are then
//! rejected, which is accurate, as nothing was done for them.

use std::time::Duration;

use daisy_model::Instant;

/// The shortest and the longest timeout of an append. After it, the append's outcome is unknown.
const TIMEOUT_MIN: Duration = Duration::from_millis(500);
const TIMEOUT_MAX: Duration = Duration::from_millis(1_700);
/// The timeout as a multiple of the recent append time. After an unanswered append the longest
/// timeout applies.
const TIMEOUT_FACTOR: u32 = 6;
/// The maximum number of appends in flight; with more than one, an unanswered append does not delay
/// the others.
const IN_FLIGHT_MAX: usize = 2;
/// The most appends in flight when those that were overtaken by reads are included.
const IN_FLIGHT_WITH_OVERTAKEN_MAX: usize = 4;
/// Appends that take longer than this are sent one at a time: the log processes them one after the
/// other, so more of them in flight only make its queue longer.
const SLOW_APPEND: Duration = Duration::from_millis(80);
/// An append in flight for this many times the recent append time is treated as hanging.
const HUNG_FACTOR: u32 = 4;
/// An append is overtaken when a read was answered this long after the append began: it is lost or
/// delayed while the log responds. The minimum, and the multiple of the recent append time.
const OVERTAKEN_AFTER_MIN: Duration = Duration::from_millis(500);
const OVERTAKEN_FACTOR: u32 = 2;
/// The log is treated as unresponsive after this time without any answer.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);
/// The log is treated as unresponsive to appends once this many appends in a row went unanswered
/// while reads were answered.
const UNANSWERED_WHILE_READABLE_MIN: u32 = 2;
/// The interval between appends that are tried meanwhile to detect when the log accepts them again.
const APPEND_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Owners write heartbeats more often than this, and each VM reads them: after a longer time
/// without an answered read, the log is probed before a record is sent to it.
const READ_INTERVAL_MAX: Duration = Duration::from_millis(650);
/// The timeout of a probe, and the interval between probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a record may wait unsent before it is rejected, with nothing done for it.
const UNSENT_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// What may be sent to the log next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// All waiting records, as one append with this timeout.
    All(Duration),
    /// Only records that were sent before and may already be stored, with this timeout.
    RetriesOnly(Duration),
    /// Nothing yet.
    Wait,
    /// A probe, with this timeout; any answer of the partition is sufficient.
    Probe(Duration),
}

/// How a partition of the log responds to a VM's calls.
#[derive(Debug, Clone, Default)]
pub struct LogHealth {
    /// The smoothed duration of recently answered appends.
    recent_append_time: Duration,
    /// When each append in flight began.
    in_flight: Vec<Instant>,
    unanswered: Option<Unanswered>,
    /// When a read was last answered.
    last_read_at: Instant,
    /// When an append was last answered.
    last_append_at: Instant,
    probes: Option<Probes>,
}

/// Probes sent since the last answer.
#[derive(Debug, Clone, Copy)]
struct Probes {
    first: Instant,
    last: Instant,
}

/// Appends that went unanswered since the last answer.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    /// When the first and the last of them began.
    first: Instant,
    last: Instant,
    /// How many in a row, not counting the first, were followed by an answered read.
    overtaken: u32,
}

impl LogHealth {
    /// Records that a read of another partition was answered at `now`. `recovered_at` is when such
    /// reads were last answered again after an outage.
    ///
    /// The answer says nothing about an unanswered append to this partition, as only a part of the
    /// log may be unresponsive. But partitions that become unresponsive together recover together.
    pub fn other_partition_read_answered(&mut self, now: Instant, recovered_at: Instant) {
        let is_idle = self.in_flight.is_empty() && self.unanswered.is_none();
        self.read_answered(if is_idle { now } else { recovered_at });
    }

    /// Records that a read of this partition was answered at `now`.
    pub fn read_answered(&mut self, now: Instant) {
        self.last_read_at = self.last_read_at.max(now);
        self.probes.take_if(|it| it.first < self.last_read_at);
    }

    /// Records that a probe is sent, as [`next_send`](LogHealth::next_send) or
    /// [`try_probe`](LogHealth::try_probe) decided.
    pub fn begin_probe(&mut self, now: Instant) {
        let first = self.probes.map_or(now, |it| it.first);
        self.probes = Some(Probes { first, last: now });
    }

    /// Records that an append begins, as [`next_send`](LogHealth::next_send) decided.
    pub fn begin_append(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records that the append that began at `began` has ended, with or without an answer.
    pub fn append_ended(&mut self, now: Instant, began: Instant, answered: bool) {
        if let Some(at) = self.in_flight.iter().position(|it| *it == began) {
            self.in_flight.swap_remove(at);
        }
        if answered {
            self.recent_append_time = (self.recent_append_time + now.since(began)) / 2;
            self.last_append_at = now;
            self.unanswered = None;
            return;
        }
        let Some(it) = &mut self.unanswered else {
            self.unanswered = Some(Unanswered { first: began, last: began, overtaken: 0 });
            return;
        };
        it.last = it.last.max(began);
        it.overtaken = if self.last_read_at > began { it.overtaken + 1 } else { 0 };
    }

    /// Returns what may be sent now.
    pub fn next_send(&self, now: Instant) -> SendDecision {
        let hung_after = SLOW_APPEND.max(self.recent_append_time * HUNG_FACTOR);
        let is_hung = |it: &&Instant| now.since(**it) > hung_after;
        // A log that has answered later reads is responsive.
        let overtaken_after = self.overtaken_after();
        let is_overtaken = |it: &&Instant| self.last_read_at > **it + overtaken_after;
        let not_overtaken = || self.in_flight.iter().filter(|it| !is_overtaken(it));
        let in_flight_max = if self.recent_append_time > SLOW_APPEND { 1 } else { IN_FLIGHT_MAX };
        if not_overtaken().any(|it| is_hung(&it))
            || not_overtaken().count() >= in_flight_max
            || self.in_flight.len() >= IN_FLIGHT_WITH_OVERTAKEN_MAX
        {
            return SendDecision::Wait;
        }
        let timeout = (self.recent_append_time * TIMEOUT_FACTOR).clamp(TIMEOUT_MIN, TIMEOUT_MAX);
        let Some(it) = self.unanswered else {
            return match (self.may_be_unresponsive(now), self.try_probe(now)) {
                (true, Some(timeout)) => SendDecision::Probe(timeout),
                (true, None) => SendDecision::Wait,
                (false, _) => SendDecision::All(timeout),
            };
        };
        match it.is_unresponsive(now, self.last_read_at) || self.last_read_at <= it.last {
            true => SendDecision::RetriesOnly(TIMEOUT_MAX),
            false => SendDecision::All(TIMEOUT_MAX),
        }
    }

    /// Returns the timeout of a probe if one is due now, as it is unknown whether the log responds.
    pub fn try_probe(&self, now: Instant) -> Option<Duration> {
        let after = self.overtaken_after();
        let is_hung = |it: &Instant| now.since(*it) >= after && self.last_read_at <= *it + after;
        let is_uncertain = self.has_unconfirmed_append()
            || self.may_be_unresponsive(now)
            || self.in_flight.iter().any(is_hung);
        let due = self.probes.is_none_or(|it| now.since(it.last) >= PROBE_INTERVAL);
        (is_uncertain && due).then_some(PROBE_TIMEOUT)
    }

    /// Returns whether an append went unanswered and nothing was answered since.
    pub fn has_unconfirmed_append(&self) -> bool {
        self.unanswered.is_some_and(|it| self.last_read_at <= it.last)
    }

    /// Returns whether the log is unresponsive, so that waiting for it is of no use.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let probe_unanswered = self.probes.is_some_and(|it| now.since(it.first) >= PROBE_TIMEOUT);
        probe_unanswered
            || self.unanswered.is_some_and(|it| it.is_unresponsive(now, self.last_read_at))
    }

    /// Returns whether the log may be unresponsive, as nothing was answered for a while.
    fn may_be_unresponsive(&self, now: Instant) -> bool {
        let answered_at = self.last_read_at.max(self.last_append_at);
        self.last_read_at > Instant::default() && now.since(answered_at) > READ_INTERVAL_MAX
    }

    fn overtaken_after(&self) -> Duration {
        OVERTAKEN_AFTER_MIN.max(self.recent_append_time * OVERTAKEN_FACTOR)
    }

    /// Returns whether a record that has waited unsent since `since` is to be rejected.
    pub fn should_reject(&self, now: Instant, since: Instant) -> bool {
        self.is_unresponsive(now) || now.since(since) >= UNSENT_WAIT_MAX
    }
}

impl Unanswered {
    fn is_unresponsive(&self, now: Instant, last_read_at: Instant) -> bool {
        let ignores_appends = self.overtaken >= UNANSWERED_WHILE_READABLE_MIN
            && now.since(self.last) < APPEND_PROBE_INTERVAL * 2;
        ignores_appends || last_read_at <= self.last && now.since(self.first) >= UNRESPONSIVE_AFTER
    }
}
