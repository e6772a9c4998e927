//! Whether the history of a home is complete.
//!
//! A home confirms that it has not seen a key only if no other entry VM can have granted the key
//! within the retry window. That is so if this process has run for the whole window without a
//! freeze, and every other entry VM of the data centre is reachable or has handed its keys over.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::keys::membership::Membership;

/// A pause between two observations that is treated as a freeze. Much shorter than the time after
/// which peers treat an unresponsive entry VM as lost (2 s), so that this process notices every
/// freeze during which they may have replaced it.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(500);
/// How long a new home waits for the keys of entry VMs that started earlier. Longer than peers need
/// to learn of it from the VM list (about 1 s) and to treat it as missing (2 s).
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Summary of its own history that an entry VM sends with its handover.
#[derive(Debug, Clone, Copy)]
pub(super) struct HistorySummary {
    /// Whether its history is complete for the whole retry window.
    pub(super) complete_in_window: bool,
    /// Whether the only gap in its history is the time before its own start.
    pub(super) only_gap_is_before_start: bool,
    /// Whether it is stopping.
    pub(super) leaving: bool,
    /// How long ago its newest gap ended; `None` if that is not known.
    pub(super) time_since_gap: Option<Duration>,
}

/// Why a home's history has a gap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HistoryGap {
    /// The process did not observe the time for so long.
    Frozen(Duration),
    /// These entry VMs are no longer live and have not handed over.
    Lost(Vec<VmId>),
    /// An entry VM that started earlier is no longer listed and has not handed over.
    LostBeforeHandover,
    /// A listed entry VM does not answer.
    NotAnswering,
    /// The history that this entry VM handed over when it stopped has a gap.
    Inherited(VmId),
}

/// The home's knowledge of the gaps in its own history.
#[derive(Debug)]
pub(super) struct History {
    /// The time since which the history has no gap; `None` if it has none at all.
    gap_free_since: Option<Instant>,
    /// Whether the only gap is the time before the start of this process.
    only_gap_is_before_start: bool,
    /// Whether a listed entry VM currently does not answer.
    any_member_missing: bool,
    last_observed: Instant,
    /// The time of the first update after the VM list was read.
    first_view_at: Option<Instant>,
    /// Entry VMs that started earlier and have not handed over yet.
    awaiting_handover: Vec<VmId>,
    /// Entry VMs that have handed over.
    handover_sources: Vec<VmId>,
    /// Whether the history of one of them was complete for the whole retry window.
    has_complete_source: bool,
    /// Whether the only gap in the history of all of them was the time before their own start.
    all_sources_new: bool,
    /// Members at the last update, without this one.
    last_members: Vec<VmId>,
    /// Entry VMs that have handed over and are stopping.
    departed: Vec<VmId>,
    /// Gaps that were recorded since they were last taken.
    gaps: Vec<HistoryGap>,
}

impl History {
    /// Creates the history of a process that starts at `now`.
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
            gaps: Vec::new(),
        }
    }

    /// Returns the gaps that were recorded since the last call. A gap that continues is returned
    /// once.
    pub(super) fn take_gaps(&mut self) -> Vec<HistoryGap> {
        std::mem::take(&mut self.gaps)
    }

    /// Records the time of an observation. Detects a freeze of this process by the gap between two
    /// observations: its peers may have treated it as lost and another entry VM may have become the
    /// home, which this one does not know when it resumes.
    pub(super) fn observe_time(&mut self, now: Instant) {
        let unobserved = now.since(self.last_observed);
        if unobserved > MAX_OBSERVATION_GAP {
            self.record_gap(now, Some(HistoryGap::Frozen(unobserved)));
        }
        self.last_observed = self.last_observed.max(now);
    }

    /// Applies a new membership, in which `joined` are the entry VMs that are new.
    pub(super) fn update_members(
        &mut self,
        now: Instant,
        own_vm: VmId,
        membership: &Membership,
        joined: &[VmId],
    ) {
        let members = membership.peers(own_vm);
        if self.first_view_at.is_none() && membership.is_vm_list_read() {
            self.first_view_at = Some(now);
            // Entry VMs that saw this one before it had read the VM list may already have handed
            // over.
            self.awaiting_handover = membership.listed(own_vm);
            self.awaiting_handover.retain(|vm| !self.handover_sources.contains(vm));
        }
        let mut lost = self.last_members.clone();
        lost.retain(|vm| !members.contains(vm) && !self.departed.contains(vm));
        let any_member_missing = membership.is_member_missing(now, own_vm);
        let listed = membership.listed(own_vm);
        self.handover_sources.retain(|vm| listed.contains(vm));
        let any_unlisted = self.awaiting_handover.iter().any(|vm| !listed.contains(vm));
        self.awaiting_handover.retain(|vm| listed.contains(vm));
        // Detects a partition within the data centre: the other side may have made another entry VM
        // the home, which continues to grant claims there. Also detects an entry VM that started
        // earlier and died without a handover: no entry VM knows what it had granted, also not
        // those that have not noticed its death yet and treat their history as complete.
        if !lost.is_empty() {
            self.record_gap(now, Some(HistoryGap::Lost(lost)));
        }
        if any_unlisted {
            self.record_gap(now, Some(HistoryGap::LostBeforeHandover));
        }
        if any_member_missing || self.any_member_missing {
            self.record_gap(now, (!self.any_member_missing).then_some(HistoryGap::NotAnswering));
        }
        self.any_member_missing = any_member_missing;
        self.departed.retain(|vm| !joined.contains(vm) && membership.is_listed_or_live(*vm));
        self.last_members = members;
        self.complete_after_handovers();
    }

    /// Returns the time since the end of the newest gap; `None` if there is no gap.
    pub(super) fn time_since_gap(&self, now: Instant) -> Option<Duration> {
        self.gap_free_since.map(|at| now.since(at))
    }

    /// Records that `from` has handed over all keys that it has for this home.
    pub(super) fn record_handover(&mut self, now: Instant, from: VmId, summary: HistorySummary) {
        let HistorySummary {
            complete_in_window,
            only_gap_is_before_start,
            leaving,
            time_since_gap,
        } = summary;
        self.awaiting_handover.retain(|vm| *vm != from);
        self.handover_sources.push(from);
        self.has_complete_source |= complete_in_window;
        self.all_sources_new &= only_gap_is_before_start;
        self.departed.retain(|vm| *vm != from);
        if leaving {
            self.departed.push(from);
            // An entry VM whose only gap is before its own start cannot have granted anything in
            // that time.
            if !complete_in_window && !only_gap_is_before_start {
                // What `from` missed lies before the end of its gap; dated later, the gap would be
                // renewed by every planned stop of a rolling restart.
                let ended_at = now - time_since_gap.unwrap_or_default();
                self.record_gap(ended_at, Some(HistoryGap::Inherited(from)));
            }
        }
        self.complete_after_handovers();
    }

    /// Returns whether claims may be granted: the entry VMs that started earlier have handed over,
    /// or have had enough time to learn of this home.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let waited = self.first_view_at.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        self.first_view_at.is_some() && (self.awaiting_handover.is_empty() || waited)
    }

    /// Returns whether the history has no gap within `retry_window`.
    pub(super) fn is_complete(&self, now: Instant, retry_window: Duration) -> bool {
        !self.any_member_missing
            && self.gap_free_since.is_none_or(|at| now.since(at) >= retry_window)
    }

    /// Returns whether the only gap is the time before the start of this process.
    pub(super) fn only_gap_is_before_start(&self) -> bool {
        self.only_gap_is_before_start
    }

    /// Returns whether every entry VM of the data centre has just started, so that none can hold a
    /// request that was sent earlier: callers close the connection of an attempt before they repeat
    /// it.
    pub(super) fn is_cold_start(&self) -> bool {
        self.only_gap_is_before_start
            && self.all_sources_new
            && self.first_view_at.is_some()
            && self.awaiting_handover.is_empty()
    }

    /// Marks the history of a new process as complete once all earlier entry VMs have handed over
    /// and one of them has a complete history.
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

    /// Records a gap that lasts until `ended_at`; `cause` is `None` if it was reported before.
    fn record_gap(&mut self, ended_at: Instant, cause: Option<HistoryGap>) {
        self.gap_free_since = self.gap_free_since.max(Some(ended_at));
        self.only_gap_is_before_start = false;
        self.gaps.extend(cause);
    }
}
