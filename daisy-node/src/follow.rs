//! Following a topic of the platform's log.

use std::{pin::pin, time::Duration};

use daisy_platform::{NewestPage, Store, StoreError, StoredRecord, Topic};
use daisy_workflow::LargeReadTimeout;
use tokio::time::{sleep, timeout};

use crate::clock;

/// How long a call to the platform may take beyond the time that it is asked to wait.
///
/// Its answers take 4 ms, and up to 60 times as long on a slow day.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The same, for every second call to a platform that does not answer.
///
/// A call that was sent into a silence gets no answer when the silence ends: the next one does. The
/// others have the whole time, in case the platform is slow.
const CALL_TIMEOUT_LOST: Duration = Duration::from_millis(350);
/// Before a call that failed is made again.
const RETRY: Duration = Duration::from_millis(150);

/// A position in a topic that keeps the newest record of each key.
#[derive(Debug)]
pub(crate) struct Tail {
    store: Store,
    topic: Topic,
    /// Where to read on; `None` before the first read and after records were dropped unread.
    next: Option<u64>,
    has_gap: bool,
    /// Calls in a row that have failed.
    failures: u32,
    /// Pages of the first read that have come.
    pages: Option<NewestPage>,
    patience: LargeReadTimeout,
}

/// What a read gave.
#[derive(Debug)]
pub(crate) struct Read {
    /// The records, oldest first.
    pub records: Vec<StoredRecord>,
    /// Whether there was nothing after them.
    pub at_end: bool,
}

impl Tail {
    /// A tail of `topic` that has read nothing.
    pub fn new(store: Store, topic: Topic) -> Tail {
        Tail {
            store,
            topic,
            next: None,
            has_gap: false,
            failures: 0,
            pages: None,
            patience: LargeReadTimeout::default(),
        }
    }

    /// Where to read on.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Whether records were dropped unread, so that what was read before does not go on from there.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Reads what is new; waits up to `wait` for it. A failure is logged and takes a short pause.
    pub async fn try_read(&mut self, wait: Duration) -> Option<Read> {
        let (wait, timeout) = match self.failures {
            0 => (wait, CALL_TIMEOUT),
            it if it % 2 == 1 => (Duration::ZERO, CALL_TIMEOUT_LOST),
            _ => (Duration::ZERO, CALL_TIMEOUT),
        };
        let outcome = match self.next {
            None => self.newest(timeout).await,
            Some(from) => {
                let page = self.store.read(self.topic, from, wait, timeout).await;
                page.map(|it| {
                    self.next = Some(it.next);
                    Read { records: it.records, at_end: it.next >= it.end }
                })
            }
        };
        match outcome {
            Ok(read) => {
                if std::mem::take(&mut self.failures) > 0 {
                    log::info!("event=log_regained topic={:?}", self.topic);
                }
                Some(read)
            }
            Err(e) => {
                if let StoreError::Expired(first) = &e {
                    log::warn!("event=log_gap topic={:?} first={first}", self.topic);
                    self.next = None;
                    self.has_gap = true;
                    return None;
                }
                self.failures += 1;
                if self.failures == 1 {
                    log::warn!("event=log_lost topic={:?} cause=\"{e}\"", self.topic);
                }
                sleep(RETRY).await;
                None
            }
        }
    }

    /// Reads the newest record of each key anew, as [`try_read`](Tail::try_read) does at first.
    pub async fn try_newest(&mut self) -> Option<Read> {
        self.next = None;
        self.try_read(Duration::ZERO).await
    }

    /// Reads the newest record of each key. Pages that came before a failure are kept.
    async fn newest(&mut self, silent_after: Duration) -> Result<Read, StoreError> {
        loop {
            let page = self.newest_page(silent_after).await?;
            let pages = match &mut self.pages {
                None => self.pages.insert(page),
                Some(it) => {
                    // Only from the first page's end on is it sure that nothing is missed.
                    it.records.extend(page.records);
                    it.has_more = page.has_more;
                    it
                }
            };
            if !pages.has_more {
                let records = std::mem::take(&mut pages.records);
                self.next = Some(pages.end);
                self.pages = None;
                return Ok(Read { records, at_end: true });
            }
        }
    }

    async fn newest_page(&mut self, silent_after: Duration) -> Result<NewestPage, StoreError> {
        let silent_after = if self.patience.has_timed_out() { CALL_TIMEOUT } else { silent_after };
        let after = self.pages.as_ref().and_then(|it| it.records.last()).map(|it| it.key.as_str());
        let mut call = pin!(self.store.newest(self.topic, after, LargeReadTimeout::TIMEOUT_MAX));
        let began = clock::now();
        self.patience.begin(began, silent_after, self.store.answered_calls());
        while let Some(wait) = self.patience.try_wait(clock::now(), self.store.answered_calls()) {
            if let Ok(it) = timeout(wait, &mut call).await {
                return it;
            }
        }
        let lasted = clock::now().since(began).as_millis();
        Err(StoreError::OutcomeUnknown(format!("no answer in {lasted}ms")))
    }
}
