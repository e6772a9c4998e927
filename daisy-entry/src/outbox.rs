//! What this process appends to the log: queued, batched, one append at a time.

use std::{collections::VecDeque, mem};

use daisy_ledger::{AppendId, Batch, Record};
use daisy_model::Instant;

/// Records that one append carries at most.
///
/// The log takes a few hundred appends a second from all processes together, so what has
/// gathered goes out as one; a record names at most some 500 tasks, and 64 of them stay well
/// below the longest entry of 1 MiB.
const BATCH_RECORDS: usize = 64;

/// One record on its way, and who waits for it.
#[derive(Debug)]
struct Entry<W> {
    record: Record,
    /// Not sent for the first time after this instant.
    until: Option<Instant>,
    waiter: Option<W>,
}

/// An append that has been sent and not confirmed.
#[derive(Debug)]
struct Outstanding<W> {
    seq: u64,
    /// Waiters by the position of their record.
    waiters: Vec<(usize, W)>,
}

/// The append on its way.
#[derive(Debug, Clone, Copy)]
struct Sending {
    claim: bool,
}

/// Queues records and gathers them into batches; `W` is told what the fold made of a record.
#[derive(Debug)]
pub(crate) struct Outbox<W> {
    sender: u64,
    seq: u64,
    queue: VecDeque<Entry<W>>,
    sending: Option<Sending>,
    unfolded: Vec<Outstanding<W>>,
}

impl<W> Outbox<W> {
    /// An empty outbox of the process that `sender` names.
    pub fn new(sender: u64) -> Outbox<W> {
        Outbox { sender, seq: 0, queue: VecDeque::new(), sending: None, unfolded: Vec::new() }
    }

    /// Records that have not been sent.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits to be sent or confirmed.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.sending.is_none()
    }

    /// Queues a record.
    pub fn push(&mut self, record: Record, until: Option<Instant>, waiter: Option<W>) {
        self.queue.push_back(Entry { record, until, waiter });
    }

    /// Takes out what was never sent and has waited too long, with its waiters.
    pub fn expire(&mut self, now: Instant) -> Vec<(Record, Option<W>)> {
        let (late, kept) = mem::take(&mut self.queue)
            .into_iter()
            .partition(|it: &Entry<W>| it.until.is_some_and(|until| now >= until));
        self.queue = kept;
        late.into_iter().map(|it| (it.record, it.waiter)).collect()
    }

    /// The next batch to send, if none is on its way.
    ///
    /// One at a time: a later append must not overtake an earlier one that is sent again.
    pub fn try_next(&mut self) -> Option<Batch> {
        if self.sending.is_some() || self.queue.is_empty() {
            return None;
        }
        let alone = |it: &Entry<W>| goes_alone(&it.record);
        let front = self.queue.front();
        let claim = front.is_some_and(|it| matches!(it.record, Record::Claim { .. }));
        let count = match front.is_some_and(alone) {
            true => 1,
            false => self.queue.iter().take(BATCH_RECORDS).take_while(|it| !alone(it)).count(),
        };
        self.seq += 1;
        self.sending = Some(Sending { claim });
        let mut records = Vec::with_capacity(count);
        let mut waiters = Vec::new();
        for (position, entry) in self.queue.drain(..count).enumerate() {
            records.push(entry.record);
            waiters.extend(entry.waiter.map(|waiter| (position, waiter)));
        }
        if !waiters.is_empty() {
            self.unfolded.push(Outstanding { seq: self.seq, waiters });
        }
        Some(Batch { id: AppendId { sender: self.sender, seq: self.seq }, records })
    }

    /// The append on its way was confirmed, or is given up; whether it was a claim.
    pub fn sent(&mut self) -> bool {
        self.sending.take().is_some_and(|it| it.claim)
    }

    /// The fold has come to the append `id`: its waiters by the position of their record.
    pub fn folded(&mut self, id: AppendId) -> Vec<(usize, W)> {
        if id.sender != self.sender {
            return Vec::new();
        }
        let at = self.unfolded.iter().position(|it| it.seq == id.seq);
        at.map_or(Vec::new(), |at| self.unfolded.remove(at).waiters)
    }
}

/// A claim is given up when no answer comes, while all else is sent again; a part of a
/// snapshot fills an entry of the log.
fn goes_alone(record: &Record) -> bool {
    matches!(record, Record::Claim { .. } | Record::Snapshot { .. })
}
