//! Decides which of several owners may renew leases while not all of them can reach each other.
//!
//! An owner that cannot reach the log cannot know whether another has replaced it. It continues to
//! renew leases only while more than half of its witnesses answer: workers that are named in the
//! log beside its claim. A worker rejects an owner once a newer one has called it. So a newer owner
//! that was answered by half of the same witnesses knows that no earlier owner renews any lease
//! from then on, whichever workers are cut off together with the earlier owner. A witness that has
//! ended answers no owner any more, and counts like one that has answered: at its address another
//! incarnation answers. Silence, or absence from the platform's list, does not count: a worker that
//! is cut off with an earlier owner is silent and unlisted too, and continues to answer that owner.

use std::{net::SocketAddr, time::Duration};

use daisy_model::Instant;

use super::{
    Owner, Worker,
    message::{Action, Note},
};
use crate::{Record, WorkerId};

/// How long an owner whose appends the log does not store continues to renew leases.
///
/// An outage of the platform must not end running work. The platform specifies outages of up to 9
/// s.
const MAX_RENEWAL_WITHOUT_LOG: Duration = Duration::from_secs(10);
/// How long an answer of the log, or of a witness, is valid, counted from when its request was
/// sent.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time without an answer of the log after which witnesses are queried more often.
const LOG_SLOW_AFTER: Duration = Duration::from_millis(700);
/// Interval between checks whether the witnesses still match the workers.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the first check, for workers to answer.
const FIRST_REVIEW_DELAY: Duration = Duration::from_millis(200);

/// The workers that have to answer an owner which cannot reach the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Witnesses {
    /// The epoch of the owner that wrote this record. All owners from the one that named the
    /// witnesses up to this epoch comply with them. A later owner does if its claim vouches for
    /// that; an owner of a build without witnesses does not.
    pub accepted_by_epoch: u64,
    /// The workers, sorted by id.
    pub workers: Vec<Witness>,
}

/// A worker that has to answer an owner which cannot reach the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Witness {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Start time of the incarnation that is a witness, in milliseconds since 1970: a later one
    /// does not know which owners called its predecessor.
    pub started_at_ms: u64,
    /// Address of the worker, unless an earlier build has recorded the witness.
    pub address: Option<SocketAddr>,
}

/// The claim with which an owner started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipStart {
    /// When the claim was sent, or a time shortly before.
    pub claim_sent_at: Instant,
    /// Whether no earlier owner can renew leases any more.
    pub predecessors_ended: bool,
    /// The owner's epoch.
    pub epoch: u64,
    /// The `accepted_by_epoch` of the witnesses for which the claim vouches.
    pub vouched_epoch: Option<u64>,
}

/// How long an owner still waits for leases that earlier owners may have renewed, and what decides
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedLeases {
    /// Number of witnesses with which all earlier owners comply; 0 if there is no such record.
    pub witnesses: usize,
    /// How many of the witnesses have answered this owner.
    pub answered: usize,
    /// How many of the others have ended.
    pub ended: usize,
    /// Whether no earlier owner can renew leases any more.
    pub predecessors_ended: bool,
    /// Time until all inherited leases have expired.
    pub time_left: Duration,
}

/// What shows that no earlier owner can renew leases any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorsEnd {
    /// The owner's claim says so: the owner before it had released the shard, or was an earlier
    /// process of the same VM, and those before that one had ended.
    Claim,
    /// So many witnesses reject earlier owners, or have ended, that none gets answers from more than
    /// half.
    Witnesses,
    /// So much time has passed since the log rejects earlier owners that each has stopped.
    Time,
}

impl PredecessorsEnd {
    /// Returns its name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            PredecessorsEnd::Claim => "claim",
            PredecessorsEnd::Witnesses => "witnesses",
            PredecessorsEnd::Time => "time",
        }
    }
}

/// What an owner knows of earlier and later owners.
#[derive(Debug)]
pub(super) struct Succession {
    epoch: u64,
    /// When the newest stored append or heartbeat was sent.
    last_append_sent_at: Instant,
    /// When the log first confirmed that it rejects all earlier owners.
    fenced_at: Option<Instant>,
    /// When enough witnesses first answered that they reject all earlier owners.
    witness_quorum_at: Option<Instant>,
    /// From when on no earlier owner renews leases, once that is known.
    predecessors_ended_at: Option<Instant>,
    /// What showed it.
    predecessors_end: PredecessorsEnd,
    /// Witnesses whose record is in the log and with which all earlier owners comply.
    witnesses: Vec<Witness>,
    /// Witnesses that have to be recorded.
    next_witnesses: Option<Vec<Witness>>,
    /// Witnesses whose record may already be in the log.
    recording_witnesses: Option<Vec<Witness>>,
    /// When to check next whether the witnesses still match the workers.
    review_at: Instant,
}

impl Succession {
    pub(super) fn new(now: Instant, ownership: OwnershipStart, known: &Witnesses) -> Succession {
        // Unless all earlier owners comply with the witnesses, their answers prove nothing.
        let is_accepted = ownership.vouched_epoch == Some(known.accepted_by_epoch);
        let witnesses = if is_accepted { known.workers.clone() } else { Vec::new() };
        let next_witnesses = (!witnesses.is_empty()).then(|| witnesses.clone());
        Succession {
            epoch: ownership.epoch,
            last_append_sent_at: ownership.claim_sent_at,
            fenced_at: None,
            witness_quorum_at: None,
            predecessors_ended_at: ownership.predecessors_ended.then_some(now),
            predecessors_end: PredecessorsEnd::Claim,
            witnesses,
            next_witnesses,
            recording_witnesses: None,
            review_at: now + FIRST_REVIEW_DELAY,
        }
    }

    /// Returns the owner's epoch.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records that the log has stored what was sent at `sent_at`.
    pub(super) fn append_accepted(&mut self, sent_at: Instant) {
        self.last_append_sent_at = self.last_append_sent_at.max(sent_at);
    }

    /// Returns the time since the newest stored append or heartbeat was sent.
    pub(super) fn since_last_append(&self, now: Instant) -> Duration {
        now.since(self.last_append_sent_at)
    }

    /// Whether the log answers slowly or not at all.
    pub(super) fn is_log_slow(&self, now: Instant) -> bool {
        self.since_last_append(now) >= LOG_SLOW_AFTER
    }

    /// Whether the witnesses name an earlier incarnation of a worker.
    pub(super) fn names_earlier_incarnation(&self, worker: &Worker) -> bool {
        let at = self.witnesses.binary_search_by(|it| it.worker.cmp(&worker.id));
        at.is_ok_and(|at| self.witnesses[at].started_at_ms < worker.started_at_ms)
    }

    /// Returns the witnesses whose answers can show that no earlier owner renews leases any more;
    /// none once that is known.
    pub(super) fn awaited_witnesses(&self) -> &[Witness] {
        match self.predecessors_ended_at {
            Some(_) => &[],
            None => &self.witnesses,
        }
    }

    /// Whether a worker is one of the awaited witnesses.
    pub(super) fn awaits(&self, worker: &WorkerId) -> bool {
        self.awaited_witnesses().binary_search_by(|it| it.worker.cmp(worker)).is_ok()
    }

    /// Returns from when on no earlier owner renews leases or sends orders, once that is known.
    pub(super) fn predecessors_ended_at(&self) -> Option<Instant> {
        self.predecessors_ended_at
    }

    /// Returns what showed that no earlier owner renews leases, and for how long that has held, once
    /// it is known.
    pub(super) fn predecessors_ended(&self, now: Instant) -> Option<(PredecessorsEnd, Duration)> {
        self.predecessors_ended_at.map(|at| (self.predecessors_end, now.since(at)))
    }

    /// Whether there are witnesses to record.
    pub(super) fn has_witnesses_record(&self) -> bool {
        self.next_witnesses.is_some()
    }

    /// Takes the record of the witnesses to append, if there is one.
    pub(super) fn take_witnesses_record(&mut self) -> Option<Record> {
        let next_witnesses = self.next_witnesses.take()?;
        self.recording_witnesses = Some(next_witnesses.clone());
        Some(Record::Witnesses(Witnesses {
            accepted_by_epoch: self.epoch,
            workers: next_witnesses,
        }))
    }

    /// Records that the current batch, with the witnesses in it, is stored.
    pub(super) fn witnesses_recorded(&mut self) {
        if let Some(it) = self.recording_witnesses.take() {
            self.witnesses = it;
        }
    }
}

impl Owner {
    /// Handles a stored heartbeat that was sent at `sent_at`: the log rejects all earlier owners
    /// from then on.
    pub(super) fn heartbeat_stored(&mut self, now: Instant, sent_at: Instant) {
        self.succession.append_accepted(sent_at);
        self.succession.fenced_at.get_or_insert(now);
    }

    /// Whether leases may be renewed: no other owner can treat them as expired yet.
    pub(super) fn may_renew(&self, now: Instant) -> bool {
        let it = &self.succession;
        let since_append = it.since_last_append(now);
        if since_append < ANSWER_VALIDITY {
            return true;
        }
        // Without recorded witnesses, the next owner waits for all of `MAX_RENEWAL_WITHOUT_LOG`.
        let witnessed = it.witnesses.is_empty() || self.majority_answered(&it.witnesses, now);
        since_append <= MAX_RENEWAL_WITHOUT_LOG
            && witnessed
            && it.recording_witnesses.as_ref().is_none_or(|it| self.majority_answered(it, now))
    }

    /// Whether more than half of the witnesses have answered recently.
    fn majority_answered(&self, witnesses: &[Witness], now: Instant) -> bool {
        let answers = self.count_witnesses(witnesses, |worker, it| {
            worker.fenced
                && worker.started_at_ms == it.started_at_ms
                && now.since(worker.answered_renewal_sent_at) < ANSWER_VALIDITY
        });
        answers * 2 > witnesses.len()
    }

    /// Whether at least half of the witnesses have answered this owner or have ended, so that an
    /// earlier owner can no longer get answers from more than half of them.
    fn has_witness_quorum(&self) -> bool {
        let witnesses = &self.succession.witnesses;
        let lost_to_predecessors = self.count_witnesses(witnesses, |worker, it| {
            has_answered(worker, it) || has_ended(worker, it)
        });
        !witnesses.is_empty() && lost_to_predecessors * 2 >= witnesses.len()
    }

    /// Counts the witnesses that this owner knows as workers and for which `applies` returns true.
    fn count_witnesses(
        &self,
        witnesses: &[Witness],
        applies: impl Fn(&Worker, &Witness) -> bool,
    ) -> usize {
        let counted = witnesses.iter().filter(|it| {
            let worker = self.by_id.get(&it.worker).and_then(|key| self.workers.get(*key));
            worker.is_some_and(|worker| applies(worker, it))
        });
        counted.count()
    }

    /// Determines from when on no earlier owner can renew leases.
    pub(super) fn update_predecessors_ended(&mut self, now: Instant) {
        if self.succession.predecessors_ended_at.is_some() {
            return;
        }
        let Some(fenced_at) = self.succession.fenced_at else { return };
        let has_quorum = self.has_witness_quorum();
        let it = &mut self.succession;
        if has_quorum {
            it.witness_quorum_at.get_or_insert(now);
        }
        let (end, ended_at) = match it.witness_quorum_at {
            Some(at) => (PredecessorsEnd::Witnesses, at + ANSWER_VALIDITY),
            None => (PredecessorsEnd::Time, fenced_at + MAX_RENEWAL_WITHOUT_LOG),
        };
        if now >= ended_at {
            it.predecessors_ended_at = Some(ended_at);
            it.predecessors_end = end;
            self.note_predecessors_ended(now);
        }
    }

    /// Notes what shows that no earlier owner renews leases, if that is known.
    pub(super) fn note_predecessors_ended(&mut self, now: Instant) {
        let Some((end, held_for)) = self.succession.predecessors_ended(now) else { return };
        let (answered, ended) = self.count_lost_witnesses();
        let it = &self.succession;
        self.actions.push(Action::Note(Note::PredecessorsEnded {
            epoch: it.epoch,
            end,
            held_for,
            confirmed_for: it.fenced_at.map(|at| now.since(at)),
            witnesses: it.witnesses.len(),
            answered,
            ended,
        }));
    }

    /// Counts the witnesses that have answered this owner, and the others that have ended.
    fn count_lost_witnesses(&self) -> (usize, usize) {
        let witnesses = &self.succession.witnesses;
        let answered = self.count_witnesses(witnesses, has_answered);
        let ended = self.count_witnesses(witnesses, |worker, it| {
            !has_answered(worker, it) && has_ended(worker, it)
        });
        (answered, ended)
    }

    /// Returns when all leases that an earlier owner may have renewed on a worker have expired, if
    /// that is known.
    pub(super) fn inherited_leases_end(&self, worker: &WorkerId) -> Option<Instant> {
        self.succession.predecessors_ended_at.map(|it| it + self.inherited_lease(worker))
    }

    /// Returns the latest time at which all leases of earlier owners on a worker have expired,
    /// provided that the log continues to answer.
    pub(super) fn latest_inherited_leases_end(&self, now: Instant, worker: &WorkerId) -> Instant {
        self.latest_predecessors_end(now) + self.inherited_lease(worker)
    }

    /// Returns the latest time from which on no earlier owner renews leases.
    fn latest_predecessors_end(&self, now: Instant) -> Instant {
        let it = &self.succession;
        let known =
            it.predecessors_ended_at.or(it.witness_quorum_at.map(|it| it + ANSWER_VALIDITY));
        known.unwrap_or(it.fenced_at.unwrap_or(now) + MAX_RENEWAL_WITHOUT_LOG)
    }

    /// Returns how long a lease lasts that an earlier owner may have renewed.
    fn inherited_lease(&self, worker: &WorkerId) -> Duration {
        match self.long_leases.is_inherited(worker) {
            true => self.max_granted_lease(),
            false => self.usual_inherited_lease(),
        }
    }

    fn usual_inherited_lease(&self) -> Duration {
        self.settings.lease + self.settings.lease / 20
    }

    /// Returns how long this owner waits for inherited leases, or `None` once all have expired.
    pub fn try_inherited_leases(&self, now: Instant) -> Option<InheritedLeases> {
        let over_at = self.latest_predecessors_end(now) + self.usual_inherited_lease();
        let time_left = over_at.since(now);
        if time_left.is_zero() {
            return None;
        }
        let (answered, ended) = self.count_lost_witnesses();
        Some(InheritedLeases {
            witnesses: self.succession.witnesses.len(),
            answered,
            ended,
            predecessors_ended: self.succession.predecessors_ended_at.is_some(),
            time_left,
        })
    }

    /// Whether no earlier owner can renew leases any more, and all leases that earlier owners
    /// renewed have expired on every worker, however its clock drifts.
    pub fn are_predecessor_leases_over(&self, now: Instant) -> bool {
        let max_lease = self.max_granted_lease();
        self.succession.predecessors_ended_at.is_some_and(|it| now >= it + max_lease)
    }

    /// Names new witnesses if those in the log no longer match the workers.
    pub(super) fn review_witnesses(&mut self, now: Instant) {
        let it = &self.succession;
        if it.predecessors_ended_at.is_none()
            || it.next_witnesses.is_some()
            || it.recording_witnesses.is_some()
            || now < it.review_at
        {
            return;
        }
        // A draining worker soon answers nobody. A worker that has not answered yet is named as
        // well: after many have restarted, those that have answered first might be so few that an
        // owner which is cut off together with them keeps a majority.
        let candidates = self.workers.iter().filter(|(_, it)| it.listed && it.ready);
        let mut next_witnesses: Vec<Witness> = candidates
            .map(|(_, it)| Witness {
                worker: it.id.clone(),
                started_at_ms: it.started_at_ms,
                address: Some(it.address),
            })
            .collect();
        next_witnesses.sort_unstable_by(|a, b| a.worker.cmp(&b.worker));
        let it = &mut self.succession;
        it.review_at = now + REVIEW_INTERVAL;
        if !next_witnesses.is_empty() && next_witnesses != it.witnesses {
            it.next_witnesses = Some(next_witnesses);
        }
    }
}

/// Whether a witness, or a later incarnation of it, has answered under this owner's epoch: it
/// rejects all earlier owners.
fn has_answered(worker: &Worker, witness: &Witness) -> bool {
    worker.fenced && worker.started_at_ms >= witness.started_at_ms
}

/// Whether a witness has ended.
fn has_ended(worker: &Worker, witness: &Witness) -> bool {
    worker.replaced && worker.started_at_ms >= witness.started_at_ms
}
