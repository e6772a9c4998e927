//! The log of a shard.

use daisy_workflow::{Batch, JobId, Ledger, Record, decode_stored, encode};

/// Holds the shard's submissions, and the newest record of each key of its progress topic.
#[derive(Debug, Default)]
pub struct Log {
    pub submissions: Vec<Record>,
    pub progress: Vec<Record>,
    /// The offset after the last record of progress.
    pub end: u64,
}

impl Log {
    /// Returns a log in which an owner has claimed the shard.
    pub fn with_claim() -> Log {
        Log { end: 1, ..Log::default() }
    }

    /// Adds a submission and returns the record as a reader decodes it.
    pub fn submit(&mut self, record: &Record) -> Record {
        let record = encode_and_decode(record);
        self.submissions.push(record.clone());
        record
    }

    /// Removes the submission, or another record among the submissions, with the key of a removal;
    /// returns the removal as a reader decodes it.
    pub fn remove(&mut self, removal: &Record) -> Record {
        let key = encode(removal).0;
        self.submissions.retain(|it| encode(it).0 != key);
        encode_and_decode(removal)
    }

    /// Returns the keys of all records of a job.
    pub fn keys_of(&self, id: JobId) -> Vec<String> {
        let keys = self.submissions.iter().chain(&self.progress).map(|it| encode(it).0);
        keys.filter(|it| it.contains(&id.to_string())).collect()
    }

    /// Adds the batch of an owner and returns its records as a reader decodes them.
    pub fn store(&mut self, batch: &Batch) -> Vec<Record> {
        self.append(&batch.records)
    }

    /// Adds records of progress and returns them as a reader decodes them.
    pub fn append(&mut self, records: &[Record]) -> Vec<Record> {
        let records: Vec<Record> = records.iter().map(encode_and_decode).collect();
        self.end += records.len() as u64;
        for record in &records {
            let key = encode(record).0;
            self.progress.retain(|it| encode(it).0 != key);
            if !matches!(record, Record::Removed(_)) {
                self.progress.push(record.clone());
            }
        }
        records
    }

    /// Returns the ledger of a new owner that replays the log: submissions ordered by key or as
    /// they were written, and progress records before or after them.
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

fn encode_and_decode(record: &Record) -> Record {
    let (key, value) = encode(record);
    decode_stored(&key, &value).expect("a record that was just encoded can be decoded")
}
