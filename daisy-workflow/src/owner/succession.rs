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
const MAX_RENEWAL_WITHOUT_LOG: Duration = Duration::from_secs(10);
/// How long an answer of the log, or of a witness, counts, from when it was asked for.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time without an answer of the log from which on witnesses are asked more often.
const LOG_SLOW_AFTER: Duration = Duration::from_millis(700);
/// Between looks at whether the witnesses are still the workers.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Before the first one, for workers to answer.
const FIRST_REVIEW_DELAY: Duration = Duration::from_millis(200);

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
    last_append_sent_at: Instant,
    /// When the log had first refused all owners before.
    fenced_at: Option<Instant>,
    /// When the witnesses had first refused them.
    outvoted_at: Option<Instant>,
    /// From when on no owner before renews anything, once that is known.
    predecessors_ended_at: Option<Instant>,
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
        let is_accepted = known.accepted_by_epoch == claimed.after;
        let witnesses = if is_accepted { known.workers.clone() } else { Vec::new() };
        let next = (!witnesses.is_empty()).then(|| witnesses.clone());
        Succession {
            epoch: claimed.epoch,
            last_append_sent_at: claimed.at,
            fenced_at: None,
            outvoted_at: None,
            predecessors_ended_at: claimed.predecessors_ended.then_some(now),
            witnesses,
            next,
            recording: None,
            review_at: now + FIRST_REVIEW_DELAY,
        }
    }

    /// The log has taken what was sent at `sent_at`.
    pub(super) fn append_accepted(&mut self, sent_at: Instant) {
        self.last_append_sent_at = self.last_append_sent_at.max(sent_at);
    }

    /// How long ago what the log last took was sent.
    pub(super) fn since_last_append(&self, now: Instant) -> Duration {
        now.since(self.last_append_sent_at)
    }

    /// Whether the log is late with its answers.
    pub(super) fn is_log_slow(&self, now: Instant) -> bool {
        self.since_last_append(now) >= LOG_SLOW_AFTER
    }

    /// Whether the witnesses name an earlier incarnation of a worker.
    pub(super) fn names_earlier_incarnation(&self, worker: &Worker) -> bool {
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
    pub(super) fn witnesses_recorded(&mut self) {
        if let Some(it) = self.recording.take() {
            self.witnesses = it;
        }
    }
}

impl Owner {
    /// The log has taken a sign of life that was sent at `sent_at`: it refuses all owners before.
    pub(super) fn heartbeat_stored(&mut self, now: Instant, sent_at: Instant) {
        self.succession.append_accepted(sent_at);
        self.succession.fenced_at.get_or_insert(now);
    }

    /// Whether leases may be renewed: nobody else can count them as over yet.
    pub(super) fn may_renew(&self, now: Instant) -> bool {
        let it = &self.succession;
        let since_append = it.since_last_append(now);
        if since_append < ANSWER_VALIDITY {
            return true;
        }
        // Where none are recorded, the next owner waits for the whole time.
        let witnessed = it.witnesses.is_empty() || self.majority_answered(&it.witnesses, now);
        since_append <= MAX_RENEWAL_WITHOUT_LOG
            && witnessed
            && it.recording.as_ref().is_none_or(|it| self.majority_answered(it, now))
    }

    /// Whether more than half of the witnesses have answered of late.
    fn majority_answered(&self, witnesses: &[Witness], now: Instant) -> bool {
        let answers = self.count_answered(witnesses, |worker, it| {
            worker.started_at_ms == it.started_at_ms
                && now.since(worker.answered_hold_sent_at) < ANSWER_VALIDITY
        });
        answers * 2 > witnesses.len()
    }

    /// Whether so many of the witnesses have answered this owner that none before it can have more than
    /// half of them.
    fn has_outvoted_predecessors(&self) -> bool {
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
        applies: impl Fn(&Worker, &Witness) -> bool,
    ) -> usize {
        let answered = witnesses.iter().filter(|it| {
            let worker = self.by_id.get(&it.worker).and_then(|key| self.workers.get(*key));
            worker.is_some_and(|worker| worker.fenced && applies(worker, it))
        });
        answered.count()
    }

    /// Notes when no owner before can renew anything any more.
    pub(super) fn update_predecessors_ended(&mut self, now: Instant) {
        if self.succession.predecessors_ended_at.is_some() {
            return;
        }
        let Some(fenced_at) = self.succession.fenced_at else { return };
        let outvoted = self.has_outvoted_predecessors();
        let it = &mut self.succession;
        if outvoted {
            it.outvoted_at.get_or_insert(now);
        }
        let over = match it.outvoted_at {
            Some(at) => at + ANSWER_VALIDITY,
            None => fenced_at + MAX_RENEWAL_WITHOUT_LOG,
        };
        if now >= over {
            it.predecessors_ended_at = Some(over);
        }
    }

    /// When all leases that an owner before may have renewed have run out, if that is known.
    pub(super) fn inherited_leases_end(&self) -> Option<Instant> {
        let lease = self.settings.lease;
        self.succession.predecessors_ended_at.map(|it| it + lease + lease / 20)
    }

    /// When they have run out at the latest, if the log goes on answering.
    pub(super) fn latest_inherited_leases_end(&self, now: Instant) -> Instant {
        let it = &self.succession;
        let lease = self.settings.lease;
        let predecessors_ended_at =
            it.predecessors_ended_at.or(it.outvoted_at.map(|it| it + ANSWER_VALIDITY));
        predecessors_ended_at.unwrap_or(it.fenced_at.unwrap_or(now) + MAX_RENEWAL_WITHOUT_LOG)
            + lease
            + lease / 20
    }

    /// Whether no owner before this one can renew anything, and what they renewed has run out by any
    /// worker's clock.
    pub fn are_predecessor_leases_over(&self, now: Instant) -> bool {
        let longest = self.settings.lease_max + self.settings.lease_max / 10;
        self.succession.predecessors_ended_at.is_some_and(|it| now >= it + longest)
    }

    /// Names new witnesses where those in the log are not the workers any more.
    pub(super) fn review_witnesses(&mut self, now: Instant) {
        let it = &self.succession;
        if it.predecessors_ended_at.is_none()
            || it.next.is_some()
            || it.recording.is_some()
            || now < it.review_at
        {
            return;
        }
        let candidates = self.workers.iter().filter(|(_, it)| it.listed && it.fenced);
        let mut next: Vec<Witness> = candidates
            .map(|(_, it)| Witness { worker: it.id.clone(), started_at_ms: it.started_at_ms })
            .collect();
        next.sort_unstable_by(|a, b| a.worker.cmp(&b.worker));
        let it = &mut self.succession;
        it.review_at = now + REVIEW_INTERVAL;
        if !next.is_empty() && next != it.witnesses {
            it.next = Some(next);
        }
    }
}
