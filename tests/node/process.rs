//! One process of `daisyshift node`.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::{
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

const CALLERS_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;

/// A VM's process, which can end and be started again.
pub struct Process {
    child: Child,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
}

impl Process {
    /// The process of VM number `at`, which finds the platform's log at `store`.
    pub fn start(at: usize, store: SocketAddr) -> Process {
        let own = own_address();
        let callers = SocketAddr::new(own, CALLERS_PORT);
        let readiness = SocketAddr::new(own, READINESS_PORT);
        let settings = std::env::temp_dir().join(format!("daisyshift-{own}.yaml"));
        let text = format!(
            "node-name: vm-{at}\nzone: z1\nregion: r1\nlisten:\n  front: \"{callers}\"\n  ready: \
             \"{readiness}\"\ncontrol-mode: push\nplatform:\n  address: \"{store}\"\n  form: log\n  \
             parts: 12\nbounds:\n  max-hold-ms: 10000\n  grace-s: 6\n",
        );
        let mut file = File::create(&settings).expect("a file for settings");
        file.write_all(text.as_bytes()).expect("room for settings");
        let child = spawn(&settings, log_file(&settings), log_file(&settings));
        Process { child, callers, readiness, settings }
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, log_file(&self.settings), log_file(&self.settings));
    }

    /// Starts it again, with a log that goes into a pipe that nobody reads.
    pub fn restart_unread(&mut self) {
        self.child = spawn(&self.settings, Stdio::piped(), log_file(&self.settings));
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("a process that this test started");
        self.child.wait().expect("the end of a killed process");
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a process that this test started");
    }

    /// Its exit code, once it has ended: `Some(None)` if a signal ended it.
    pub fn try_exit(&mut self) -> Option<Option<i32>> {
        let ended = self.child.try_wait().expect("a process that this test started");
        ended.map(|it| it.code())
    }

    /// All that it has logged; empty if that went elsewhere.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log()).unwrap_or_default()
    }

    /// Where its log goes.
    pub fn log(&self) -> PathBuf {
        log_path(&self.settings)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended needs no killing.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.log());
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn log_file(settings: &Path) -> Stdio {
    let log = File::options().create(true).append(true).open(log_path(settings));
    Stdio::from(log.expect("a file for the log"))
}

fn spawn(settings: &Path, log: Stdio, errors: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_daisyshift"))
        .args(["node", "--settings"])
        .arg(settings)
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program that was built")
}

/// An address of loopback that no other process of these tests has.
///
/// A free port of 127.0.0.1 is only free for a moment: while a process has not begun to listen, or is
/// down, any connection of another test may be given the same port, and the process ends at its
/// start. Connections come from 127.0.0.1, so none takes a port of another address.
fn own_address() -> IpAddr {
    static STARTED: AtomicU32 = AtomicU32::new(0);
    const OF_PROCESS: u32 = 10;
    const OF_TEST: u32 = 12;
    let process = STARTED.fetch_add(1, Ordering::Relaxed) % (1 << OF_PROCESS);
    let test = std::process::id() % (1 << OF_TEST);
    let first = u32::from(Ipv4Addr::new(127, 64, 0, 0));
    IpAddr::V4(Ipv4Addr::from(first | test << OF_PROCESS | process))
}
