//! The log, the workers, their links and the processes of a soak run, and the injection of faults.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use daisy_http::Http;
use daisy_platform_standin::{Gangs, Log, LogFault, StartedRun, Worker, WorkerFault};
use daisy_standin::{
    Link,
    link::{ForwardRule, LinkFaults, Options},
};
use futures::future::join_all;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    callers::{SubmittedJob, send_request},
    plan::{Fault, LinkFault, Plan, Target},
    process::{POLICY, Process},
};

/// The number of workers that have a link of their own.
const LINKED_WORKERS: usize = 6;
/// The number of cores of a worker; a task takes half a core.
pub const CORES: u32 = 4;
/// The interval at which the schedule is checked.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(20);
/// How long all processes together may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The stand-ins and processes of one soak run.
pub struct Fleet {
    log: Log,
    workers: Vec<Worker>,
    /// The link of each process to the log.
    log_links: Vec<Link>,
    /// The links to each of the first workers: one, or one from each process.
    worker_links: Vec<Vec<Link>>,
    processes: Vec<Process>,
    /// The ends of the active faults, with the time at which each is due.
    scheduled_ends: Vec<(Instant, FaultEnd)>,
    /// The version of the newest configuration.
    version: u64,
}

/// What ends a fault. Processes and workers are named by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultEnd {
    RestartProcess(usize),
    ResumeProcess(usize),
    RestoreLogLink(usize),
    RestoreWorkerLink(usize),
    RestorePath(usize, usize),
    RestoreWorker(usize),
    RestoreLog,
}

/// Returns whether a worker is of kind `a` where workers are of two kinds.
pub fn is_of_kind_a(worker: usize) -> bool {
    worker.is_multiple_of(2)
}

impl Fleet {
    /// Starts all stand-ins and processes, and waits until every process is ready.
    pub async fn start(plan: &Plan) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        let gangs = Gangs::default();
        let mut workers = Vec::new();
        let mut worker_links = Vec::new();
        for index in 0..plan.workers {
            let work = plan.task_durations[index];
            let worker = Worker::start(&log, &format!("w{index}"), "shop", CORES, work).await;
            let worker = worker.expect("a port of loopback");
            worker.set_clock_rate(plan.clock_permille[index]);
            worker.join_gangs(&gangs);
            if plan.has_constraints && !is_of_kind_a(index) {
                worker.set_labels(["b", "r1-1"]);
            }
            if plan.has_paths {
                let links = links_to(worker.address, plan.vms).await;
                worker.announce_in_views(links.iter().map(Link::address).collect());
                worker_links.push(links);
            } else if index < LINKED_WORKERS {
                let links = links_to(worker.address, 1).await;
                worker.announce_at(links[0].address());
                worker_links.push(links);
            }
            workers.push(worker);
        }
        let mut log_links = Vec::new();
        for vm in 0..plan.vms {
            let address = match plan.has_paths {
                true => log.open_view(vm).await.expect("a port of loopback"),
                false => log.address,
            };
            log_links.push(link_to(address).await);
        }
        let policy = plan.mixes_kinds.then_some(POLICY);
        let longest = log.longest();
        let processes = log_links
            .iter()
            .enumerate()
            .map(|(vm, it)| Process::start(vm, it.address(), longest, policy, ""));
        let processes = processes.collect();
        let scheduled_ends = Vec::new();
        let mut fleet =
            Fleet { log, workers, log_links, worker_links, processes, scheduled_ends, version: 0 };
        fleet.configure();
        fleet.wait_ready().await;
        fleet
    }

    /// Returns the address of each process for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|it| it.caller_address).collect()
    }

    /// Returns all runs that workers have begun, each with the index of its worker.
    pub fn runs(&self) -> Vec<(usize, StartedRun)> {
        let runs_of = |(index, worker): (usize, &Worker)| {
            worker.started_runs().into_iter().map(move |it| (index, it)).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(runs_of).collect()
    }

    /// Returns what a worker was called with, a line each.
    pub fn calls_of(&self, worker: usize) -> String {
        self.workers[worker].history().into_iter().map(|(_, what)| what + "\n").collect()
    }

    /// Publishes a configuration with a new version.
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

    /// Injects the faults of the plan and ends them when they are due, until the plan's duration is
    /// over.
    pub async fn run_schedule(&mut self, plan: &Plan) {
        let began = Instant::now();
        let mut faults = plan.faults.iter().peekable();
        while began.elapsed() < plan.duration {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= began.elapsed()) {
                self.inject(*fault);
            }
            self.end_due_faults(Instant::now());
            self.restart_exited();
            sleep(SCHEDULE_INTERVAL).await;
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Kill(target, down) => self.kill(self.vm(target), now + down),
            Fault::KillAll(down) => {
                (0..self.processes.len()).for_each(|vm| self.kill(vm, now + down));
            }
            Fault::Pause(target, time) => {
                self.signal(self.vm(target), Signal::SIGSTOP, Some(now + time));
            }
            Fault::Terminate(target) => self.signal(self.vm(target), Signal::SIGTERM, None),
            Fault::Hangup(target) => self.signal(self.vm(target), Signal::SIGHUP, None),
            Fault::LogLink(target, fault, time) => {
                let vm = self.vm(target);
                self.log_links[vm].set_faults(link_faults(fault));
                self.scheduled_ends.push((now + time, FaultEnd::RestoreLogLink(vm)));
            }
            Fault::WorkerLink(worker, fault, time) => {
                self.worker_links[worker].iter().for_each(|it| it.set_faults(link_faults(fault)));
                self.scheduled_ends.push((now + time, FaultEnd::RestoreWorkerLink(worker)));
            }
            Fault::Path(target, worker, fault, time) => {
                let vm = self.vm(target);
                self.worker_links[worker][vm].set_faults(link_faults(fault));
                self.scheduled_ends.push((now + time, FaultEnd::RestorePath(vm, worker)));
            }
            Fault::CrashWorker(worker) => self.workers[worker].crash(),
            Fault::DelayOrders(worker, delay) => {
                /// How long the worker delays the orders that it receives.
                const FAULT_DURATION: Duration = Duration::from_secs(2);
                self.workers[worker].set_fault(WorkerFault::DelaysStarts(delay));
                self.scheduled_ends.push((now + FAULT_DURATION, FaultEnd::RestoreWorker(worker)));
            }
            Fault::DelayCalls(worker, delay, time) => {
                self.workers[worker].set_fault(WorkerFault::DelaysCalls(delay));
                self.scheduled_ends.push((now + time, FaultEnd::RestoreWorker(worker)));
            }
            Fault::LogBusy(time) => self.set_log_fault(LogFault::Busy, now + time),
            Fault::LogUnresponsive(time) => self.set_log_fault(LogFault::Unresponsive, now + time),
            Fault::LogLosesAnswers(time) => self.set_log_fault(LogFault::LosesAnswers, now + time),
            Fault::LogSlowAppends(each, time) => {
                self.set_log_fault(LogFault::SlowAppends(each), now + time)
            }
            Fault::DropHistory => {
                for topic in ["keyed.op", "keyed.servers", "keyed.states", "keyed.jobs"] {
                    self.log.compact(topic);
                }
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Returns the index of the process that a fault is applied to.
    fn vm(&self, target: Target) -> usize {
        let newest_epoch = |vm: usize| {
            let log_text = self.processes[vm].log_text();
            let lines = log_text.lines().filter(|it| it.contains("event=owner shard=0 "));
            lines.filter_map(|it| it.split_once("epoch=")?.1.split(' ').next()?.parse().ok()).max()
        };
        match target {
            Target::Vm(vm) => vm,
            Target::Owner => {
                let epoch = |vm: &usize| newest_epoch(*vm).unwrap_or(0_u64);
                (0..self.processes.len()).max_by_key(epoch).unwrap_or(0)
            }
        }
    }

    /// Makes a worker delay the orders to start that it receives, or end that fault.
    pub fn set_order_delay(&self, worker: usize, delay: Option<Duration>) {
        let fault = delay.map_or(WorkerFault::None, WorkerFault::DelaysStarts);
        self.workers[worker].set_fault(fault);
    }

    /// Cuts a worker off from all processes, crashes it, and restarts it under its id.
    pub fn restart_unreachable_worker(&self, worker: usize) {
        let links = &self.worker_links[worker];
        links.iter().for_each(|it| it.set_faults(link_faults(LinkFault::Cut)));
        self.workers[worker].crash();
    }

    /// Waits until `is_met` returns true for the runs and for what all processes have logged.
    pub async fn wait_until(&self, is_met: impl Fn(&[(usize, StartedRun)], &str) -> bool) {
        let began = Instant::now();
        loop {
            let log_text: String = self.processes.iter().map(Process::log_text).collect();
            if is_met(&self.runs(), &log_text) {
                return;
            }
            assert!(began.elapsed() < READY_TIMEOUT, "the condition was not met in time");
            sleep(SCHEDULE_INTERVAL).await;
        }
    }

    fn set_log_fault(&mut self, fault: LogFault, until: Instant) {
        self.log.set_fault(fault);
        self.scheduled_ends.push((until, FaultEnd::RestoreLog));
    }

    /// Kills a process until a given time, unless it is already killed.
    fn kill(&mut self, vm: usize, until: Instant) {
        if self.is_killed(vm) {
            return;
        }
        self.processes[vm].kill();
        self.scheduled_ends.push((until, FaultEnd::RestartProcess(vm)));
    }

    fn signal(&mut self, vm: usize, signal: Signal, until: Option<Instant>) {
        if self.is_killed(vm) || self.processes[vm].try_exit_code().is_some() {
            return;
        }
        self.processes[vm].signal(signal);
        self.scheduled_ends.extend(until.map(|it| (it, FaultEnd::ResumeProcess(vm))));
    }

    fn is_killed(&self, vm: usize) -> bool {
        self.scheduled_ends.iter().any(|(_, it)| *it == FaultEnd::RestartProcess(vm))
    }

    fn end_due_faults(&mut self, now: Instant) {
        let scheduled_ends = std::mem::take(&mut self.scheduled_ends);
        let (due, pending) = scheduled_ends.into_iter().partition(|(at, _)| *at <= now);
        self.scheduled_ends = pending;
        let due: Vec<(Instant, FaultEnd)> = due;
        for (_, it) in due {
            self.end_fault(it);
        }
    }

    fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::RestartProcess(vm) => self.processes[vm].restart(),
            FaultEnd::ResumeProcess(vm) => {
                if !self.is_killed(vm) && self.processes[vm].try_exit_code().is_none() {
                    self.processes[vm].signal(Signal::SIGCONT);
                }
            }
            FaultEnd::RestoreLogLink(vm) => self.log_links[vm].set_faults(LinkFaults::default()),
            FaultEnd::RestoreWorkerLink(worker) => {
                self.worker_links[worker].iter().for_each(|it| it.set_faults(LinkFaults::default()))
            }
            FaultEnd::RestorePath(vm, worker) => {
                self.worker_links[worker][vm].set_faults(LinkFaults::default())
            }
            FaultEnd::RestoreWorker(worker) => self.workers[worker].set_fault(WorkerFault::None),
            FaultEnd::RestoreLog => self.log.set_fault(LogFault::None),
        }
    }

    /// Restarts the processes that have ended by themselves, as after a planned stop.
    fn restart_exited(&mut self) {
        for vm in 0..self.processes.len() {
            if !self.is_killed(vm) && self.processes[vm].try_exit_code().is_some() {
                self.processes[vm].restart();
            }
        }
    }

    /// Ends all faults and waits until every process is ready.
    pub async fn end_all_faults(&mut self) {
        for (_, it) in std::mem::take(&mut self.scheduled_ends) {
            self.end_fault(it);
        }
        self.wait_ready().await;
    }

    async fn wait_ready(&mut self) {
        let http = Http::new(None);
        let began = Instant::now();
        for vm in 0..self.processes.len() {
            loop {
                self.restart_exited();
                let address = self.processes[vm].readiness_address;
                let req = http.request(Method::GET, address, "/daisyshift/readiness");
                let req = req.body(http_body_util::Full::default()).expect("a request");
                let reply = http.call(req, Duration::from_secs(1), 1 << 10).await;
                if reply.is_ok_and(|it| it.status.is_success()) {
                    break;
                }
                assert!(began.elapsed() < READY_TIMEOUT, "VM {vm} is not ready in time");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until every VM reports every accepted job as ended, and returns descriptions of those
    /// that are not reported so before the timeout.
    pub async fn wait_for_ended_jobs(
        &self,
        jobs: &[SubmittedJob],
        timeout: Duration,
    ) -> Vec<String> {
        let http = Http::new(None);
        let until = Instant::now() + timeout;
        let mut unfinished = Vec::new();
        for job in jobs.iter().filter(|it| it.accepted_at.is_some()) {
            for (vm, process) in self.processes.iter().enumerate() {
                loop {
                    let (status, body) = send_request(
                        &http,
                        process.caller_address,
                        Method::GET,
                        &job.id,
                        String::new(),
                    )
                    .await;
                    let is_completed = body.contains("completed");
                    let is_cancelled = body.contains("cancelled") && job.cancel_sent_at.is_some();
                    if status == 200 && (is_completed || is_cancelled) {
                        break;
                    }
                    if Instant::now() > until {
                        unfinished.push(format!(
                            "job {} has not ended at VM {vm}: {status} {body}",
                            job.id
                        ));
                        break;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        unfinished
    }

    /// Copies the logs of all processes, and what the workers saw, into a folder of the seed, and
    /// returns its path.
    pub fn copy_logs(&self, seed: u64) -> PathBuf {
        let to = std::env::temp_dir().join(format!("daisyshift-soak-{seed}"));
        std::fs::create_dir_all(&to).expect("a folder for logs");
        for (vm, process) in self.processes.iter().enumerate() {
            // A process that never logged has no file.
            let _ = std::fs::copy(process.log_path(), to.join(format!("vm-{vm}.log")));
        }
        let mut seen = Vec::new();
        for it in &self.workers {
            seen.extend(it.history().into_iter().map(|(at, what)| (at, it.id.clone(), what)));
        }
        seen.sort_unstable();
        let lines =
            seen.iter().map(|(at, id, what)| format!("{} worker={id} {what}\n", clock(*at)));
        std::fs::write(to.join("workers.log"), lines.collect::<String>()).expect("space for logs");
        to
    }
}

/// Formats a time as the processes' logs do, in UTC.
fn clock(at: SystemTime) -> String {
    let of_day = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() % 86_400_000;
    let (seconds, millis) = (of_day / 1_000, of_day % 1_000);
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}

/// Starts as many links that forward to an address.
async fn links_to(to: SocketAddr, count: usize) -> Vec<Link> {
    join_all((0..count).map(|_| link_to(to))).await
}

/// Starts a link that forwards to an address.
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

fn link_faults(fault: LinkFault) -> LinkFaults {
    let none = LinkFaults::default();
    match fault {
        LinkFault::Cut => LinkFaults { cut: true, ..none },
        LinkFault::CutReplies => LinkFaults { cut_back: true, ..none },
        LinkFault::Reset => LinkFaults { reset: true, ..none },
        LinkFault::Delay(delay_ms) => LinkFaults { delay_ms, ..none },
    }
}
