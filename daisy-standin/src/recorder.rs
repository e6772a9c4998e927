//! Keeps what a stand-in saw.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use daisy_history::{Event, EventKind, History};

/// Records events of one process; clones share the events.
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
    /// A recorder for the process `who` that keeps its events in memory.
    pub fn new(who: &str) -> Recorder {
        Recorder::with_file(who, None)
    }

    /// A recorder that also writes each event to `path` at once, if there is one.
    ///
    /// What a process saw before it was killed is then in its file.
    pub fn open(who: &str, path: Option<&Path>) -> anyhow::Result<Recorder> {
        let file = path.map(File::create).transpose()?;
        Ok(Recorder::with_file(who, file))
    }

    fn with_file(who: &str, file: Option<File>) -> Recorder {
        // Wall time once, monotonic time from there: a step of the wall clock during a run
        // must not reorder the events of one process.
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

    /// Records `kind` at the present time.
    pub fn record(&self, kind: EventKind) {
        // The time is read under the lock, so that the order of events is that of their times.
        let mut recorded = lock(&self.shared.recorded);
        recorded.add(self.event(self.now(), kind));
    }

    /// Records `kind` as of `at` of this recorder's clock.
    pub(crate) fn record_at(&self, at: daisy_model::Instant, kind: EventKind) {
        lock(&self.shared.recorded).add(self.event(at, kind));
    }

    fn event(&self, at: daisy_model::Instant, kind: EventKind) -> Event {
        Event { at_us: self.shared.started_at_us + at.0, who: self.shared.who.clone(), kind }
    }

    /// Time since the recorder was made.
    pub fn now(&self) -> daisy_model::Instant {
        let micros = self.shared.started_at.elapsed().as_micros();
        daisy_model::Instant(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The events so far.
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

/// Locks `mutex`, also after a panic elsewhere: stand-ins go on recording.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
