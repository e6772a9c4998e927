//! A process of `daisyshift`.

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

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// The file to which the process writes its history, if it writes one.
    history: Option<PathBuf>,
    /// Records what the test does to the process.
    recorder: Recorder,
}

impl Process {
    /// Starts `daisyshift` with `args`; its log is written to `NAME.log` in `dir`.
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
            .expect("the binary of daisyshift");
        Process { name: name.to_owned(), child, history, recorder: Recorder::new(name) }
    }

    /// Records an event that the test causes at the process.
    pub fn record(&self, kind: EventKind) {
        self.recorder.record(kind);
    }

    /// Kills the process, as when its VM fails.
    pub fn kill(&mut self, entry: Option<String>) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
        self.record(EventKind::Killed { entry });
    }

    /// Pauses the process, as when its VM is paused.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        self.record(EventKind::CutOff);
    }

    /// Lets a paused process continue.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
        self.record(EventKind::Healed);
    }

    /// Sends the process SIGTERM, which starts its planned stop.
    pub fn terminate(&self, entry: Option<String>) {
        self.record(EventKind::Stopping { entry });
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has exited; panics after the timeout.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child of this process") {
                return status;
            }
            assert!(began.elapsed() < timeout, "{} has not exited after {timeout:?}", self.name);
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what the process has recorded so far, and what the test did to it.
    pub fn history(&self) -> History {
        let text = match self.history.as_ref().map(std::fs::read_to_string) {
            Some(Ok(text)) => text,
            // The process has not created its file yet.
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
