//! What an owner tells all VMs: states of its jobs, and that it lives.

use std::time::Duration;

use daisy_model::{Instant, SortedMap};
use daisy_workflow::{JobId, JobState, Record, Sign};

/// The shortest time between two appends of states, so that they gather: each call is paid for,
/// and the platform takes the appends of all owners one after the other, 2 ms each.
const GAP: Duration = Duration::from_millis(30);
/// Between signs of life. Others claim after 1.4 s without one.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// States told in one append, of some 30 bytes each.
const STATES_MAX: usize = 500;

/// What was told, and what is to be told next.
#[derive(Debug)]
pub(crate) struct Telling {
    told: SortedMap<JobId, JobState>,
    waiting: SortedMap<JobId, JobState>,
    /// When the last append began.
    at: Instant,
    signed_at: Option<Instant>,
}

impl Telling {
    /// `told` is what the log says already.
    pub fn new(now: Instant, told: SortedMap<JobId, JobState>) -> Telling {
        Telling { told, waiting: SortedMap::new(), at: now, signed_at: None }
    }

    /// A state that now stands in the log of the shard.
    pub fn add(&mut self, id: JobId, state: JobState) {
        let known = self.told.get(&id).max(self.waiting.get(&id));
        if known.is_none_or(|it| *it < state) {
            self.waiting.insert(id, state);
        }
    }

    /// What to append now, if anything is due; `sign` makes the sign of life.
    pub fn try_records(
        &mut self,
        now: Instant,
        sign: impl FnOnce() -> Sign,
    ) -> Option<Vec<Record>> {
        let sign_due = self.signed_at.is_none_or(|at| now.since(at) >= HEARTBEAT);
        let states_due = !self.waiting.is_empty() && now.since(self.at) >= GAP;
        if !sign_due && !states_due {
            return None;
        }
        self.at = now;
        let mut records = Vec::new();
        if sign_due {
            self.signed_at = Some(now);
            records.push(Record::Sign(sign()));
        }
        records.extend(self.records());
        Some(records)
    }

    /// The states to be told next.
    pub fn records(&mut self) -> Vec<Record> {
        let next: Vec<_> =
            self.waiting.iter().take(STATES_MAX).map(|(id, it)| (*id, *it)).collect();
        let mut records = Vec::with_capacity(next.len());
        for (id, state) in next {
            self.waiting.remove(&id);
            self.told.insert(id, state);
            records.push(Record::State(id, state));
        }
        records
    }

    /// Whether there are states to be told.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
