//! A log, workers, and processes of `daisyshift node`. Processes are named by the index of their
//! VM.

#![allow(dead_code, reason = "each test binary uses only some of the functions")]

use std::{
    net::SocketAddr,
    process::Command,
    time::{Duration, Instant},
};

use daisy_http::Http;
use daisy_platform_standin::{Log, StartedRun, Worker, WorkerFault};
use http::Method;
use http_body_util::Full;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

use crate::process::{POLICY, Process, RELAY_POLICY};

/// The id of the job that most tests submit.
pub const JOB_ID: &str = "00000000000000aa";
/// The id of a second job.
pub const OTHER_JOB_ID: &str = "00000000000000bb";
/// Time limit for every condition that a test waits for; long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the body of a submission: a job of one step of `count` tasks.
pub fn job_body(count: u32) -> String {
    json!({ "spec": "text", "steps": [{ "count": count, "cpu": 500, "mem-mb": 16,
        "est-runtime-ms": 400 }] })
    .to_string()
}

/// Returns the body of a submission: a job of `count` tasks of a core each that run until they are
/// cancelled.
pub fn long_running_body(count: u32) -> String {
    json!({ "spec": "text", "steps": [{ "count": count, "cpu": 1_000, "mem-mb": 16,
        "est-runtime-ms": 400, "long-running": true }] })
    .to_string()
}

/// The stand-ins and processes of one test.
pub struct Fleet {
    pub log: Log,
    workers: Vec<Worker>,
    processes: Vec<Process>,
    http: Http,
}

impl Fleet {
    /// Starts a fleet and waits until every VM is ready for callers and every worker has an owner.
    pub async fn start(processes: usize, workers: usize, work: Duration) -> Fleet {
        Fleet::start_under(None, processes, workers, work).await
    }

    /// As [`start`](Fleet::start), with the policy that is deployed.
    pub async fn start_with_policy(processes: usize, workers: usize, work: Duration) -> Fleet {
        Fleet::start_under(Some(POLICY), processes, workers, work).await
    }

    /// As [`start`](Fleet::start), with VMs that read the log for each other.
    pub async fn start_with_relays(processes: usize, workers: usize, work: Duration) -> Fleet {
        Fleet::start_under(Some(RELAY_POLICY), processes, workers, work).await
    }

    async fn start_under(
        policy: Option<&'static str>,
        processes: usize,
        workers: usize,
        work: Duration,
    ) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        Fleet::start_beside(log, policy, processes, workers, work).await
    }

    /// As [`start`](Fleet::start), with a log that holds `records` of an earlier system. Each is the
    /// topic, the key and the value.
    pub async fn start_with_records(
        records: impl Iterator<Item = (&'static str, String, Vec<u8>)>,
        processes: usize,
        workers: usize,
        work: Duration,
    ) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        for (topic, key, value) in records {
            log.write(topic, &key, value.into());
            log.compact(topic);
        }
        Fleet::start_beside(log, None, processes, workers, work).await
    }

    /// Returns the address of a process for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.processes[index].caller_address
    }

    /// Returns the number of files and sockets that a process has open.
    pub fn open_descriptors(&self, index: usize) -> usize {
        self.processes[index].open_descriptors()
    }

    /// Returns the exit code of a process if it has ended; `Some(None)` if a signal ended it.
    pub fn exit_code(&mut self, index: usize) -> Option<Option<i32>> {
        self.processes[index].try_exit_code()
    }

    /// Returns the most memory that a process has had in use, in bytes.
    pub fn peak_memory(&self, index: usize) -> u64 {
        self.processes[index].peak_memory()
    }

    /// As [`start`](Fleet::start), with a log that accepts shorter records and calls, in bytes.
    pub async fn start_with_longest(
        (record_bytes, call_bytes): (usize, usize),
        processes: usize,
        workers: usize,
        work: Duration,
    ) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        log.limit_records(record_bytes, call_bytes);
        Fleet::start_beside(log, None, processes, workers, work).await
    }

    /// As [`start`](Fleet::start), with one process that may use so many MiB of memory and file
    /// descriptors.
    pub async fn start_within(memory_mb: u64, max_fds: usize, work: Duration) -> Fleet {
        let limits = format!("  memory-mb: {memory_mb}\n  max-fds: {max_fds}\n");
        let log = Log::start().await.expect("a port of loopback");
        Fleet::start_limited(log, None, 1, 1, work, &limits).await
    }

    async fn start_beside(
        log: Log,
        policy: Option<&'static str>,
        processes: usize,
        workers: usize,
        work: Duration,
    ) -> Fleet {
        Fleet::start_limited(log, policy, processes, workers, work, "").await
    }

    async fn start_limited(
        log: Log,
        policy: Option<&'static str>,
        processes: usize,
        workers: usize,
        work: Duration,
        limits: &str,
    ) -> Fleet {
        let mut fleet =
            Fleet { log, workers: Vec::new(), processes: Vec::new(), http: Http::new(None) };
        fleet.configure(1, "/jobs/");
        for index in 0..workers {
            let id = format!("w{index}");
            let worker = Worker::start(&fleet.log, &id, "shop", 4, work).await;
            fleet.workers.push(worker.expect("a port of loopback"));
        }
        for index in 0..processes {
            fleet.processes.push(Process::start(
                index,
                fleet.log.address,
                fleet.log.longest(),
                policy,
                limits,
            ));
        }
        for index in 0..processes {
            fleet.wait_ready(index).await;
        }
        fleet.wait_for_owners().await;
        fleet
    }

    pub fn configure(&self, version: u64, path_prefix: &str) {
        self.log.configure(&json!({
            "version": version,
            "routes": [{ "name": "r", "host": "shop.example", "path-prefix": path_prefix,
                "timeout-ms": 3_000, "target-latency-ms": 400, "priority": 0, "service": "shop",
                "max-attempts": 4, "slack-factor": 2.0 }],
            "services": [{ "name": "shop", "max-conns": 64, "admission-control": false }],
            "limits": { "body-bytes": 262_144 },
        }));
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index].kill();
    }

    /// Restarts the process of a VM, with its log going into a pipe that nobody reads.
    pub async fn restart_with_unread_output(&mut self, index: usize) {
        self.processes[index].restart_with_unread_output();
        self.wait_ready(index).await;
    }

    /// Restarts the process of a VM.
    pub async fn restart(&mut self, index: usize) {
        self.processes[index].restart();
        self.wait_ready(index).await;
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        self.processes[index].signal(signal);
    }

    /// Waits until a process has ended, and returns its exit code; `None` if a signal ended it.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(code) = self.processes[index].try_exit_code() {
                return code;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "the process has not ended in time");
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: String,
    ) -> (u16, String) {
        let address = self.processes[index].caller_address;
        let (status, body) = self.send_request(address, method, path, body).await;
        (status, body)
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: String,
    ) -> (u16, String) {
        let method: Method = method.parse().expect("a method");
        let req = self.http.request(method, address, path).header("host", "shop.example");
        let req = req.body(Full::from(body)).expect("a request");
        match self.http.call(req, CALL_TIMEOUT, 1 << 20).await {
            Ok(reply) => {
                let body = String::from_utf8_lossy(&reply.body).into_owned();
                (reply.status.as_u16(), body)
            }
            Err(_) => (0, String::new()),
        }
    }

    /// Sends a POST whose body is sent in `parts`, with a pause after each, on a connection of its
    /// own, and then a GET of `JOB_ID` on the same connection. Returns both statuses, with 0 for a
    /// broken connection.
    pub async fn post_in_parts(&self, index: usize, path: &str, parts: &[String]) -> [u16; 2] {
        let mut stream =
            TcpStream::connect(self.processes[index].caller_address).await.expect("a port");
        let length: usize = parts.iter().map(String::len).sum();
        let head = "HTTP/1.1\r\nhost: shop.example\r\n";
        let mut unsent = format!("POST {path} {head}content-length: {length}\r\n\r\n");
        for part in parts {
            unsent.push_str(part);
            // If the other side has closed the connection, reading the answer fails below.
            let _ = stream.write_all(unsent.as_bytes()).await;
            unsent.clear();
            sleep(Duration::from_millis(200)).await;
        }
        let posted = read_status(&mut stream).await;
        let get = format!("GET /jobs/{JOB_ID} {head}\r\n");
        let _ = stream.write_all(get.as_bytes()).await;
        [posted, read_status(&mut stream).await]
    }

    pub async fn submit(&self, index: usize, id: &str, body: String) -> u16 {
        self.call(index, "POST", &format!("/jobs/{id}"), body).await.0
    }

    /// Submits a job with each of these ids, one every `gap`, and returns the statuses.
    pub async fn submit_all(&self, index: usize, ids: &[String], gap: Duration) -> Vec<u16> {
        let submit = async |(number, id): (usize, &String)| {
            sleep(gap * number as u32).await;
            self.submit(index, id, job_body(1)).await
        };
        futures::future::join_all(ids.iter().enumerate().map(submit)).await
    }

    /// Submits the job with this number as its id, after a delay.
    pub async fn submit_after(&self, index: usize, number: usize, delay: Duration) -> u16 {
        sleep(delay).await;
        self.submit(index, &format!("{number:016x}"), job_body(1)).await
    }

    pub async fn get_job(&self, index: usize, id: &str) -> (u16, String) {
        self.call(index, "GET", &format!("/jobs/{id}"), String::new()).await
    }

    pub async fn is_ready(&self, index: usize) -> bool {
        let address = self.processes[index].readiness_address;
        self.send_request(address, "GET", "/daisyshift/readiness", String::new()).await.0 == 200
    }

    async fn wait_ready(&mut self, index: usize) {
        let began = Instant::now();
        while !self.is_ready(index).await {
            let exit_code = self.processes[index].try_exit_code();
            let is_late = began.elapsed() > WAIT_TIMEOUT;
            if exit_code.is_some() || is_late {
                let log = self.processes[index].log_text();
                panic!("process {index} is not ready; exit code: {exit_code:?}; its log:\n{log}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until one process owns all workers, according to its metrics, and returns its index.
    pub async fn wait_for_owner(&self) -> usize {
        let began = Instant::now();
        loop {
            for (index, node) in self.processes.iter().enumerate() {
                let (_, text) = self
                    .send_request(node.readiness_address, "GET", "/metrics", String::new())
                    .await;
                if usable_workers(&text) == self.workers.len() {
                    return index;
                }
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "no process owns all workers");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns how often processes became the owner of a shard, according to their logs.
    pub fn owner_change_count(&self) -> usize {
        let changes = |it: &Process| it.log_text().matches("event=owner ").count();
        self.processes.iter().map(changes).sum()
    }

    /// Returns all that a process has logged.
    pub fn log_text_of(&self, index: usize) -> String {
        self.processes[index].log_text()
    }

    /// Returns whether the process logged, when it last became an owner, that the leases of all
    /// earlier owners had expired; `None` if it never became an owner.
    pub fn had_predecessors_expired(&self, index: usize) -> Option<bool> {
        let log = self.processes[index].log_text();
        let line = log.lines().rfind(|it| it.contains("event=owner "))?;
        Some(line.contains("settled=true"))
    }

    /// Waits until each worker has an owner, and returns how many workers each process can give
    /// work to.
    pub async fn wait_for_owners(&self) -> Vec<usize> {
        let began = Instant::now();
        loop {
            let mut owned = Vec::new();
            for node in &self.processes {
                let (_, text) = self
                    .send_request(node.readiness_address, "GET", "/metrics", String::new())
                    .await;
                owned.push(usable_workers(&text));
            }
            if owned.iter().sum::<usize>() == self.workers.len() {
                return owned;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "not all workers have an owner: {owned:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a VM reports this state of a job.
    pub async fn wait_for_state(&self, index: usize, id: &str, state: &str) {
        let wanted = format!(r#"{{"state":"{state}"}}"#);
        let began = Instant::now();
        loop {
            let (_, body) = self.get_job(index, id).await;
            if body == wanted {
                return;
            }
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "job {id} is reported as {body}, expected {state}"
            );
            sleep(Duration::from_millis(30)).await;
        }
    }

    /// Waits until `is_met` returns true.
    pub async fn wait_until(&self, is_met: impl Fn(&Fleet) -> bool) {
        let began = Instant::now();
        while !is_met(self) {
            assert!(began.elapsed() < WAIT_TIMEOUT, "the condition was not met in time");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the VMs that read the log for others, by the last such line of their logs.
    pub fn readers(&self) -> Vec<usize> {
        self.vms_whose_last("event=reader_role", "reads_for_others=true")
    }

    /// Returns the VMs that read the states from another one, by the last such line of their logs.
    pub fn followers(&self) -> Vec<usize> {
        self.vms_whose_last("event=source_changed topic=states", "source=reader")
    }

    /// Returns the VMs that have kept the workers' records for an owner.
    pub fn keepers_of_workers(&self) -> Vec<usize> {
        self.vms_whose_last("event=workers_kept", "")
    }

    /// Makes the log reject the joins of a VM.
    pub fn refuse_joins(&self, index: usize) {
        self.log.refuse_joins(&self.processes[index].peer_address.to_string());
    }

    fn vms_whose_last(&self, event: &str, field: &str) -> Vec<usize> {
        let logs = self.processes.iter().map(Process::log_text).enumerate();
        let last = |log: &str| log.lines().rfind(|it| it.contains(event)).map(str::to_owned);
        logs.filter(|(_, log)| last(log).is_some_and(|it| it.contains(field)))
            .map(|(vm, _)| vm)
            .collect()
    }

    /// Writes the configuration `version`, and returns the time until all of `vms` have it in force.
    pub async fn time_until_configured(&self, vms: &[usize], version: u64) -> Duration {
        let began = Instant::now();
        self.configure(version, "/jobs/");
        let line = format!("event=configured version={version} ");
        let is_configured = |it: &Fleet| vms.iter().all(|vm| it.log_text_of(*vm).contains(&line));
        self.wait_until(is_configured).await;
        began.elapsed()
    }

    /// Waits until workers have begun `count` runs of `JOB_ID`.
    pub async fn wait_for_runs(&self, count: usize) {
        self.wait_until(|it| it.runs_of(JOB_ID).len() >= count).await;
    }

    pub fn set_fault_of_all_workers(&self, fault: WorkerFault) {
        self.workers.iter().for_each(|it| it.set_fault(fault));
    }

    /// Sets the fault of a worker that has begun a task of a job.
    pub fn set_fault_of_worker_running(&self, id: &str, fault: WorkerFault) {
        let runs = |it: &&Worker| it.started_runs().iter().any(|it| it.task.starts_with(id));
        self.workers.iter().find(runs).expect("a worker that runs it").set_fault(fault);
    }

    /// Returns the output of `daisyshift trace` for a request, from the logs of all processes.
    pub fn trace(&self, id: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisyshift"));
        command.args(["trace", "--id", id]);
        command.args(self.processes.iter().map(Process::log_path));
        let output = command.output().expect("the program that was built");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until the output of `daisyshift trace` contains `expected`, as lines are written with
    /// a delay.
    pub async fn wait_for_trace(&self, id: &str, expected: &str) -> String {
        let began = Instant::now();
        loop {
            let output = self.trace(id);
            if output.contains(expected) {
                return output;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "no {expected:?} in {output}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns all runs of a job that workers have begun.
    pub fn runs_of(&self, id: &str) -> Vec<StartedRun> {
        let started_runs = self.workers.iter().flat_map(Worker::started_runs);
        started_runs.filter(|it| it.task.starts_with(id)).collect()
    }

    /// Returns the number of runs of all jobs that workers have begun.
    pub fn total_run_count(&self) -> usize {
        self.workers.iter().map(|it| it.started_runs().len()).sum()
    }

    /// Checks that each of the `count` tasks of a job has run exactly once, to its end.
    pub fn assert_each_task_ran_once(&self, id: &str, count: usize) {
        let runs = self.runs_of(id);
        let mut tasks: Vec<_> = runs.iter().map(|it| it.task.clone()).collect();
        tasks.sort();
        tasks.dedup();
        assert_eq!((tasks.len(), runs.len()), (count, count));
        assert!(runs.iter().all(|it| it.done));
    }
}

/// Reads the next answer from a connection and returns its status; 0 if the connection broke.
async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut buf = vec![0; 1 << 14];
    match tokio::time::timeout(CALL_TIMEOUT, stream.read(&mut buf)).await {
        Ok(Ok(len)) => {
            let text = String::from_utf8_lossy(&buf[..len]);
            text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
        }
        _ => 0,
    }
}

/// Returns the number of workers, over all shards, that a process can give work to, from its
/// metrics.
fn usable_workers(metrics: &str) -> usize {
    let samples = metrics.lines().filter(|it| it.starts_with("daisyshift_usable_workers{"));
    samples.filter_map(|it| it.rsplit(' ').next()?.parse::<usize>().ok()).sum()
}
