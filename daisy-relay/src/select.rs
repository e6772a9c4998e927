//! The choice of where a VM reads the log's records.

use std::{net::SocketAddr, time::Duration};

use daisy_model::Instant;

/// How long a reader that did not answer, or whose answer was stale, is not used, at first; doubled
/// with each further failure in a row.
const EXCLUSION_MIN: Duration = Duration::from_millis(1_000);
const EXCLUSION_MAX: Duration = Duration::from_millis(8_000);
/// A reader that has not reached the end of the log for this time is replaced. A read that waits for a
/// record takes less, even from a slow log.
const STALE_AGE: Duration = Duration::from_millis(1_500);
/// How long a VM without a reader waits until it reads the log itself, and the spread of this time
/// over the VMs. Most VMs have found another reader by then, and the others do not all read at the
/// same moment, over a link that they share.
const PATIENCE_MIN: Duration = Duration::from_millis(1_000);
const PATIENCE_SPREAD_MS: u64 = 2_500;
/// How long a VM that has just started waits for the first list of readers.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(350);
/// How long a VM without a reader waits before it looks again.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which readers are listed while one is needed, at first; doubled with each list.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(300);
const LIST_INTERVAL_MAX: Duration = Duration::from_millis(2_400);
/// The interval at which readers are listed while one answers.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Where the next read goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's log.
    Log,
    /// The reader at this address.
    Reader(SocketAddr),
    /// No read for this time.
    Wait(Duration),
}

/// A VM that may be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Candidate {
    address: SocketAddr,
    is_reader: bool,
}

/// A reader that failed, and until when it is not used.
#[derive(Debug, Clone, Copy)]
struct Excluded {
    reader: SocketAddr,
    failures: u32,
    until: Instant,
}

/// Chooses where one VM reads the log's records.
///
/// A VM follows a reader of its data centre while one answers with recent records. Otherwise it
/// tries the other ones, then the VMs that may become readers, which keep what they read from a
/// reader that this VM may not know yet. It lists the readers again, and at last reads the log
/// itself.
#[derive(Debug)]
pub struct SourceSelector {
    rng: fastrand::Rng,
    started_at: Instant,
    /// The readers, and after them the VMs that may become readers, each in this VM's order of
    /// preference; `None` until they have been listed.
    candidates: Option<Vec<Candidate>>,
    /// The candidate that this VM follows.
    current: Option<SocketAddr>,
    /// Whether there ever was a reader in the data centre.
    in_use: bool,
    excluded: Vec<Excluded>,
    /// The last time at which the records were known to be recent.
    recent_at: Instant,
    patience: Duration,
    /// Whether this VM reads the log itself until a reader answers.
    has_fallen_back: bool,
    list_wanted: bool,
    listed_at: Option<Instant>,
    list_interval: Duration,
}

impl SourceSelector {
    /// Returns a selector that has no reader yet. `seed` spreads the choices of VMs.
    pub fn new(now: Instant, seed: u64) -> SourceSelector {
        SourceSelector {
            rng: fastrand::Rng::with_seed(seed),
            started_at: now,
            candidates: None,
            current: None,
            in_use: false,
            excluded: Vec::new(),
            recent_at: now,
            patience: PATIENCE_MIN,
            has_fallen_back: false,
            list_wanted: true,
            listed_at: None,
            list_interval: LIST_INTERVAL_MIN,
        }
    }

    /// Returns whether the readers are to be listed, and records that this is done now.
    pub fn take_list_due(&mut self, now: Instant) -> bool {
        let interval = if self.list_wanted { self.list_interval } else { REFRESH_INTERVAL };
        if self.listed_at.is_some_and(|it| now.since(it) < interval) {
            return false;
        }
        self.list_interval = match self.list_wanted {
            true => (self.list_interval * 2).min(LIST_INTERVAL_MAX),
            false => LIST_INTERVAL_MIN,
        };
        self.listed_at = Some(now);
        true
    }

    /// Sets the readers of the data centre, and the VMs that may become readers. VMs shuffle them
    /// differently, so that each reader has its share of the followers.
    pub fn set_readers(&mut self, mut readers: Vec<SocketAddr>, mut others: Vec<SocketAddr>) {
        others.retain(|it| !readers.contains(it));
        self.in_use |= !readers.is_empty();
        self.list_wanted = readers.is_empty();
        let mut candidates = Vec::new();
        for (is_reader, addresses) in [(true, &mut readers), (false, &mut others)] {
            addresses.sort_unstable();
            addresses.dedup();
            self.rng.shuffle(addresses);
            candidates.extend(addresses.iter().map(|it| Candidate { address: *it, is_reader }));
        }
        self.candidates = Some(candidates);
    }

    /// Returns where to read next, for a VM that does not have to read the log itself.
    pub fn select(&mut self, now: Instant) -> Source {
        let Some(candidates) = &self.candidates else {
            return match now.since(self.started_at) < FIRST_LIST_WAIT {
                true => Source::Wait(LOOK_INTERVAL),
                false => Source::Log,
            };
        };
        let excluded = &self.excluded;
        let is_usable =
            |it: &&Candidate| !excluded.iter().any(|ex| ex.reader == it.address && now < ex.until);
        let usable = || candidates.iter().filter(is_usable);
        let current = usable().find(|it| Some(it.address) == self.current);
        let chosen = match current {
            Some(it) if it.is_reader => Some(it),
            // Readers come first, so the first one is a reader if any is usable.
            _ => usable().next().filter(|it| it.is_reader).or(current).or(usable().next()),
        };
        if let Some(it) = chosen {
            self.current = Some(it.address);
            return Source::Reader(it.address);
        }
        self.has_fallen_back |= !self.in_use || now.since(self.recent_at) >= self.patience;
        match self.has_fallen_back {
            true => Source::Log,
            false => Source::Wait(LOOK_INTERVAL),
        }
    }

    /// Records that `reader` answered with records that were complete at `known_at`, which may be
    /// long ago; `None` if it has more records. Returns whether the answer counts as recent.
    pub fn reader_answered(
        &mut self,
        now: Instant,
        reader: SocketAddr,
        known_at: Option<Instant>,
    ) -> bool {
        if known_at.is_some_and(|it| now.since(it) > STALE_AGE) {
            self.exclude(now, reader);
            return false;
        }
        self.excluded.retain(|it| it.reader != reader);
        self.has_fallen_back = false;
        self.recent_at = now;
        // Drawn anew for each loss, so that it is not always the same VMs that read first.
        self.patience = PATIENCE_MIN + Duration::from_millis(self.rng.u64(..PATIENCE_SPREAD_MS));
        true
    }

    /// Records that `reader` gave no answer, or is no longer a reader.
    pub fn reader_failed(&mut self, now: Instant, reader: SocketAddr) {
        self.exclude(now, reader);
    }

    /// Records that `reader` answered and is about to stop: the next list names its successor.
    pub fn reader_leaves(&mut self) {
        self.list_wanted = true;
    }

    fn exclude(&mut self, now: Instant, reader: SocketAddr) {
        self.list_wanted = true;
        let earlier =
            self.excluded.iter().find(|it| it.reader == reader).map_or(0, |it| it.failures);
        let time = (EXCLUSION_MIN * 2u32.saturating_pow(earlier)).min(EXCLUSION_MAX);
        self.excluded.retain(|it| it.reader != reader);
        self.excluded.push(Excluded { reader, failures: earlier + 1, until: now + time });
    }
}
