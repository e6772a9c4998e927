//! Whether a home vouches for its past.
//!
//! A home that has not seen a key says so only if nobody else can have granted it within the retry
//! window: this process was there all the time, was not frozen, and every other entry VM of the
//! data centre is in contact or has handed its keys over.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::keys::membership::Membership;

/// A pause between two observations that counts as a freeze. Far shorter than the silence after
/// which peers take an entry VM for dead (2 s), so that they cannot have replaced it unnoticed.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(500);
/// How long a new home waits for the keys of those that were there before it. Longer than peers
/// need to learn of it from the VM list (about 1 s) and to count it as missing (2 s).
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// What an entry VM that hands its keys over says of its past.
#[derive(Debug, Clone, Copy)]
pub(super) struct HistorySummary {
    /// It vouches for the whole retry window.
    pub(super) complete_in_window: bool,
    /// It missed nothing but the time before its own start.
    pub(super) only_gap_is_before_start: bool,
    /// It stops.
    pub(super) leaving: bool,
}

/// What the home knows of its own past.
#[derive(Debug)]
pub(super) struct History {
    /// Since when nothing has been missed; `None` for longer than any window.
    gap_free_since: Option<Instant>,
    /// Whether nothing but the process's own start broke it.
    only_gap_is_before_start: bool,
    /// Whether a listed entry VM does not answer now.
    any_member_missing: bool,
    last_observed: Instant,
    /// When the first membership came.
    first_view_at: Option<Instant>,
    /// Those that were there before and have not handed over yet.
    awaiting_handover: Vec<VmId>,
    /// Those that have handed over.
    handover_sources: Vec<VmId>,
    /// Whether one of those vouched for the time before this process.
    has_complete_source: bool,
    /// Whether all of those were as new as this process.
    all_sources_new: bool,
    /// Members of the last membership, without this one.
    last_members: Vec<VmId>,
    /// Those that handed over and stop.
    departed: Vec<VmId>,
}

impl History {
    /// A process that starts `now`.
    pub(super) fn new(now: Instant) -> History {
        History {
            gap_free_since: Some(now),
            only_gap_is_before_start: true,
            any_member_missing: false,
            last_observed: now,
            first_view_at: None,
            awaiting_handover: Vec::new(),
            handover_sources: Vec::new(),
            has_complete_source: false,
            all_sources_new: true,
            last_members: Vec::new(),
            departed: Vec::new(),
        }
    }

    /// Guards against a home that was frozen: its peers took it for dead, another became the home,
    /// and it wakes not knowing. Seen by the gap that the freeze leaves between two observations.
    pub(super) fn observe_time(&mut self, now: Instant) {
        if now.since(self.last_observed) > MAX_OBSERVATION_GAP {
            self.record_gap(now);
        }
        self.last_observed = self.last_observed.max(now);
    }

    /// Takes in a new membership, with those that are newly there.
    pub(super) fn update_members(
        &mut self,
        now: Instant,
        me: VmId,
        membership: &Membership,
        joined: &[VmId],
    ) {
        let members = membership.peers(me);
        if self.first_view_at.is_none() && membership.is_vm_list_read() {
            self.first_view_at = Some(now);
            // Those that saw this one first may have handed over before it read the list itself.
            self.awaiting_handover = membership.listed(me);
            self.awaiting_handover.retain(|vm| !self.handover_sources.contains(vm));
        }
        let lost = |vm: &&VmId| !members.contains(vm) && !self.departed.contains(vm);
        let any_lost = self.last_members.iter().any(|vm| lost(&vm));
        let any_member_missing = membership.is_member_missing(now, me);
        let listed = membership.listed(me);
        self.handover_sources.retain(|vm| listed.contains(vm));
        let any_unlisted = self.awaiting_handover.iter().any(|vm| !listed.contains(vm));
        self.awaiting_handover.retain(|vm| listed.contains(vm));
        // Guards against a partition within the data centre: the other side may have made another
        // entry VM the home, and goes on granting there.
        // Or one that was there before this process died without handing over: what it had granted
        // is known to nobody, also to those that do not know yet of its death and vouch.
        if any_lost || any_unlisted || any_member_missing || self.any_member_missing {
            self.record_gap(now);
        }
        self.any_member_missing = any_member_missing;
        self.departed.retain(|vm| !joined.contains(vm) && membership.is_listed_or_live(*vm));
        self.last_members = members;
        self.complete_after_handovers();
    }

    /// Takes in that `from` has handed over all it has for this home.
    pub(super) fn record_handover(&mut self, now: Instant, from: VmId, summary: HistorySummary) {
        let HistorySummary { complete_in_window, only_gap_is_before_start, leaving } = summary;
        self.awaiting_handover.retain(|vm| *vm != from);
        self.handover_sources.push(from);
        self.has_complete_source |= complete_in_window;
        self.all_sources_new &= only_gap_is_before_start;
        self.departed.retain(|vm| *vm != from);
        if leaving {
            self.departed.push(from);
            // What a fresh one missed was before its start, and so not its to grant.
            if !complete_in_window && !only_gap_is_before_start {
                self.record_gap(now);
            }
        }
        self.complete_after_handovers();
    }

    /// Whether grants may be given: those that were there before have handed over, or have had
    /// the time to learn of this home.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let waited = self.first_view_at.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        self.first_view_at.is_some() && (self.awaiting_handover.is_empty() || waited)
    }

    /// Whether nothing within `window` can have been missed.
    pub(super) fn is_complete(&self, now: Instant, retry_window: Duration) -> bool {
        !self.any_member_missing
            && self.gap_free_since.is_none_or(|at| now.since(at) >= retry_window)
    }

    /// Whether nothing but its own start broke this process's past.
    pub(super) fn only_gap_is_before_start(&self) -> bool {
        self.only_gap_is_before_start
    }

    /// Whether every entry VM of the data centre has just started, so that none can hold a request
    /// that was sent before: callers close the connection of an attempt before they repeat it.
    pub(super) fn is_cold_start(&self) -> bool {
        self.only_gap_is_before_start
            && self.all_sources_new
            && self.first_view_at.is_some()
            && self.awaiting_handover.is_empty()
    }

    /// A new process is complete once all who were there have handed over and one of them vouches
    /// for the time before.
    fn complete_after_handovers(&mut self) {
        if self.only_gap_is_before_start
            && self.has_complete_source
            && self.first_view_at.is_some()
            && self.awaiting_handover.is_empty()
        {
            self.gap_free_since = None;
            self.only_gap_is_before_start = false;
        }
    }

    fn record_gap(&mut self, now: Instant) {
        self.gap_free_since = Some(now);
        self.only_gap_is_before_start = false;
    }
}
