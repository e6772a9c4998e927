//! A process of `daisyshift node`.

#![allow(dead_code, reason = "each test binary uses only some of the functions")]

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

/// The policy that is deployed.
pub const POLICY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/policy.yaml");
/// The policy under which VMs read the log for each other in a fleet of any size.
pub const RELAY_POLICY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/node/relay-policy.yaml");
const CALLERS_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const PEERS_PORT: u16 = 7_003;

/// The process of a VM, which can be ended and restarted.
pub struct Process {
    child: Child,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
    /// The settings file.
    pub settings: PathBuf,
    /// The policy file, if there is one.
    policy: Option<&'static str>,
}

impl Process {
    /// Starts the process of VM number `index`, which uses the platform's log at `log_address`. The
    /// log accepts records and calls of `longest` bytes. `limits` are lines of the settings' limits.
    pub fn start(
        index: usize,
        log_address: SocketAddr,
        longest: (usize, usize),
        policy: Option<&'static str>,
        limits: &str,
    ) -> Process {
        let (record_bytes, call_bytes) = longest;
        let address = unique_loopback_address();
        let caller_address = SocketAddr::new(address, CALLERS_PORT);
        let readiness_address = SocketAddr::new(address, READINESS_PORT);
        let peer_address = SocketAddr::new(address, PEERS_PORT);
        let settings = std::env::temp_dir().join(format!("daisyshift-{address}.yaml"));
        let text = format!(
            "node-name: vm-{index}\nzone: z1\nregion: r1\nlisten:\n  front: \"{caller_address}\"\n  \
             ready: \"{readiness_address}\"\ncontrol-mode: push\nplatform:\n  address: \
             \"{log_address}\"\n  form: log\n  parts: 12\n  record-bytes: {record_bytes}\n  \
             call-bytes: {call_bytes}\nip: \"{address}\"\nport-range: [{PEERS_PORT}, \
             {PEERS_PORT}]\nbounds:\n  max-hold-ms: 10000\n  grace-s: 6\nlimits:\n  cpu-share: 1.0\n{limits}",
        );
        let mut file = File::create(&settings).expect("a new settings file");
        file.write_all(text.as_bytes()).expect("space for the settings");
        let log = open_log_file(&settings);
        let child = spawn(&settings, policy, log, open_log_file(&settings));
        Process { child, caller_address, readiness_address, peer_address, settings, policy }
    }

    /// Starts the process again after its end.
    pub fn restart(&mut self) {
        self.child = spawn(
            &self.settings,
            self.policy,
            open_log_file(&self.settings),
            open_log_file(&self.settings),
        );
    }

    /// Starts the process again, with its log going into a pipe that nobody reads.
    pub fn restart_with_unread_output(&mut self) {
        self.child =
            spawn(&self.settings, self.policy, Stdio::piped(), open_log_file(&self.settings));
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("a process that this test started");
        self.child.wait().expect("the end of a killed process");
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("a process that this test started");
    }

    /// Returns the exit code once the process has ended; `Some(None)` if a signal ended it.
    pub fn try_exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.try_wait().expect("a process that this test started");
        status.map(|it| it.code())
    }

    /// Returns the most memory that the process has had in use since it was started, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the status of a running process");
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.expect("a peak in KiB") << 10
    }

    /// Returns the number of files and sockets that the process has open.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the descriptors of a running process").count()
    }

    /// Returns all that the process has logged to its file; empty if the log goes elsewhere.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        log_path(&self.settings)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.log_path());
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn open_log_file(settings: &Path) -> Stdio {
    let log = File::options().create(true).append(true).open(log_path(settings));
    Stdio::from(log.expect("a file for the log"))
}

fn spawn(settings: &Path, policy: Option<&str>, log: Stdio, errors: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_daisyshift"))
        .arg("node")
        .args(policy.into_iter().flat_map(|it| ["--policy", it]))
        .arg("--settings")
        .arg(settings)
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program that was built")
}

/// Returns a loopback address that no other process of these tests uses.
///
/// A free port of 127.0.0.1 can be taken at any time: until the process listens, or while it is
/// down, an outgoing connection of another test may be given the same port, and the process then
/// fails to start. Outgoing connections use 127.0.0.1, so they take no port of other addresses.
fn unique_loopback_address() -> IpAddr {
    static PROCESSES_STARTED: AtomicU32 = AtomicU32::new(0);
    const PROCESS_BITS: u32 = 10;
    const TEST_BITS: u32 = 12;
    let process = PROCESSES_STARTED.fetch_add(1, Ordering::Relaxed) % (1 << PROCESS_BITS);
    let test = std::process::id() % (1 << TEST_BITS);
    let first = u32::from(Ipv4Addr::new(127, 64, 0, 0));
    IpAddr::V4(Ipv4Addr::from(first | test << PROCESS_BITS | process))
}
