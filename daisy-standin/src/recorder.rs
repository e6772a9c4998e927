//! Records the events of a stand-in.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use daisy_history::{Event, EventKind, History};

/// Records the events of one process; clones share the events.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    who: String,
    started_at: Instant,
    started_at_us: u64,
    recorded: Mutex<RecordedEvents>,
}

#[derive(Debug)]
struct RecordedEvents {
    events: Vec<Event>,
    file: Option<File>,
}

impl Recorder {
    /// Creates a recorder for the process `who` that keeps its events in memory only.
    pub fn new(who: &str) -> Recorder {
        Recorder::with_file(who, None)
    }

    /// Creates a recorder that, if `path` is given, also writes each event to this file as soon as it is
    /// recorded.
    ///
    /// The file then has all events that the process recorded before it was killed.
    ///
    /// # Errors
    ///
    /// If the file cannot be created.
    pub fn open(who: &str, path: Option<&Path>) -> anyhow::Result<Recorder> {
        let file = path.map(File::create).transpose()?;
        Ok(Recorder::with_file(who, file))
    }

    fn with_file(who: &str, file: Option<File>) -> Recorder {
        // The wall clock is read once, and monotonic time is added to it: a step of the wall clock
        // during a run must not reorder the events of one process.
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Recorder {
            shared: Arc::new(Shared {
                who: who.to_owned(),
                started_at: Instant::now(),
                started_at_us: u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX),
                recorded: Mutex::new(RecordedEvents { events: Vec::new(), file }),
            }),
        }
    }

    /// Records `kind` with the current time.
    pub fn record(&self, kind: EventKind) {
        // The time is read while the lock is held, so that events are in the order of their times.
        let mut recorded = lock(&self.shared.recorded);
        recorded.add(self.event(self.now(), kind));
    }

    /// Records `kind` with the time `at` of this recorder's clock.
    pub(crate) fn record_at(&self, at: daisy_model::Instant, kind: EventKind) {
        lock(&self.shared.recorded).add(self.event(at, kind));
    }

    fn event(&self, at: daisy_model::Instant, kind: EventKind) -> Event {
        Event { at_us: self.shared.started_at_us + at.0, who: self.shared.who.clone(), kind }
    }

    /// Returns the time since the recorder was created.
    pub fn now(&self) -> daisy_model::Instant {
        let micros = self.shared.started_at.elapsed().as_micros();
        daisy_model::Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the events recorded so far.
    pub fn history(&self) -> History {
        History::new(lock(&self.shared.recorded).events.clone())
    }
}

impl RecordedEvents {
    fn add(&mut self, event: Event) {
        if let Some(file) = &mut self.file
            && let Err(error) = write_line(file, &event)
        {
            log::error!("event=history-not-written error={error:?}");
            self.file = None;
        }
        self.events.push(event);
    }
}

fn write_line(file: &mut File, event: &Event) -> std::io::Result<()> {
    let mut line = serde_json::to_vec(event)?;
    line.push(b'\n');
    file.write_all(&line)
}

/// Locks `mutex` even if it is poisoned, so that a stand-in continues to record after a panic in
/// another task.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
