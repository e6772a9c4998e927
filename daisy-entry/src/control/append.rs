//! Appends of this process to the log, and the tasks that wait for their outcome.

use std::time::Duration;

use daisy_ledger::{
    AppendId, Batch, Record, RecordOutcome,
    append::{Action, Event, Options, Queue},
};
use daisy_membership::Event as MembershipEvent;
use daisy_model::{Instant, SortedMap};
use daisy_routing::{KeyAnswer, KeyQuery};
use tokio::sync::oneshot;

use crate::{
    append_calls::{self, AppendOutcome},
    boundary::RequestSide,
    control::Control,
};

/// The minimum interval between two appends of one process.
///
/// Only holders append often: six of them add up to 40 appends a second, and the platform accepts a
/// few hundred. At 50 ms the log itself was 2.2 KB a second at the peak of 62 starts a second
/// (`daisy-measure ledger`), more than a node may use for all of its control traffic. The
/// first append after a pause is sent at once.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(150);

/// The outcome of a submitted record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// The fold has processed the record.
    Folded(RecordOutcome),
    /// The record is not in the log and will not be appended.
    NotAppended(&'static str),
}

/// The result of one append attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Appended {
    /// The ID of the append.
    pub id: AppendId,
    /// When it was sent.
    pub sent_at: Instant,
    /// The outcome of the attempt.
    pub outcome: AppendOutcome,
}

/// Records that are being appended to the log.
#[derive(Debug)]
pub(super) struct Appends {
    queue: Queue,
    /// Senders of outcomes, by the ticket of the record.
    waiters: SortedMap<u64, oneshot::Sender<SubmitOutcome>>,
    /// The ID of the last claim; claims do not go through the queue.
    last_claim: AppendId,
    /// The reachability of the log that was last reported to the holder.
    reported_reachable: bool,
    flush_waiters: Vec<oneshot::Sender<()>>,
}

impl Appends {
    /// Creates an empty queue for the process with the sender ID `sender`.
    pub fn new(sender: u64) -> Appends {
        Appends {
            queue: Queue::new(Options::new(sender, MIN_APPEND_INTERVAL)),
            waiters: SortedMap::new(),
            last_claim: AppendId { sender: !sender, seq: 0 },
            reported_reachable: true,
            flush_waiters: Vec::new(),
        }
    }

    /// Returns the number of records that are not known to be in the log.
    pub fn backlog(&self) -> usize {
        self.queue.backlog()
    }

    /// Returns whether the log accepts appends, as far as is known.
    pub fn is_reachable(&self) -> bool {
        self.queue.is_reachable()
    }

    /// Returns when the queue must be checked next.
    pub fn next_step_at(&self) -> Option<Instant> {
        self.queue.next_step_at()
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Appends a record; it is sent again until it is in the log.
    pub(super) fn append(&mut self, record: Record) {
        if let Err(full) = self.appends.queue.push(record) {
            // The holder appends again the records that are missing from the ledger.
            log::warn!("event=append_dropped cause=\"{full}\"");
        }
    }

    /// Appends a record whose outcome is sent to `reply`.
    ///
    /// No records are accepted while the log is unreachable: the sender would get an error, but the
    /// change could still take effect an hour later.
    pub(super) fn submit(&mut self, record: Record, reply: oneshot::Sender<SubmitOutcome>) {
        if !self.appends.is_reachable() {
            let _ = reply.send(SubmitOutcome::NotAppended("the log does not accept appends"));
            return;
        }
        match self.appends.queue.push(record) {
            Ok(ticket) => drop(self.appends.waiters.insert(ticket, reply)),
            Err(_) => {
                drop(reply.send(SubmitOutcome::NotAppended(
                    "too many records are waiting to be appended",
                )))
            }
        }
    }

    /// Appends a claim, once.
    ///
    /// Guard: a claim that took effect long after it was decided would replace a healthy holder
    /// that has taken over in the meantime. Claims therefore bypass the queue, which would send
    /// them again until the end of an outage. Another claim requires a new decision.
    pub(super) fn append_claim(&mut self) {
        self.appends.last_claim.seq += 1;
        let record = Record::Claim { dc: self.identity.dc, holder: self.identity.vm };
        let batch = Batch { id: self.appends.last_claim, records: vec![record] };
        self.send(batch);
    }

    /// Handles the result of an append attempt.
    pub(super) fn handle_append_result(&mut self, now: Instant, appended: Appended) {
        let Appended { id, sent_at, outcome } = appended;
        self.out.metrics.append(matches!(outcome, AppendOutcome::Stored(_)));
        if matches!(outcome, AppendOutcome::Stored(_)) {
            self.step_membership(now, MembershipEvent::LogAnswered { sent_at, end: None });
        }
        if id.sender == self.appends.last_claim.sender {
            self.step_membership(now, MembershipEvent::ClaimEnded);
            return;
        }
        let event = match outcome {
            AppendOutcome::Stored(offset) => Event::Answered { id, offset },
            AppendOutcome::Unanswered => Event::Unanswered { id },
            AppendOutcome::Busy => Event::Busy { id },
            AppendOutcome::Rejected => Event::Rejected { id },
        };
        self.step_queue(now, event, None);
    }

    /// Handles an append that the fold has reached; it may be one of this process.
    pub(super) fn append_folded(&mut self, now: Instant, id: AppendId, outcomes: &[RecordOutcome]) {
        self.step_queue(now, Event::Folded { id }, Some(outcomes));
    }

    /// Lets the queue send what is due, and notifies the flush waiters once it is empty.
    pub(super) fn flush(&mut self, now: Instant) {
        self.step_queue(now, Event::Tick, None);
        if self.appends.queue.backlog() == 0 {
            for waiter in self.appends.flush_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    /// Notifies `waiter` once all queued records are in the log.
    pub(super) fn notify_when_flushed(&mut self, waiter: oneshot::Sender<()>) {
        self.appends.flush_waiters.push(waiter);
    }

    fn step_queue(&mut self, now: Instant, event: Event, outcomes: Option<&[RecordOutcome]>) {
        let mut actions = Vec::new();
        self.appends.queue.step(now, event, &mut actions);
        // Appends are folded in order: of those that are done, the last is the one that the fold
        // has just reached.
        let last = actions.iter().rposition(|it| matches!(it, Action::Done(_)));
        for (at, action) in actions.into_iter().enumerate() {
            match action {
                Action::Send(batch) => self.send(batch),
                Action::Done(tickets) => {
                    let outcomes = outcomes.filter(|_| Some(at) == last).unwrap_or(&[]);
                    for (ticket, outcome) in tickets.clone().zip(outcomes) {
                        self.resolve_waiter(ticket, Some(SubmitOutcome::Folded(outcome.clone())));
                    }
                    tickets.for_each(|ticket| self.resolve_waiter(ticket, None));
                }
                Action::Dropped(tickets) => {
                    let outcome = SubmitOutcome::NotAppended("the log rejected the record");
                    tickets.for_each(|it| self.resolve_waiter(it, Some(outcome.clone())));
                }
            }
        }
        self.report_reachability(now);
    }

    /// Reports to the holder when the log becomes reachable or unreachable.
    fn report_reachability(&mut self, now: Instant) {
        let reachable = self.appends.queue.is_reachable();
        if self.appends.reported_reachable != reachable {
            self.appends.reported_reachable = reachable;
            log::warn!("event=log_appends reachable={reachable}");
            self.drive_holder(now, daisy_placement::Event::Log { reachable });
        }
    }

    /// Sends the outcome to a waiter; without one the sender is dropped, and the outcome stays
    /// unknown.
    fn resolve_waiter(&mut self, ticket: u64, outcome: Option<SubmitOutcome>) {
        if let Some(waiter) = self.appends.waiters.remove(&ticket)
            && let Some(outcome) = outcome
        {
            let _ = waiter.send(outcome);
        }
    }

    fn send(&self, batch: Batch) {
        let (platform, control) = (self.out.platform.clone(), self.out.control.clone());
        append_calls::spawn(platform, self.clock, batch, control);
    }
}
