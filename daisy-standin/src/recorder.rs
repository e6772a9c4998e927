//! Keeps what a stand-in saw.

use std::{
    fs::File,
    io::BufWriter,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use daisy_history::{Event, History, Kind};

/// Records events of one process; clones share the events.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    who: String,
    began: Instant,
    began_us: u64,
    events: Mutex<Vec<Event>>,
}

impl Recorder {
    /// A recorder for the process `who`.
    pub fn new(who: &str) -> Recorder {
        // Wall time once, monotonic time from there: a step of the wall clock during a run
        // must not reorder the events of one process.
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Recorder {
            shared: Arc::new(Shared {
                who: who.to_owned(),
                began: Instant::now(),
                began_us: u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX),
                events: Mutex::default(),
            }),
        }
    }

    /// Records `kind` at the present time.
    pub fn record(&self, kind: Kind) {
        // The time is read under the lock, so that the order of events is that of their times.
        let mut events = locked(&self.shared.events);
        let at_us = self.shared.began_us + self.now().0;
        events.push(Event { at_us, who: self.shared.who.clone(), kind });
    }

    /// Records `kind` as of `at` of this recorder's clock.
    pub(crate) fn record_at(&self, at: daisy_model::Instant, kind: Kind) {
        let at_us = self.shared.began_us + at.0;
        locked(&self.shared.events).push(Event { at_us, who: self.shared.who.clone(), kind });
    }

    /// Time since the recorder was made.
    pub fn now(&self) -> daisy_model::Instant {
        let micros = self.shared.began.elapsed().as_micros();
        daisy_model::Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The events so far.
    pub fn history(&self) -> History {
        History::new(locked(&self.shared.events).clone())
    }

    /// Writes the events so far to `path` as JSON lines.
    pub fn write(&self, path: &Path) -> anyhow::Result<()> {
        self.history().write(BufWriter::new(File::create(path)?))?;
        Ok(())
    }
}

/// Locks `mutex`, also after a panic elsewhere: stand-ins go on recording.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
