//! What this process appends to the log, and who waits for it.

use std::time::Duration;

use daisy_ledger::{
    AppendId, Batch, Outcome, Record,
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

/// The least time between two appends of one process.
///
/// Only holders append often: six of them come to 40 appends a second, and the platform takes a
/// few hundred. At 50 ms the log itself was 2.2 KB a second at the peak of 62 starts a second
/// (`daisy-measure ledger`), more than a node may spend on all of control. A first append after
/// a pause does not wait.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(150);

/// What became of a record that somebody waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    /// The fold has decided.
    Folded(Outcome),
    /// It is not in the log and will not be.
    NotSent(&'static str),
}

/// One try to append has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Appended {
    /// The append.
    pub id: AppendId,
    /// When it was sent.
    pub asked: Instant,
    /// What came of it.
    pub outcome: AppendOutcome,
}

/// Records on their way to the log.
#[derive(Debug)]
pub(super) struct Appends {
    queue: Queue,
    /// By ticket.
    waiters: SortedMap<u64, oneshot::Sender<SubmitOutcome>>,
    /// Names claims, which do not go through the queue.
    last_claim: AppendId,
    /// What was last told about the log's reach.
    reported_reachable: bool,
    flushing: Vec<oneshot::Sender<()>>,
}

impl Appends {
    /// Nothing on its way, for the process that `sender` names.
    pub fn new(sender: u64) -> Appends {
        Appends {
            queue: Queue::new(Options::new(sender, MIN_APPEND_INTERVAL)),
            waiters: SortedMap::new(),
            last_claim: AppendId { sender: !sender, seq: 0 },
            reported_reachable: true,
            flushing: Vec::new(),
        }
    }

    /// Records that are not known to be in the log.
    pub fn backlog(&self) -> usize {
        self.queue.backlog()
    }

    /// Whether the log takes appends, as far as is known.
    pub fn reachable(&self) -> bool {
        self.queue.is_reachable()
    }

    /// When the queue wants to be looked at.
    pub fn wake(&self) -> Option<Instant> {
        self.queue.wake()
    }
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Appends a record, sent again until it is in the log.
    pub(super) fn append(&mut self, record: Record) {
        if let Err(full) = self.appends.queue.push(record) {
            // The holder appends again what the ledger does not show.
            log::warn!("event=append_dropped cause=\"{full}\"");
        }
    }

    /// Appends a record that somebody waits for.
    ///
    /// While the log is out of reach nothing more is taken in: its sender would be told that
    /// it failed, and see it take effect an hour later.
    pub(super) fn submit(&mut self, record: Record, reply: oneshot::Sender<SubmitOutcome>) {
        if !self.appends.reachable() {
            let _ = reply.send(SubmitOutcome::NotSent("the log takes no appends"));
            return;
        }
        match self.appends.queue.push(record) {
            Ok(ticket) => drop(self.appends.waiters.insert(ticket, reply)),
            Err(_) => drop(reply.send(SubmitOutcome::NotSent("too many records wait for the log"))),
        }
    }

    /// Appends a claim, once.
    ///
    /// Guard: a claim that took effect long after it was decided would depose a healthy holder
    /// that came in between. It goes past the queue, which would send it again until the end
    /// of an outage, and another claim is a new decision.
    pub(super) fn append_claim(&mut self) {
        self.appends.last_claim.seq += 1;
        let record = Record::Claim { dc: self.identity.dc, holder: self.identity.vm };
        let batch = Batch { id: self.appends.last_claim, records: vec![record] };
        self.send(batch);
    }

    /// Takes the outcome of a try in.
    pub(super) fn handle_append_result(&mut self, now: Instant, appended: Appended) {
        let Appended { id, asked, outcome } = appended;
        self.out.metrics.append(matches!(outcome, AppendOutcome::Stored(_)));
        if matches!(outcome, AppendOutcome::Stored(_)) {
            self.step_membership(now, MembershipEvent::Log { asked, end: None });
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

    /// The fold has come to an append, which may be an own one.
    pub(super) fn append_folded(&mut self, now: Instant, id: AppendId, outcomes: &[Outcome]) {
        self.step_queue(now, Event::Folded { id }, Some(outcomes));
    }

    /// Lets the queue send what is due, and tells who waits for all of it.
    pub(super) fn flush(&mut self, now: Instant) {
        self.step_queue(now, Event::Tick, None);
        if self.appends.queue.backlog() == 0 {
            for waiter in self.appends.flushing.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    /// Tells `waiter` when everything that was to be appended is in the log.
    pub(super) fn notify_when_flushed(&mut self, waiter: oneshot::Sender<()>) {
        self.appends.flushing.push(waiter);
    }

    fn step_queue(&mut self, now: Instant, event: Event, outcomes: Option<&[Outcome]>) {
        let mut actions = Vec::new();
        self.appends.queue.step(now, event, &mut actions);
        // Appends are folded in order: the last that is done is the one that was met now.
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
                    let outcome = SubmitOutcome::NotSent("the log does not take it");
                    tickets.for_each(|it| self.resolve_waiter(it, Some(outcome.clone())));
                }
            }
        }
        self.report_reachability(now);
    }

    /// Tells the holder when the log has come into or out of reach.
    fn report_reachability(&mut self, now: Instant) {
        let reachable = self.appends.queue.is_reachable();
        if self.appends.reported_reachable != reachable {
            self.appends.reported_reachable = reachable;
            log::warn!("event=log_appends reachable={reachable}");
            self.drive_holder(now, daisy_placement::Event::Log { reachable });
        }
    }

    /// Tells a waiter; without a verdict its sender is dropped, and the outcome stays open.
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
