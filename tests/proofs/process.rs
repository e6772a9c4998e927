//! One process of the product under test.

use std::{
    fs::File,
    io::ErrorKind,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use daisy_history::{EventKind, History};
use daisy_standin::Recorder;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::sleep;

const POLL: Duration = Duration::from_millis(20);

/// A running process; killed by its own id when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    history: Option<PathBuf>,
    /// What the test did to the process.
    recorder: Recorder,
}

impl Process {
    /// Starts `daisyshift` with `args`; what it logs goes to `NAME.log` in `dir`.
    pub fn start(name: &str, dir: &Path, args: &[String], history: Option<PathBuf>) -> Process {
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{name}.log")))
            .expect("the log's file");
        let child = Command::new(env!("CARGO_BIN_EXE_daisyshift"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the product's binary");
        Process { name: name.to_owned(), child, history, recorder: Recorder::new(name) }
    }

    /// Records what the test does to the process.
    pub fn record(&self, kind: EventKind) {
        self.recorder.record(kind);
    }

    /// Ends it at once, as a failed VM.
    pub fn kill(&mut self, entry: Option<String>) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
        self.record(EventKind::Killed { entry });
    }

    /// Stops it in its tracks, as a paused VM.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        self.record(EventKind::CutOff);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
        self.record(EventKind::Healed);
    }

    /// Asks it for its planned stop.
    pub fn terminate(&self, entry: Option<String>) {
        self.record(EventKind::Stopping { entry });
        self.signal(Signal::SIGTERM);
    }

    /// Waits for its end.
    pub async fn ended(&mut self, within: Duration) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child of this process") {
                return status;
            }
            assert!(began.elapsed() < within, "{} goes on after {within:?}", self.name);
            sleep(POLL).await;
        }
    }

    /// Whether it has not ended.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// What it saw so far, and what the test did to it.
    pub fn history(&self) -> History {
        let text = match self.history.as_ref().map(std::fs::read_to_string) {
            Some(Ok(text)) => text,
            // It has not come so far as to open its file.
            Some(Err(error)) if error.kind() == ErrorKind::NotFound => String::new(),
            Some(Err(error)) => panic!("{}'s history: {error}", self.name),
            None => String::new(),
        };
        let own = History::parse(&text).expect("a history");
        History::merge(vec![own, self.recorder.history()])
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(pid), signal).expect("a signal to a child of this process");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
