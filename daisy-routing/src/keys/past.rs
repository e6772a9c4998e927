//! Whether a home vouches for its past.
//!
//! A home that has not seen a key says so only if nobody else can have granted it within the retry
//! window: this process was there all the time, was not frozen, and every other entry VM of the
//! data centre is in contact or has handed its keys over.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::keys::view::View;

/// A pause between two observations that counts as a freeze. Far shorter than the silence after
/// which peers take an entry VM for dead (2 s), so that they cannot have replaced it unnoticed.
const MAX_GAP: Duration = Duration::from_millis(500);
/// How long a new home waits for the keys of those that were there before it. Longer than peers
/// need to learn of it from the VM list (about 1 s) and to count it as missing (2 s).
const SETTLE: Duration = Duration::from_secs(5);

/// What an entry VM that hands its keys over says of its past.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word {
    /// It vouches for the whole retry window.
    pub(super) complete_in_window: bool,
    /// It missed nothing but the time before its own start.
    pub(super) complete_since_start: bool,
    /// It stops.
    pub(super) leaving: bool,
}

/// What the home knows of its own past.
#[derive(Debug)]
pub(super) struct Past {
    /// Since when nothing has been missed; `None` for longer than any window.
    unbroken: Option<Instant>,
    /// Whether nothing but the process's own start broke it.
    complete_since_start: bool,
    /// Whether a listed entry VM does not answer now.
    missing: bool,
    observed: Instant,
    /// When the first view came.
    joined: Option<Instant>,
    /// Those that were there before and have not handed over yet.
    awaiting: Vec<VmId>,
    /// Those that have handed over.
    handed: Vec<VmId>,
    /// Whether one of those vouched for the time before this process.
    vouched: bool,
    /// Whether all of those were as new as this process.
    all_fresh: bool,
    /// Members of the last view, without this one.
    members: Vec<VmId>,
    /// Those that handed over and stop.
    left: Vec<VmId>,
}

impl Past {
    /// A process that starts `now`.
    pub(super) fn new(now: Instant) -> Past {
        Past {
            unbroken: Some(now),
            complete_since_start: true,
            missing: false,
            observed: now,
            joined: None,
            awaiting: Vec::new(),
            handed: Vec::new(),
            vouched: false,
            all_fresh: true,
            members: Vec::new(),
            left: Vec::new(),
        }
    }

    /// Guards against a home that was frozen: its peers took it for dead, another became the home,
    /// and it wakes not knowing. Seen by the gap that the freeze leaves between two observations.
    pub(super) fn observe_time(&mut self, now: Instant) {
        if now.since(self.observed) > MAX_GAP {
            self.break_at(now);
        }
        self.observed = self.observed.max(now);
    }

    /// Takes in a new view, with those that are newly there.
    pub(super) fn members_changed(&mut self, now: Instant, me: VmId, view: &View, joined: &[VmId]) {
        let members = view.peers(me);
        if self.joined.is_none() && view.is_informed() {
            self.joined = Some(now);
            // Those that saw this one first may have handed over before it read the list itself.
            self.awaiting = view.listed(me);
            self.awaiting.retain(|vm| !self.handed.contains(vm));
        }
        let lost = |vm: &&VmId| !members.contains(vm) && !self.left.contains(vm);
        let any_lost = self.members.iter().any(|vm| lost(&vm));
        let missing = view.missing(now, me);
        let listed = view.listed(me);
        self.handed.retain(|vm| listed.contains(vm));
        let any_silent = self.awaiting.iter().any(|vm| !listed.contains(vm));
        self.awaiting.retain(|vm| listed.contains(vm));
        // Guards against a partition within the data centre: the other side may have made another
        // entry VM the home, and goes on granting there.
        // Or one that was there before this process died without handing over: what it had granted
        // is known to nobody, also to those that do not know yet of its death and vouch.
        if any_lost || any_silent || missing || self.missing {
            self.break_at(now);
        }
        self.missing = missing;
        self.left.retain(|vm| !joined.contains(vm) && view.knows(*vm));
        self.members = members;
        self.try_complete();
    }

    /// Takes in that `from` has handed over all it has for this home.
    pub(super) fn handed_over(&mut self, now: Instant, from: VmId, word: Word) {
        let Word { complete_in_window, complete_since_start, leaving } = word;
        self.awaiting.retain(|vm| *vm != from);
        self.handed.push(from);
        self.vouched |= complete_in_window;
        self.all_fresh &= complete_since_start;
        self.left.retain(|vm| *vm != from);
        if leaving {
            self.left.push(from);
            // What a fresh one missed was before its start, and so not its to grant.
            if !complete_in_window && !complete_since_start {
                self.break_at(now);
            }
        }
        self.try_complete();
    }

    /// Whether grants may be given: those that were there before have handed over, or have had
    /// the time to learn of this home.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let waited = self.joined.is_some_and(|at| now.since(at) >= SETTLE);
        self.joined.is_some() && (self.awaiting.is_empty() || waited)
    }

    /// Whether nothing within `window` can have been missed.
    pub(super) fn is_complete(&self, now: Instant, window: Duration) -> bool {
        !self.missing && self.unbroken.is_none_or(|at| now.since(at) >= window)
    }

    /// Whether nothing but its own start broke this process's past.
    pub(super) fn is_fresh(&self) -> bool {
        self.complete_since_start
    }

    /// Whether every entry VM of the data centre has just started, so that none can hold a request
    /// that was sent before: callers close the connection of an attempt before they repeat it.
    pub(super) fn is_cold(&self) -> bool {
        self.complete_since_start
            && self.all_fresh
            && self.joined.is_some()
            && self.awaiting.is_empty()
    }

    /// A new process is complete once all who were there have handed over and one of them vouches
    /// for the time before.
    fn try_complete(&mut self) {
        if self.complete_since_start
            && self.vouched
            && self.joined.is_some()
            && self.awaiting.is_empty()
        {
            self.unbroken = None;
            self.complete_since_start = false;
        }
    }

    fn break_at(&mut self, now: Instant) {
        self.unbroken = Some(now);
        self.complete_since_start = false;
    }
}
