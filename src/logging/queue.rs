//! Lines on their way to a writer that may be slow.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for the writer at most: some two seconds of a busy owner.
const WAITING_MAX: usize = 2_048;
/// Lines of one kind of event that are written in a second at most. An owner at today's sizes
/// starts up to 400 tasks a second.
const KIND_MAX: u32 = 500;
/// Over which lines of a kind are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Takes whole lines and never blocks: what the writer is too slow for is left out and counted.
#[derive(Debug)]
pub struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    kinds: Vec<Kind>,
    began: Instant,
    left_out: u64,
}

/// How often a kind of event came in this period.
#[derive(Debug)]
struct Kind {
    name: Vec<u8>,
    count: u32,
}

impl LineQueue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start<W: Write + Send + 'static>(out: W) -> io::Result<LineQueue> {
        let (tx, rx) = sync_channel(WAITING_MAX);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx, out))?;
        let began = Instant::now();
        Ok(LineQueue { tx, line: Vec::new(), kinds: Vec::new(), began, left_out: 0 })
    }

    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.began.elapsed() >= PERIOD {
            self.next_period();
        }
        if self.is_too_many(&line) {
            self.left_out += 1;
            return;
        }
        self.send(line);
    }

    fn next_period(&mut self) {
        self.began = Instant::now();
        self.kinds.clear();
        if self.left_out > 0 {
            let count = std::mem::take(&mut self.left_out);
            self.send(format!("[WARN] event=lines_left_out count={count}\n").into_bytes());
        }
    }

    fn is_too_many(&mut self, line: &[u8]) -> bool {
        let name = kind(line);
        match self.kinds.iter_mut().find(|it| it.name == name) {
            Some(kind) => {
                kind.count += 1;
                kind.count > KIND_MAX
            }
            None => {
                self.kinds.push(Kind { name: name.to_vec(), count: 1 });
                false
            }
        }
    }

    fn send(&mut self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.tx.try_send(line) {
            self.left_out += 1;
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for part in buf.split_inclusive(|it| *it == b'\n') {
            self.line.extend_from_slice(part);
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

/// The name after `event=`; empty for a line without one.
fn kind(line: &[u8]) -> &[u8] {
    const MARK: &[u8] = b"event=";
    let Some(at) = line.windows(MARK.len()).position(|it| it == MARK) else { return &[] };
    let name = &line[at + MARK.len()..];
    let end = name.iter().position(|it| it.is_ascii_whitespace()).unwrap_or(name.len());
    &name[..end]
}

/// Writes lines, as many as there are at one time, until nobody is left to send any.
fn write_lines<W: Write>(rx: &Receiver<Vec<u8>>, mut out: W) {
    while let Ok(first) = rx.recv() {
        let mut buf = first;
        for line in rx.try_iter() {
            buf.extend_from_slice(&line);
        }
        // Whoever read the lines has gone: there is nobody to tell.
        if out.write_all(&buf).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
