//! A log and workers behind links, and processes; and what the plan does to them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use daisy_http::Http;
use daisy_platform_standin::{Log, LogFault, StartedRun, Worker, WorkerFault};
use daisy_standin::{
    Link,
    link::{ForwardRule, LinkFaults, Options},
};
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    callers::{Call, ask},
    plan::{Fault, Plan, Way},
    process::Process,
};

/// Workers that have a link of their own.
const LINKED: usize = 6;
/// A task's work.
const WORK: Duration = Duration::from_millis(400);
/// Cores of a worker; a task takes half of one.
pub const CORES: u32 = 4;
/// Between steps of the schedule.
const STEP: Duration = Duration::from_millis(20);
/// How long a process may take to be ready.
const READY: Duration = Duration::from_secs(30);

/// All that a seed plays with.
pub struct Fleet {
    log: Log,
    workers: Vec<Worker>,
    /// The link of each process to the log, then those of workers.
    store_links: Vec<Link>,
    worker_links: Vec<Link>,
    processes: Vec<Process>,
    /// What ends at which time.
    ends: Vec<(Instant, End)>,
    version: u64,
}

/// The end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Restart(usize),
    Continue(usize),
    Store(usize),
    Worker(usize),
    OnTime(usize),
    Log,
}

impl Fleet {
    /// Starts everything and waits until callers can come.
    pub async fn start(plan: &Plan) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        let mut workers = Vec::new();
        let mut worker_links = Vec::new();
        for at in 0..plan.workers {
            let worker = Worker::start(&log, &format!("w{at}"), "shop", CORES, WORK).await;
            let worker = worker.expect("a port of loopback");
            worker.set_clock_rate(plan.clocks[at]);
            if at < LINKED {
                let link = link_to(worker.address).await;
                worker.announce_at(link.address());
                worker_links.push(link);
            }
            workers.push(worker);
        }
        let mut store_links = Vec::new();
        for _ in 0..plan.vms {
            store_links.push(link_to(log.address).await);
        }
        let processes =
            store_links.iter().enumerate().map(|(at, it)| Process::start(at, it.address()));
        let processes = processes.collect();
        let ends = Vec::new();
        let mut fleet =
            Fleet { log, workers, store_links, worker_links, processes, ends, version: 0 };
        fleet.configure();
        fleet.wait_ready().await;
        fleet
    }

    /// Where callers come in.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|it| it.callers).collect()
    }

    /// All runs that workers have begun, by worker.
    pub fn runs(&self) -> Vec<(usize, StartedRun)> {
        let of = |(at, worker): (usize, &Worker)| {
            worker.started_runs().into_iter().map(move |it| (at, it)).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(of).collect()
    }

    fn configure(&mut self) {
        self.version += 1;
        self.log.configure(&json!({
            "version": self.version,
            "routes": [{ "name": "r", "host": "shop.example", "path-prefix": "/jobs/",
                "timeout-ms": 3_000, "target-latency-ms": 400, "priority": 0, "service": "shop",
                "max-attempts": 4, "slack-factor": 2.0 }],
            "services": [{ "name": "shop", "max-conns": 64, "admission-control": false }],
            "limits": { "body-bytes": 262_144 },
        }));
    }

    /// Plays the schedule.
    pub async fn carry_out(&mut self, plan: &Plan) {
        let began = Instant::now();
        let mut faults = plan.faults.iter().peekable();
        while began.elapsed() < plan.length {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= began.elapsed()) {
                self.begin(*fault);
            }
            self.end_due(Instant::now());
            self.restart_ended();
            sleep(STEP).await;
        }
    }

    fn begin(&mut self, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Kill(vm, down) => self.kill(vm, now + down),
            Fault::KillAll(down) => {
                (0..self.processes.len()).for_each(|vm| self.kill(vm, now + down));
            }
            Fault::Pause(vm, time) => self.signal(vm, Signal::SIGSTOP, Some(now + time)),
            Fault::Terminate(vm) => self.signal(vm, Signal::SIGTERM, None),
            Fault::Hangup(vm) => self.signal(vm, Signal::SIGHUP, None),
            Fault::Store(vm, way, time) => {
                self.store_links[vm].set_faults(faults(way));
                self.ends.push((now + time, End::Store(vm)));
            }
            Fault::Worker(worker, way, time) => {
                self.worker_links[worker].set_faults(faults(way));
                self.ends.push((now + time, End::Worker(worker)));
            }
            Fault::Crash(worker) => self.workers[worker].crash(),
            Fault::DelaysStarts(worker, after) => {
                /// How long such a worker takes orders late.
                const LATE_FOR: Duration = Duration::from_secs(2);
                self.workers[worker].set_fault(WorkerFault::DelaysStarts(after));
                self.ends.push((now + LATE_FOR, End::OnTime(worker)));
            }
            Fault::LogBusy(time) => self.set_log(LogFault::Busy, now + time),
            Fault::LogSilent(time) => self.set_log(LogFault::Unresponsive, now + time),
            Fault::LogLosesAnswers(time) => self.set_log(LogFault::LosesAnswers, now + time),
            Fault::LogSlow(each, time) => self.set_log(LogFault::SlowAppends(each), now + time),
            Fault::Forget => {
                for topic in ["keyed.op", "keyed.servers", "keyed.states", "keyed.jobs"] {
                    self.log.compact(topic);
                }
            }
            Fault::Configure => self.configure(),
        }
    }

    fn set_log(&mut self, fault: LogFault, until: Instant) {
        self.log.set_fault(fault);
        self.ends.push((until, End::Log));
    }

    /// Kills a process, unless it is down.
    fn kill(&mut self, vm: usize, until: Instant) {
        if self.is_down(vm) {
            return;
        }
        self.processes[vm].kill();
        self.ends.push((until, End::Restart(vm)));
    }

    fn signal(&mut self, vm: usize, signal: Signal, until: Option<Instant>) {
        if self.is_down(vm) || self.processes[vm].try_exit().is_some() {
            return;
        }
        self.processes[vm].signal(signal);
        self.ends.extend(until.map(|it| (it, End::Continue(vm))));
    }

    fn is_down(&self, vm: usize) -> bool {
        self.ends.iter().any(|(_, it)| *it == End::Restart(vm))
    }

    fn end_due(&mut self, now: Instant) {
        let ends = std::mem::take(&mut self.ends);
        let (due, later) = ends.into_iter().partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Instant, End)> = due;
        for (_, it) in due {
            self.end(it);
        }
    }

    fn end(&mut self, end: End) {
        match end {
            End::Restart(vm) => self.processes[vm].restart(),
            End::Continue(vm) => {
                if !self.is_down(vm) && self.processes[vm].try_exit().is_none() {
                    self.processes[vm].signal(Signal::SIGCONT);
                }
            }
            End::Store(vm) => self.store_links[vm].set_faults(LinkFaults::default()),
            End::Worker(worker) => self.worker_links[worker].set_faults(LinkFaults::default()),
            End::OnTime(worker) => self.workers[worker].set_fault(WorkerFault::None),
            End::Log => self.log.set_fault(LogFault::None),
        }
    }

    /// A process that ended as planned is started again.
    fn restart_ended(&mut self) {
        for vm in 0..self.processes.len() {
            if !self.is_down(vm) && self.processes[vm].try_exit().is_some() {
                self.processes[vm].restart();
            }
        }
    }

    /// Ends all faults and waits until every process is ready.
    pub async fn recover(&mut self) {
        for (_, it) in std::mem::take(&mut self.ends) {
            self.end(it);
        }
        self.wait_ready().await;
    }

    async fn wait_ready(&mut self) {
        let http = Http::new(None);
        let began = Instant::now();
        for vm in 0..self.processes.len() {
            loop {
                self.restart_ended();
                let address = self.processes[vm].readiness;
                let req = http.request(Method::GET, address, "/daisyshift/readiness");
                let req = req.body(http_body_util::Full::default()).expect("a request");
                let reply = http.call(req, Duration::from_secs(1), 1 << 10).await;
                if reply.is_ok_and(|it| it.status.is_success()) {
                    break;
                }
                assert!(began.elapsed() < READY, "VM {vm} is not ready");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until every accepted job is told as ended by every VM; what is not, after `patience`.
    pub async fn settle(&self, calls: &[Call], patience: Duration) -> Vec<String> {
        let http = Http::new(None);
        let until = Instant::now() + patience;
        let mut broken = Vec::new();
        for call in calls.iter().filter(|it| it.accepted.is_some()) {
            for (vm, process) in self.processes.iter().enumerate() {
                loop {
                    let (status, state) =
                        ask(&http, process.callers, Method::GET, &call.id, String::new()).await;
                    let completed = state.contains("completed");
                    let cancelled = state.contains("cancelled") && call.cancel_sent.is_some();
                    if status == 200 && (completed || cancelled) {
                        break;
                    }
                    if Instant::now() > until {
                        broken.push(format!("{} at VM {vm}: {status} {state}", call.id));
                        break;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        broken
    }

    /// Copies the logs of all processes aside and says where.
    pub fn keep_logs(&self, seed: u64) -> PathBuf {
        let to = std::env::temp_dir().join(format!("daisyshift-soak-{seed}"));
        std::fs::create_dir_all(&to).expect("room for logs");
        for (vm, process) in self.processes.iter().enumerate() {
            // A process that never wrote has no log.
            let _ = std::fs::copy(process.log(), to.join(format!("vm-{vm}.log")));
        }
        to
    }
}

async fn link_to(to: SocketAddr) -> Link {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let forward_rules = vec![ForwardRule { listen: loopback, to }];
    let options = Options {
        name: "link".to_owned(),
        control: loopback,
        forward_rules,
        faults: LinkFaults::default(),
        history: None,
    };
    Link::start(options).await.expect("ports of loopback")
}

fn faults(way: Way) -> LinkFaults {
    let good = LinkFaults::default();
    match way {
        Way::Cut => LinkFaults { cut: true, ..good },
        Way::CutBack => LinkFaults { cut_back: true, ..good },
        Way::Reset => LinkFaults { reset: true, ..good },
        Way::Delay(delay_ms) => LinkFaults { delay_ms, ..good },
    }
}
