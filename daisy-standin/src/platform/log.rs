//! The platform's log as a data structure, without I/O.

use std::{collections::VecDeque, time::Duration};

use daisy_model::Instant;

/// Limits of the log.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Maximum number of records retained; older ones expire.
    pub keep_records: usize,
    /// Age at which records expire; `None` if they do not expire by age.
    pub keep_age: Option<Duration>,
    /// Maximum number of appends per second; the users' platform accepts a few hundred.
    pub appends_per_second: u32,
}

impl Default for LogOptions {
    fn default() -> LogOptions {
        LogOptions { keep_records: 1_000_000, keep_age: None, appends_per_second: 300 }
    }
}

/// Why records cannot be read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The offset is below that of the first record retained.
    #[error("records below {first} have expired")]
    Expired {
        /// The offset of the first record retained.
        first: u64,
    },
}

/// An append-only log that does not deduplicate and drops old records.
#[derive(Debug)]
pub struct Log {
    options: LogOptions,
    first_offset: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Start of the current second, in which appends are counted.
    window_start: Instant,
    appends_in_window: u32,
}

/// The period to which the limit on appends applies.
const RATE_WINDOW: Duration = Duration::from_secs(1);

impl Log {
    /// Creates an empty log.
    pub fn new(options: LogOptions) -> Log {
        Log {
            options,
            first_offset: 0,
            records: VecDeque::new(),
            window_start: Instant(0),
            appends_in_window: 0,
        }
    }

    /// Appends `bytes` and returns the offset of the record.
    ///
    /// # Errors
    ///
    /// If there were too many appends in this second; the error is the time to wait.
    pub fn append(&mut self, now: Instant, bytes: &[u8]) -> Result<u64, Duration> {
        let elapsed = now.since(self.window_start);
        if elapsed >= RATE_WINDOW {
            self.window_start = now;
            self.appends_in_window = 0;
        }
        if self.appends_in_window >= self.options.appends_per_second {
            return Err(RATE_WINDOW.saturating_sub(elapsed));
        }
        self.appends_in_window += 1;
        Ok(self.append_unlimited(now, bytes))
    }

    /// Appends `bytes` regardless of the limit on appends, and returns the offset of the record.
    pub fn append_unlimited(&mut self, now: Instant, bytes: &[u8]) -> u64 {
        let offset = self.first_offset + self.records.len() as u64;
        self.records.push_back((now, bytes.to_owned()));
        self.expire(now);
        offset
    }

    /// Returns up to `max` records, with their offsets, from the offset `from` on.
    ///
    /// # Errors
    ///
    /// If the record at `from` has expired.
    pub fn read(
        &mut self,
        now: Instant,
        from: u64,
        max: usize,
    ) -> Result<Vec<(u64, Vec<u8>)>, LogError> {
        self.expire(now);
        if from < self.first_offset {
            return Err(LogError::Expired { first: self.first_offset });
        }
        let skip = usize::try_from(from - self.first_offset).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max);
        Ok((from..).zip(records.map(|(_, bytes)| bytes.clone())).collect())
    }

    /// Returns the offset of the first record retained and the offset after the last record.
    pub fn bounds(&self) -> (u64, u64) {
        (self.first_offset, self.first_offset + self.records.len() as u64)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.records.front() {
            let old = self.options.keep_age.is_some_and(|age| now.since(*at) > age);
            if !old && self.records.len() <= self.options.keep_records {
                break;
            }
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}
