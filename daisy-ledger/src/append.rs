//! The queue of records that a process appends: in batches, in order, with retries after lost
//! answers, within a budget of appends.

use std::{collections::VecDeque, ops::Range, time::Duration};

use daisy_model::{Instant, Offset};

use crate::{AppendId, Batch, Record};

/// Options of a [`Queue`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Identifies this process in append ids; chosen at random when it starts.
    pub sender: u64,
    /// The shortest time between the starts of two appends: this process's share of the budget.
    ///
    /// 200 appends a second for 48 entry VMs (the platform accepts a few hundred) give 250 ms.
    pub interval: Duration,
    /// The most records of one append.
    pub max_records: usize,
    /// The most bytes of one append by [`Record::approximate_bytes`]; a single record may exceed
    /// it.
    pub max_bytes: usize,
    /// How long to wait for an answer before the append is sent again.
    pub timeout: Duration,
    /// The longest wait between two attempts; it starts at `interval` and doubles each time.
    pub max_backoff: Duration,
    /// The most waiting records; further ones are rejected.
    pub capacity: usize,
}

impl Options {
    /// Returns the default options of a process `sender` that may append once per `interval`.
    pub fn new(sender: u64, interval: Duration) -> Options {
        Options {
            sender,
            interval,
            max_records: 512,
            max_bytes: 256 << 10,
            timeout: Duration::from_secs(2),
            max_backoff: Duration::from_secs(5),
            capacity: 20_000,
        }
    }
}

/// Input of [`Queue::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The platform answered that the append is in the log at `offset`.
    Answered {
        /// The append.
        id: AppendId,
        /// Its offset.
        offset: Offset,
    },
    /// No answer was received, or one that leaves the outcome unknown.
    Unanswered {
        /// The append.
        id: AppendId,
    },
    /// The platform is busy and asks to retry later; nothing was appended.
    Busy {
        /// The append.
        id: AppendId,
    },
    /// The platform will never accept the append, for example because it is too long.
    Rejected {
        /// The append.
        id: AppendId,
    },
    /// The append was folded, so it is in the log even if no answer was received.
    Folded {
        /// The append.
        id: AppendId,
    },
    /// Time has passed.
    Tick,
}

/// Output of [`Queue::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the batch, under its id.
    Send(Batch),
    /// The records with these tickets have been folded, as one log entry and in this order.
    Done(Range<u64>),
    /// The records with these tickets will never be appended.
    Dropped(Range<u64>),
}

/// Too many records are waiting because the platform is down or slow; returns the record to the
/// caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{waiting} records wait for the log")]
pub struct QueueFull {
    /// The record that was not accepted.
    pub record: Box<Record>,
    /// The number of waiting records.
    pub waiting: usize,
}

/// The most batches that are answered but not yet folded; further ones wait for the reader.
const MAX_UNFOLDED: usize = 64;

#[derive(Debug)]
struct Outstanding {
    batch: Batch,
    tickets: Range<u64>,
    /// Whether an attempt has been sent and its outcome is not known yet.
    is_in_flight: bool,
    /// Whether the last finished attempt got no answer.
    is_answer_lost: bool,
    /// When the attempt in flight times out or, if there is none, when the next one starts.
    deadline: Instant,
    backoff: Duration,
}

/// The queue of records that a process appends to the log.
///
/// One append is outstanding at a time, and it is sent again under the same id until it is
/// answered or folded. Records are therefore in the log in the order in which they were pushed,
/// and a fold that remembers only the last id of each sender applies each of them once.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    waiting: VecDeque<Record>,
    next_ticket: u64,
    next_seq: u64,
    outstanding: Option<Outstanding>,
    unfolded: VecDeque<(u64, Range<u64>)>,
    next_send_at: Instant,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new(options: Options) -> Queue {
        Queue {
            options,
            waiting: VecDeque::new(),
            next_ticket: 0,
            next_seq: 1,
            outstanding: None,
            unfolded: VecDeque::new(),
            next_send_at: Instant::default(),
        }
    }

    /// Adds a record and returns its ticket; tickets count from 0. Fails if the queue is full.
    ///
    /// Call [`Queue::step`] with [`Event::Tick`] afterwards to have it sent.
    pub fn push(&mut self, record: Record) -> Result<u64, QueueFull> {
        let waiting = self.waiting.len();
        if waiting >= self.options.capacity {
            return Err(QueueFull { record: Box::new(record), waiting });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push_back(record);
        Ok(ticket)
    }

    /// Handles `event` at `now` and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Answered { id, .. } => self.handle_answered(id),
            Event::Unanswered { id } => self.schedule_retry(now, id, true),
            Event::Busy { id } => self.schedule_retry(now, id, false),
            Event::Rejected { id } => self.handle_rejected(id, actions),
            Event::Folded { id } => self.handle_folded(id, actions),
            Event::Tick => self.expire_attempt(now),
        }
        self.send(now, actions);
    }

    /// Returns when to call [`Queue::step`] next if no other event occurs.
    pub fn next_step_at(&self) -> Option<Instant> {
        match &self.outstanding {
            Some(outstanding) => Some(outstanding.deadline),
            None if self.can_batch() => Some(self.next_send_at),
            None => None,
        }
    }

    /// Returns the number of records that are not known to be in the log.
    pub fn backlog(&self) -> usize {
        let outstanding = self.outstanding.as_ref().map_or(0, |it| it.batch.records.len());
        self.waiting.len() + outstanding
    }

    /// Returns whether the log is believed to accept appends.
    ///
    /// Guard: the log is treated as unreachable only while an append is being retried. The loss of
    /// an answer may be detected after the append was folded. If the loss alone made the log
    /// unreachable, it would remain unreachable, since nothing is sent in this state.
    pub fn is_reachable(&self) -> bool {
        self.outstanding.as_ref().is_none_or(|it| !it.is_answer_lost)
    }

    fn can_batch(&self) -> bool {
        !self.waiting.is_empty() && self.unfolded.len() < MAX_UNFOLDED
    }

    /// Removes and returns the outstanding append if its id is `id`.
    fn take_outstanding(&mut self, id: AppendId) -> Option<Outstanding> {
        self.outstanding.take_if(|it| it.batch.id == id)
    }

    fn handle_answered(&mut self, id: AppendId) {
        if let Some(done) = self.take_outstanding(id) {
            self.unfolded.push_back((id.seq, done.tickets));
        }
    }

    fn schedule_retry(&mut self, now: Instant, id: AppendId, is_answer_lost: bool) {
        let max_backoff = self.options.max_backoff;
        let Some(outstanding) = self.outstanding.as_mut().filter(|it| it.batch.id == id) else {
            return;
        };
        if !outstanding.is_in_flight {
            return;
        }
        outstanding.is_in_flight = false;
        outstanding.is_answer_lost = is_answer_lost;
        outstanding.deadline = now + outstanding.backoff;
        outstanding.backoff = (outstanding.backoff * 2).min(max_backoff);
    }

    fn handle_rejected(&mut self, id: AppendId, actions: &mut Vec<Action>) {
        if let Some(rejected) = self.take_outstanding(id) {
            actions.push(Action::Dropped(rejected.tickets));
        }
    }

    /// Handles a folded append. It is treated as answered, because its answer may have been lost.
    fn handle_folded(&mut self, id: AppendId, actions: &mut Vec<Action>) {
        if id.sender != self.options.sender {
            return;
        }
        self.handle_answered(id);
        let done = self.unfolded.partition_point(|(seq, _)| *seq <= id.seq);
        actions.extend(self.unfolded.drain(..done).map(|(_, tickets)| Action::Done(tickets)));
    }

    fn expire_attempt(&mut self, now: Instant) {
        let expired = self.outstanding.as_ref().filter(|it| it.is_in_flight && it.deadline <= now);
        if let Some(id) = expired.map(|it| it.batch.id) {
            self.schedule_retry(now, id, true);
        }
    }

    fn send(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.outstanding.is_none() && self.can_batch() && self.next_send_at <= now {
            self.outstanding = Some(self.next_batch(now));
        }
        let Some(outstanding) = &mut self.outstanding else { return };
        if outstanding.is_in_flight || outstanding.deadline > now || self.next_send_at > now {
            return;
        }
        outstanding.is_in_flight = true;
        outstanding.deadline = now + self.options.timeout;
        self.next_send_at = now + self.options.interval;
        actions.push(Action::Send(outstanding.batch.clone()));
    }

    fn next_batch(&mut self, now: Instant) -> Outstanding {
        let first_ticket = self.next_ticket - self.waiting.len() as u64;
        let mut records: Vec<Record> = Vec::new();
        let mut approximate_bytes = 0;
        while let Some(record) = self.waiting.front() {
            approximate_bytes += record.approximate_bytes();
            let full = records.len() >= self.options.max_records
                || approximate_bytes > self.options.max_bytes;
            if full && !records.is_empty() {
                break;
            }
            records.extend(self.waiting.pop_front());
        }
        let tickets = first_ticket..first_ticket + records.len() as u64;
        let id = AppendId { sender: self.options.sender, seq: self.next_seq };
        self.next_seq += 1;
        let batch = Batch { id, records };
        let backoff = self.options.interval.max(Duration::from_millis(10));
        Outstanding {
            batch,
            tickets,
            is_in_flight: false,
            is_answer_lost: false,
            deadline: now,
            backoff,
        }
    }
}
