//! Which of several owners may renew leases, while not all of them hear of each other.
//!
//! An owner that the log does not hear cannot tell whether another has taken its place. It goes on
//! renewing only while more than half of its witnesses answer it: workers that are named in the log
//! beside its claim. A worker refuses an owner once a newer one has called it. So a newer owner
//! that half of the same witnesses have answered knows that nobody before it renews anything from
//! then on, whoever else is cut off together with the one before.

use std::time::Duration;

use daisy_model::Instant;

use super::{Owner, Worker};
use crate::{Record, WorkerId};

/// How long an owner whose writes the log does not take goes on renewing leases.
///
/// An outage of the platform must not end the work that runs: the contract's last up to 9 s.
const RENEW_ALONE_MAX: Duration = Duration::from_secs(10);
/// How long an answer of the log, or of a witness, counts, from when it was asked for.
const ANSWER_COUNTS: Duration = Duration::from_millis(1_000);
/// Time without an answer of the log from which on witnesses are asked more often.
const LOG_LATE: Duration = Duration::from_millis(700);
/// Between looks at whether the witnesses are still the workers.
const REVIEW_EVERY: Duration = Duration::from_secs(1);
/// Before the first one, for workers to answer.
const FIRST_REVIEW: Duration = Duration::from_millis(200);

/// The workers that owners without the log have to be answered by.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Witnesses {
    /// The epoch of the last owner that heeds them, as all between it and the one that named them do.
    /// An owner of a build that knows of none is not among these.
    pub accepted_by_epoch: u64,
    /// The workers, in order.
    pub workers: Vec<Witness>,
}

/// A worker that an owner without the log has to be answered by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Witness {
    /// The worker.
    pub worker: WorkerId,
    /// When the incarnation started that counts: a later one has forgotten which owners called it.
    pub started_at_ms: u64,
}

/// When an owner began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipStart {
    /// A time before its claim was sent.
    pub at: Instant,
    /// No owner before it can renew anything any more.
    pub predecessors_ended: bool,
    /// Its epoch, and that of the claim before.
    pub epoch: u64,
    /// See [`epoch`](Claimed::epoch).
    pub after: u64,
}

/// What an owner knows of those before and after it.
#[derive(Debug)]
pub(super) struct Succession {
    epoch: u64,
    /// When what the log last took was sent.
    appended_at: Instant,
    /// When the log had first refused all owners before.
    fenced_at: Option<Instant>,
    /// When the witnesses had first refused them.
    outvoted_at: Option<Instant>,
    /// From when on no owner before renews anything, once that is known.
    settled_at: Option<Instant>,
    /// Those in the log that all owners before heed as well.
    witnesses: Vec<Witness>,
    /// Those that are to be recorded.
    next: Option<Vec<Witness>>,
    /// Those that may be in the log already.
    recording: Option<Vec<Witness>>,
    /// When to look next whether they are still the workers.
    review_at: Instant,
}

impl Succession {
    pub(super) fn new(now: Instant, claimed: OwnershipStart, known: &Witnesses) -> Succession {
        // Where not all owners before heed them, they say nothing.
        let heeded = known.accepted_by_epoch == claimed.after;
        let witnesses = if heeded { known.workers.clone() } else { Vec::new() };
        let next = (!witnesses.is_empty()).then(|| witnesses.clone());
        Succession {
            epoch: claimed.epoch,
            appended_at: claimed.at,
            fenced_at: None,
            outvoted_at: None,
            settled_at: claimed.predecessors_ended.then_some(now),
            witnesses,
            next,
            recording: None,
            review_at: now + FIRST_REVIEW,
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

    /// Whether the log is late with its answers.
    pub(super) fn is_log_late(&self, now: Instant) -> bool {
        self.silent_for(now) >= LOG_LATE
    }

    /// Whether the witnesses name an earlier incarnation of a worker.
    pub(super) fn names_earlier(&self, worker: &Worker) -> bool {
        let at = self.witnesses.binary_search_by(|it| it.worker.cmp(&worker.id));
        at.is_ok_and(|at| self.witnesses[at].started_at_ms < worker.started_at_ms)
    }

    /// Whether witnesses are to be recorded.
    pub(super) fn has_record(&self) -> bool {
        self.next.is_some()
    }

    /// The record of the witnesses, if that is due.
    pub(super) fn try_record(&mut self) -> Option<Record> {
        let next = self.next.take()?;
        self.recording = Some(next.clone());
        Some(Record::Witnesses(Witnesses { accepted_by_epoch: self.epoch, workers: next }))
    }

    /// The batch under way is in the log.
    pub(super) fn recorded(&mut self) {
        if let Some(it) = self.recording.take() {
            self.witnesses = it;
        }
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
        let it = &self.succession;
        let silent = it.silent_for(now);
        if silent < ANSWER_COUNTS {
            return true;
        }
        // Where none are recorded, the next owner waits for the whole time.
        let witnessed = it.witnesses.is_empty() || self.most_answer(&it.witnesses, now);
        silent <= RENEW_ALONE_MAX
            && witnessed
            && it.recording.as_ref().is_none_or(|it| self.most_answer(it, now))
    }

    /// Whether more than half of the witnesses have answered of late.
    fn most_answer(&self, witnesses: &[Witness], now: Instant) -> bool {
        let answers = self.count_answered(witnesses, |worker, it| {
            worker.started_at_ms == it.started_at_ms
                && now.since(worker.answered_since) < ANSWER_COUNTS
        });
        answers * 2 > witnesses.len()
    }

    /// Whether so many of the witnesses have answered this owner that none before it can have more than
    /// half of them.
    fn outvotes(&self) -> bool {
        let witnesses = &self.succession.witnesses;
        // A later incarnation that answers tells as much of the one before: it has ended.
        let answered = self.count_answered(witnesses, |_, _| true);
        !witnesses.is_empty() && answered * 2 >= witnesses.len()
    }

    /// How many of the witnesses are workers that `holds` is true of, and that have answered under this
    /// owner's epoch.
    fn count_answered(
        &self,
        witnesses: &[Witness],
        holds: impl Fn(&Worker, &Witness) -> bool,
    ) -> usize {
        let answered = witnesses.iter().filter(|it| {
            let worker = self.by_id.get(&it.worker).and_then(|key| self.workers.get(*key));
            worker.is_some_and(|worker| worker.fenced && holds(worker, it))
        });
        answered.count()
    }

    /// Notes when no owner before can renew anything any more.
    pub(super) fn settle(&mut self, now: Instant) {
        if self.succession.settled_at.is_some() {
            return;
        }
        let Some(fenced_at) = self.succession.fenced_at else { return };
        let outvoted = self.outvotes();
        let it = &mut self.succession;
        if outvoted {
            it.outvoted_at.get_or_insert(now);
        }
        let over = match it.outvoted_at {
            Some(at) => at + ANSWER_COUNTS,
            None => fenced_at + RENEW_ALONE_MAX,
        };
        if now >= over {
            it.settled_at = Some(over);
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
        let settled_at = it.settled_at.or(it.outvoted_at.map(|it| it + ANSWER_COUNTS));
        settled_at.unwrap_or(it.fenced_at.unwrap_or(now) + RENEW_ALONE_MAX) + lease + lease / 20
    }

    /// Whether no owner before this one can renew anything, and what they renewed has run out by any
    /// worker's clock.
    pub fn are_predecessor_leases_over(&self, now: Instant) -> bool {
        let longest = self.settings.lease_max + self.settings.lease_max / 10;
        self.succession.settled_at.is_some_and(|it| now >= it + longest)
    }

    /// Names new witnesses where those in the log are not the workers any more.
    pub(super) fn review_witnesses(&mut self, now: Instant) {
        let it = &self.succession;
        if it.settled_at.is_none()
            || it.next.is_some()
            || it.recording.is_some()
            || now < it.review_at
        {
            return;
        }
        let stands = self.workers.iter().filter(|(_, it)| it.listed && it.fenced);
        let mut next: Vec<Witness> = stands
            .map(|(_, it)| Witness { worker: it.id.clone(), started_at_ms: it.started_at_ms })
            .collect();
        next.sort_unstable_by(|a, b| a.worker.cmp(&b.worker));
        let it = &mut self.succession;
        it.review_at = now + REVIEW_EVERY;
        if !next.is_empty() && next != it.witnesses {
            it.next = Some(next);
        }
    }
}
