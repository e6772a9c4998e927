//! A bounded queue of log lines between the process and an output that may be slow.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

/// Maximum number of lines in the queue: a busy owner logs this many in some two seconds.
const QUEUED_LINES_MAX: usize = 2_048;
/// Maximum number of lines about the same event within one [`COUNT_PERIOD`]. At the
/// present size of shards, an owner starts up to 400 tasks a second.
const LINES_PER_EVENT_MAX: u32 = 500;
/// The period for which the lines of each event are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Passes whole lines to the writer thread and never blocks: lines that do not fit in the queue are
/// dropped and counted.
#[derive(Debug)]
pub struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    partial_line: Vec<u8>,
    event_counts: Vec<EventCount>,
    period_start: Instant,
    dropped_lines: u64,
}

/// The number of lines about an event in the current period.
#[derive(Debug)]
struct EventCount {
    name: Vec<u8>,
    count: u32,
}

impl LineQueue {
    /// Starts the thread that writes the queued lines to `out`.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start<W: Write + Send + 'static>(out: W) -> io::Result<LineQueue> {
        let (tx, rx) = sync_channel(QUEUED_LINES_MAX);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx, out))?;
        let period_start = Instant::now();
        Ok(LineQueue {
            tx,
            partial_line: Vec::new(),
            event_counts: Vec::new(),
            period_start,
            dropped_lines: 0,
        })
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.partial_line);
        if self.period_start.elapsed() >= COUNT_PERIOD {
            self.next_period();
        }
        if self.exceeds_limit(&line) {
            self.dropped_lines += 1;
            return;
        }
        self.send(line);
    }

    fn next_period(&mut self) {
        self.period_start = Instant::now();
        self.event_counts.clear();
        if self.dropped_lines > 0 {
            let count = std::mem::take(&mut self.dropped_lines);
            self.send(format!("[WARN] event=lines_left_out count={count}\n").into_bytes());
        }
    }

    fn exceeds_limit(&mut self, line: &[u8]) -> bool {
        let name = event_name(line);
        match self.event_counts.iter_mut().find(|it| it.name == name) {
            Some(event) => {
                event.count += 1;
                event.count > LINES_PER_EVENT_MAX
            }
            None => {
                self.event_counts.push(EventCount { name: name.to_vec(), count: 1 });
                false
            }
        }
    }

    fn send(&mut self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tx.try_send(line) {
            self.dropped_lines += 1;
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for part in buf.split_inclusive(|it| *it == b'\n') {
            self.partial_line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.finish_line();
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the name after `event=`, or an empty name if the line has none.
fn event_name(line: &[u8]) -> &[u8] {
    const EVENT_KEY: &[u8] = b"event=";
    let Some(at) = line.windows(EVENT_KEY.len()).position(|it| it == EVENT_KEY) else { return &[] };
    let name = &line[at + EVENT_KEY.len()..];
    let end = name.iter().position(|it| it.is_ascii_whitespace()).unwrap_or(name.len());
    &name[..end]
}

/// Writes lines until all senders are dropped; all lines that are queued are written together.
fn write_lines<W: Write>(rx: &Receiver<Vec<u8>>, mut out: W) {
    while let Ok(first) = rx.recv() {
        let mut buf = first;
        for line in rx.try_iter() {
            buf.extend_from_slice(&line);
        }
        // The reader has closed the output, so the error cannot be reported there either.
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
