//! The log itself, without input or output.

use std::{collections::VecDeque, time::Duration};

use daisy_model::Instant;

/// What the log keeps and takes.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Records kept; older ones expire.
    pub keep_records: usize,
    /// Age at which records expire; `None` for never.
    pub keep_age: Option<Duration>,
    /// Appends taken a second; the users' platform takes a few hundred.
    pub appends_per_second: u32,
}

impl Default for LogOptions {
    fn default() -> LogOptions {
        LogOptions { keep_records: 1_000_000, keep_age: None, appends_per_second: 300 }
    }
}

/// Why records cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The offset lies below the first record kept.
    #[error("records below {first} have expired")]
    Expired {
        /// The first record kept.
        first: u64,
    },
}

/// An append-only log that dedupes nothing and forgets old records.
#[derive(Debug)]
pub struct Log {
    options: LogOptions,
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Start of the second that appends are counted in.
    window_start: Instant,
    appends_in_window: u32,
}

const RATE_WINDOW: Duration = Duration::from_secs(1);

impl Log {
    /// An empty log.
    pub fn new(options: LogOptions) -> Log {
        Log {
            options,
            first: 0,
            records: VecDeque::new(),
            window_start: Instant(0),
            appends_in_window: 0,
        }
    }

    /// Appends `bytes` and returns its offset; over the cap, how long to wait.
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

    /// Appends `bytes` whatever the cap.
    pub fn append_unlimited(&mut self, now: Instant, bytes: &[u8]) -> u64 {
        let offset = self.first + self.records.len() as u64;
        self.records.push_back((now, bytes.to_owned()));
        self.expire(now);
        offset
    }

    /// Up to `max` records from the offset `from`.
    pub fn read(
        &mut self,
        now: Instant,
        from: u64,
        max: usize,
    ) -> Result<Vec<(u64, Vec<u8>)>, LogError> {
        self.expire(now);
        if from < self.first {
            return Err(LogError::Expired { first: self.first });
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max);
        Ok((from..).zip(records.map(|(_, bytes)| bytes.clone())).collect())
    }

    /// The first offset kept and the offset after the last.
    pub fn bounds(&self) -> (u64, u64) {
        (self.first, self.first + self.records.len() as u64)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.records.front() {
            let old = self.options.keep_age.is_some_and(|age| now.since(*at) > age);
            if !old && self.records.len() <= self.options.keep_records {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }
}
