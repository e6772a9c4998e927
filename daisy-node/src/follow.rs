//! Reads the records of a topic of the platform's log as they are appended.

use std::{pin::pin, time::Duration};

use daisy_model::Instant;
use daisy_platform::{LogClient, LogError, NewestPage, Topic};
use daisy_relay::{Source, StoredRecord};
use daisy_wire::relay::RelayedTopic;
use daisy_workflow::LargeReadTimeout;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    relay::{FollowedRead, Relay},
};

/// How long a call to the platform may take, not counting the time for which the call requests to
/// wait for records.
///
/// The platform usually answers in 4 ms, and takes up to 60 times as long when it is slow.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The shorter timeout of every second call while the platform does not answer.
///
/// A call that is sent while the platform is unresponsive gets no answer even after the platform
/// recovers; only a later call does. The other calls keep the full timeout, in case the platform is
/// slow.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// The pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A reader of a topic. Its first read returns the newest record of each key, or a page of them if
/// it reads [by page](TopicReader::by_page); later reads return the records appended since.
#[derive(Debug)]
pub(crate) struct TopicReader {
    log_client: LogClient,
    topic: Topic,
    /// The offset at which the next read continues; `None` before the first read and after the log
    /// has dropped records that were not read.
    next: Option<u64>,
    has_gap: bool,
    /// The number of failed calls since the last successful one.
    failures: u32,
    /// The newest records that have been read so far, while more pages of them follow.
    newest_so_far: Option<NewestSoFar>,
    /// Whether each page of the newest records is returned by a read of its own.
    by_page: bool,
    newest_timeout: LargeReadTimeout,
    /// Where to read from instead of the log, for a topic that VMs read for each other.
    relay: Option<(Relay, RelayedTopic)>,
}

/// The newest records that have been read while more pages of them follow.
#[derive(Debug)]
struct NewestSoFar {
    /// The records that no read has returned yet.
    records: Vec<StoredRecord>,
    /// The last key of the pages.
    last_key: Option<String>,
    /// Where the log ended as the first page was read. A record appended after it may belong to a
    /// page that was already read, and must be read again from there.
    end: u64,
}

/// The records that a read returned.
#[derive(Debug)]
pub(crate) struct Read {
    /// The records in the order of their offsets; the newest records of each key in the order of
    /// the keys.
    pub records: Vec<StoredRecord>,
    /// Whether they are the newest records of each key, or a page of these.
    pub is_snapshot: bool,
    /// When the log had no records after them; `None` if it had some, and for all but the last page
    /// of the newest records.
    pub at_end_at: Option<Instant>,
    /// The distance to the log by the word of the VM that read it; `None` if this VM read it.
    pub log_rtt: Option<Duration>,
}

impl Read {
    /// Returns whether the log had no records after those read.
    pub fn at_end(&self) -> bool {
        self.at_end_at.is_some()
    }
}

impl TopicReader {
    /// Returns a reader of `topic` that has not read anything.
    pub fn new(log_client: LogClient, topic: Topic) -> TopicReader {
        TopicReader {
            log_client,
            topic,
            next: None,
            has_gap: false,
            failures: 0,
            newest_so_far: None,
            by_page: false,
            newest_timeout: LargeReadTimeout::default(),
            relay: None,
        }
    }

    /// Makes the reader return each page of the newest records by itself, so that a topic of any
    /// size takes the memory of a page.
    pub fn by_page(self) -> TopicReader {
        TopicReader { by_page: true, ..self }
    }

    /// Makes the reader read through `relay`, if there is one.
    pub fn through(self, relay: Option<Relay>, topic: RelayedTopic) -> TopicReader {
        TopicReader { relay: relay.map(|it| (it, topic)), ..self }
    }

    /// Returns the offset at which the next read continues; `None` if the next read is a first one.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Returns whether the log has ever dropped records before this reader read them, so that the
    /// records read do not follow each other without a gap.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Reads the new records; waits up to `wait` for one. Returns `None` after a failure, which is
    /// logged and followed by a short pause.
    pub async fn try_read(&mut self, wait: Duration) -> Option<Read> {
        let Some((relay, topic)) = self.relay.clone() else {
            return self.try_read_log(wait).await;
        };
        match relay.select(topic) {
            Source::Log => {
                if relay.must_restart(topic, self.next) {
                    self.next = None;
                }
                let from = self.next;
                let read = self.try_read_log(wait).await?;
                let next = self.next?;
                if !topic.is_kept_on_demand() {
                    relay.keep(topic, &read.records, from, next, read.at_end_at);
                }
                Some(read)
            }
            Source::Reader(reader) => match relay.try_read(reader, topic, self.next, wait).await {
                Some(read) => Some(self.followed(&relay, topic, read)),
                // Owners need the list at once, and few of them lack a reader that keeps it.
                None if topic.is_kept_on_demand() => self.try_read_log(wait).await,
                None => None,
            },
            Source::Wait(_) if topic.is_kept_on_demand() => self.try_read_log(wait).await,
            Source::Wait(time) => {
                sleep(time).await;
                None
            }
        }
    }

    /// Continues after what was read from another VM.
    fn followed(&mut self, relay: &Relay, topic: RelayedTopic, read: FollowedRead) -> Read {
        let FollowedRead { batch, at_end_at, log_rtt } = read;
        if !topic.is_kept_on_demand() {
            let from = self.next.filter(|_| !batch.is_snapshot);
            relay.keep(topic, &batch.records, from, batch.next, at_end_at);
        }
        self.next = Some(batch.next);
        self.newest_so_far = None;
        self.note_answer();
        Read {
            records: batch.records,
            is_snapshot: batch.is_snapshot,
            at_end_at,
            log_rtt: Some(log_rtt),
        }
    }

    /// Records that the last read succeeded.
    fn note_answer(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            log::info!("event=log_regained topic={:?}", self.topic);
        }
    }

    async fn try_read_log(&mut self, wait: Duration) -> Option<Read> {
        let (wait, timeout) = match self.failures {
            0 => (wait, CALL_TIMEOUT),
            it if it % 2 == 1 => (Duration::ZERO, SHORT_CALL_TIMEOUT),
            _ => (Duration::ZERO, CALL_TIMEOUT),
        };
        let outcome = match self.next {
            None => self.read_newest(timeout).await,
            Some(from) => {
                let page = self.log_client.read(self.topic, from, wait, timeout).await;
                page.map(|it| {
                    self.next = Some(it.next);
                    let at_end_at = (it.next >= it.end).then(clock::now);
                    Read { records: it.records, is_snapshot: false, at_end_at, log_rtt: None }
                })
            }
        };
        match outcome {
            Ok(read) => {
                self.note_answer();
                Some(read)
            }
            Err(e) => {
                if let LogError::RecordsDropped(first) = &e {
                    log::warn!("event=log_gap topic={:?} first={first}", self.topic);
                    self.next = None;
                    self.has_gap = true;
                    return None;
                }
                self.failures += 1;
                if self.failures == 1 {
                    log::warn!("event=log_lost topic={:?} cause=\"{e}\"", self.topic);
                }
                sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    /// Reads the newest record of each key again, as the first [`try_read`](Tail::try_read) does.
    pub async fn try_read_newest(&mut self) -> Option<Read> {
        self.next = None;
        self.try_read(Duration::ZERO).await
    }

    /// Reads the newest record of each key, or the next page of them. After a failure, the next call
    /// continues after the pages already read.
    async fn read_newest(&mut self, answer_timeout: Duration) -> Result<Read, LogError> {
        loop {
            let mut page = self.read_newest_page(answer_timeout).await?;
            let last_key = page.records.last().map(|it| it.key.clone());
            let so_far = self.newest_so_far.get_or_insert_with(|| NewestSoFar {
                records: Vec::new(),
                last_key: None,
                end: page.end,
            });
            if page.has_more && last_key == so_far.last_key {
                // The page after this key would be the same for ever.
                log::warn!("event=keys_unread topic={:?} after={last_key:?}", self.topic);
                page.has_more = false;
            }
            so_far.records.append(&mut page.records);
            so_far.last_key = last_key;
            if page.has_more && !self.by_page {
                continue;
            }
            let records = std::mem::take(&mut so_far.records);
            let at_end_at = (!page.has_more).then(clock::now);
            if !page.has_more {
                self.next = Some(so_far.end);
                self.newest_so_far = None;
            }
            return Ok(Read { records, is_snapshot: true, at_end_at, log_rtt: None });
        }
    }

    async fn read_newest_page(&mut self, answer_timeout: Duration) -> Result<NewestPage, LogError> {
        let answer_timeout =
            if self.newest_timeout.has_timed_out() { CALL_TIMEOUT } else { answer_timeout };
        let after = self.newest_so_far.as_ref().and_then(|it| it.last_key.as_deref());
        let mut call =
            pin!(self.log_client.read_newest(self.topic, after, LargeReadTimeout::TIMEOUT_MAX));
        let began = clock::now();
        self.newest_timeout.begin(began, answer_timeout, self.log_client.answered_calls());
        while let Some(wait) =
            self.newest_timeout.try_wait(clock::now(), self.log_client.answered_calls())
        {
            if let Ok(it) = timeout(wait, &mut call).await {
                return it;
            }
        }
        let elapsed_ms = clock::now().since(began).as_millis();
        Err(LogError::OutcomeUnknown(format!("timed out after {elapsed_ms} ms")))
    }
}
