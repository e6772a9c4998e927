//! What stands in a shard's log.

use daisy_workflow::{Batch, Ledger, Record, decode, encode};

/// The shard's submissions, and the newest record of each key of its progress.
#[derive(Debug, Default)]
pub struct Log {
    pub submissions: Vec<Record>,
    progress: Vec<Record>,
}

impl Log {
    /// Adds a submission; the record as it is read.
    pub fn submit(&mut self, record: &Record) -> Record {
        let record = as_read(record);
        self.submissions.push(record.clone());
        record
    }

    /// Adds what an owner recorded; the records as they are read.
    pub fn store(&mut self, batch: &Batch) -> Vec<Record> {
        let records: Vec<Record> = batch.records.iter().map(as_read).collect();
        for record in &records {
            let key = encode(record).0;
            self.progress.retain(|it| encode(it).0 != key);
            self.progress.push(record.clone());
        }
        records
    }

    /// What a new owner reads, submissions in the order of their keys or as they were written.
    pub fn read(&self, by_key: bool, progress_first: bool) -> Ledger {
        let mut submissions = self.submissions.clone();
        if by_key {
            submissions.sort_by_key(|it| encode(it).0);
        }
        let mut ledger = Ledger::default();
        let (first, second) = match progress_first {
            true => (&self.progress, &submissions),
            false => (&submissions, &self.progress),
        };
        for it in first.iter().chain(second) {
            ledger.fold(it.clone());
        }
        ledger
    }
}

fn as_read(record: &Record) -> Record {
    let (key, value) = encode(record);
    decode(&key, &value).expect("own records can be read")
}
