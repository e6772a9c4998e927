//! What a process appends: in batches, in order, again after lost answers, within a budget.

use std::{collections::VecDeque, ops::Range, time::Duration};

use daisy_model::{Instant, Offset};

use crate::{AppendId, Batch, Record};

/// How a queue works.
#[derive(Debug, Clone)]
pub struct Options {
    /// Names this process in append ids; drawn at random when it starts.
    pub sender: u64,
    /// The least time between the starts of two appends: this process's share of the budget.
    ///
    /// 200 appends a second for 48 entry VMs (the platform takes a few hundred) leave 250 ms.
    pub interval: Duration,
    /// The most records of one append.
    pub max_records: usize,
    /// The most bytes of one append, by [`Record::weight`]; one record alone may be longer.
    pub max_weight: usize,
    /// How long an answer is waited for before the append is sent again.
    pub timeout: Duration,
    /// The longest wait between two attempts; the first is `interval`, then it doubles.
    pub max_backoff: Duration,
    /// The most records that wait; more are refused.
    pub capacity: usize,
}

impl Options {
    /// The usual options of a process called `sender` that may append once in `interval`.
    pub fn new(sender: u64, interval: Duration) -> Options {
        Options {
            sender,
            interval,
            max_records: 512,
            max_weight: 256 << 10,
            timeout: Duration::from_secs(2),
            max_backoff: Duration::from_secs(5),
            capacity: 20_000,
        }
    }
}

/// What a queue learns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The platform answered that the append stands at `offset`.
    Answered {
        /// The append.
        id: AppendId,
        /// Where it stands.
        offset: Offset,
    },
    /// No answer came, or one that leaves the outcome open.
    Unanswered {
        /// The append.
        id: AppendId,
    },
    /// The platform asks to wait; nothing was appended.
    Busy {
        /// The append.
        id: AppendId,
    },
    /// The platform will never take the append, such as one that is too long.
    Rejected {
        /// The append.
        id: AppendId,
    },
    /// The fold met the append, so it stands in the log whether an answer came or not.
    Folded {
        /// The append.
        id: AppendId,
    },
    /// Time has passed.
    Tick,
}

/// What a queue wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the batch, under its id.
    Send(Batch),
    /// The records with these tickets have been folded, as one log entry and in this order.
    Done(Range<u64>),
    /// The records with these tickets will never be appended.
    Dropped(Range<u64>),
}

/// Too many records wait, since the platform is down or slow; the caller gets its record back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{waiting} records wait for the log")]
pub struct Full {
    /// The record that was not taken.
    pub record: Box<Record>,
    /// How many wait.
    pub waiting: usize,
}

/// Batches that have an answer but have not been folded; more wait for the reader.
const MAX_UNFOLDED: usize = 64;

#[derive(Debug)]
struct Outstanding {
    batch: Batch,
    tickets: Range<u64>,
    /// Whether an attempt is under way.
    sent: bool,
    /// Whether the last attempt that ended got no answer.
    lost: bool,
    /// When to give the attempt up or, if none is under way, to start the next one.
    next: Instant,
    backoff: Duration,
}

/// The records that a process wants in the log.
///
/// One append is outstanding at a time, and is sent again under the same id until it is
/// answered or seen in the log: records thus stand in the log in the order in which they were
/// pushed, and a fold that remembers only the last id of each sender takes each once.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    waiting: VecDeque<Record>,
    next_ticket: u64,
    next_seq: u64,
    outstanding: Option<Outstanding>,
    unfolded: VecDeque<(u64, Range<u64>)>,
    earliest: Instant,
}

impl Queue {
    /// An empty queue.
    pub fn new(options: Options) -> Queue {
        Queue {
            options,
            waiting: VecDeque::new(),
            next_ticket: 0,
            next_seq: 1,
            outstanding: None,
            unfolded: VecDeque::new(),
            earliest: Instant::default(),
        }
    }

    /// Takes a record in and gives its ticket; tickets count from 0.
    ///
    /// Call [`Queue::step`] with [`Event::Tick`] afterwards to have it sent.
    pub fn push(&mut self, record: Record) -> Result<u64, Full> {
        let waiting = self.waiting.len();
        if waiting >= self.options.capacity {
            return Err(Full { record: Box::new(record), waiting });
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push_back(record);
        Ok(ticket)
    }

    /// Takes `event` in at `now` and pushes what is to be done.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Answered { id, .. } => self.answered(id),
            Event::Unanswered { id } => self.try_later(now, id, true),
            Event::Busy { id } => self.try_later(now, id, false),
            Event::Rejected { id } => self.rejected(id, actions),
            Event::Folded { id } => self.folded(id, actions),
            Event::Tick => self.give_up_attempt(now),
        }
        self.send(now, actions);
    }

    /// When to call [`Queue::step`] next if nothing else happens.
    pub fn wake(&self) -> Option<Instant> {
        match &self.outstanding {
            Some(outstanding) => Some(outstanding.next),
            None if self.can_batch() => Some(self.earliest),
            None => None,
        }
    }

    /// The number of records that are not known to be in the log.
    pub fn backlog(&self) -> usize {
        let outstanding = self.outstanding.as_ref().map_or(0, |it| it.batch.records.len());
        self.waiting.len() + outstanding
    }

    /// Whether the log takes appends, as far as is known.
    ///
    /// Guard: it is out of reach only as long as an append is tried again. The loss of an answer
    /// may be noticed after the fold met the append; taken by itself it would stand for ever, as
    /// nothing is sent while the log is out of reach.
    pub fn is_reachable(&self) -> bool {
        self.outstanding.as_ref().is_none_or(|it| !it.lost)
    }

    fn can_batch(&self) -> bool {
        !self.waiting.is_empty() && self.unfolded.len() < MAX_UNFOLDED
    }

    /// Takes the outstanding append out if it is `id`.
    fn take(&mut self, id: AppendId) -> Option<Outstanding> {
        self.outstanding.take_if(|it| it.batch.id == id)
    }

    fn answered(&mut self, id: AppendId) {
        if let Some(done) = self.take(id) {
            self.unfolded.push_back((id.seq, done.tickets));
        }
    }

    fn try_later(&mut self, now: Instant, id: AppendId, lost: bool) {
        let max_backoff = self.options.max_backoff;
        let Some(outstanding) = self.outstanding.as_mut().filter(|it| it.batch.id == id) else {
            return;
        };
        if !outstanding.sent {
            return;
        }
        outstanding.sent = false;
        outstanding.lost = lost;
        outstanding.next = now + outstanding.backoff;
        outstanding.backoff = (outstanding.backoff * 2).min(max_backoff);
    }

    fn rejected(&mut self, id: AppendId, actions: &mut Vec<Action>) {
        if let Some(rejected) = self.take(id) {
            actions.push(Action::Dropped(rejected.tickets));
        }
    }

    /// An answer can be lost after the append took effect: the log itself then tells.
    fn folded(&mut self, id: AppendId, actions: &mut Vec<Action>) {
        if id.sender != self.options.sender {
            return;
        }
        self.answered(id);
        let done = self.unfolded.partition_point(|(seq, _)| *seq <= id.seq);
        actions.extend(self.unfolded.drain(..done).map(|(_, tickets)| Action::Done(tickets)));
    }

    fn give_up_attempt(&mut self, now: Instant) {
        let expired = self.outstanding.as_ref().filter(|it| it.sent && it.next <= now);
        if let Some(id) = expired.map(|it| it.batch.id) {
            self.try_later(now, id, true);
        }
    }

    fn send(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.outstanding.is_none() && self.can_batch() && self.earliest <= now {
            self.outstanding = Some(self.next_batch(now));
        }
        let Some(outstanding) = &mut self.outstanding else { return };
        if outstanding.sent || outstanding.next > now || self.earliest > now {
            return;
        }
        outstanding.sent = true;
        outstanding.next = now + self.options.timeout;
        self.earliest = now + self.options.interval;
        actions.push(Action::Send(outstanding.batch.clone()));
    }

    fn next_batch(&mut self, now: Instant) -> Outstanding {
        let first_ticket = self.next_ticket - self.waiting.len() as u64;
        let mut records: Vec<Record> = Vec::new();
        let mut weight = 0;
        while let Some(record) = self.waiting.front() {
            weight += record.weight();
            let full =
                records.len() >= self.options.max_records || weight > self.options.max_weight;
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
        Outstanding { batch, tickets, sent: false, lost: false, next: now, backoff }
    }
}
