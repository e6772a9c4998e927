//! A log, workers, and processes of `daisyshift node`.

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

use crate::process::Process;

/// Ids of jobs.
pub const JOB: &str = "00000000000000aa";
pub const OTHER: &str = "00000000000000bb";
/// How long anything may take to come about, with room for a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A job of one step of `count` tasks.
pub fn job_body(count: u32) -> String {
    json!({ "spec": "text", "steps": [{ "count": count, "cpu": 500, "mem-mb": 16,
        "est-runtime-ms": 400 }] })
    .to_string()
}

pub struct Fleet {
    pub log: Log,
    workers: Vec<Worker>,
    nodes: Vec<Process>,
    http: Http,
}

impl Fleet {
    /// A fleet that is ready for callers.
    pub async fn start(nodes: usize, workers: usize, work: Duration) -> Fleet {
        let log = Log::start().await.expect("a port of loopback");
        let mut fleet =
            Fleet { log, workers: Vec::new(), nodes: Vec::new(), http: Http::new(None) };
        fleet.configure(1, "/jobs/");
        for at in 0..workers {
            let id = format!("w{at}");
            let worker = Worker::start(&fleet.log, &id, "shop", 4, work).await;
            fleet.workers.push(worker.expect("a port of loopback"));
        }
        for at in 0..nodes {
            fleet.nodes.push(Process::start(at, fleet.log.address));
        }
        for at in 0..nodes {
            fleet.wait_ready(at).await;
        }
        fleet.owned().await;
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

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].kill();
    }

    /// Starts a process of the same VM again, with a log that goes into a pipe that nobody reads.
    pub async fn restart_unread(&mut self, at: usize) {
        self.nodes[at].restart_unread();
        self.wait_ready(at).await;
    }

    /// Starts a process of the same VM again.
    pub async fn restart(&mut self, at: usize) {
        self.nodes[at].restart();
        self.wait_ready(at).await;
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        self.nodes[at].signal(signal);
    }

    pub async fn wait_for_exit(&mut self, at: usize) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(code) = self.nodes[at].try_exit() {
                return code;
            }
            assert!(began.elapsed() < PATIENCE, "the process does not end");
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn call(&self, at: usize, method: &str, path: &str, body: String) -> (u16, String) {
        let address = self.nodes[at].callers;
        let (status, body) = self.ask(address, method, path, body).await;
        (status, body)
    }

    async fn ask(
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

    /// Sends a POST with a body of `parts`, a while after one another, on a connection of its own, and
    /// then a GET of `JOB` on the same; their statuses, 0 where the connection broke.
    pub async fn post_in_parts(&self, at: usize, path: &str, parts: &[String]) -> [u16; 2] {
        let mut stream = TcpStream::connect(self.nodes[at].callers).await.expect("a port");
        let length: usize = parts.iter().map(String::len).sum();
        let head = "HTTP/1.1\r\nhost: shop.example\r\n";
        let mut sent = format!("POST {path} {head}content-length: {length}\r\n\r\n");
        for part in parts {
            sent.push_str(part);
            // A connection that the other side has closed shows as one without an answer.
            let _ = stream.write_all(sent.as_bytes()).await;
            sent.clear();
            sleep(Duration::from_millis(200)).await;
        }
        let posted = read_status(&mut stream).await;
        let next = format!("GET /jobs/{JOB} {head}\r\n");
        let _ = stream.write_all(next.as_bytes()).await;
        [posted, read_status(&mut stream).await]
    }

    pub async fn post(&self, at: usize, id: &str, body: String) -> u16 {
        self.call(at, "POST", &format!("/jobs/{id}"), body).await.0
    }

    /// Submits a job of each of these ids, one every `gap`.
    pub async fn post_all(&self, at: usize, ids: &[String], gap: Duration) -> Vec<u16> {
        let post = async |(number, id): (usize, &String)| {
            sleep(gap * number as u32).await;
            self.post(at, id, job_body(1)).await
        };
        futures::future::join_all(ids.iter().enumerate().map(post)).await
    }

    /// Submits job number `number` after a while.
    pub async fn post_after(&self, at: usize, number: usize, after: Duration) -> u16 {
        sleep(after).await;
        self.post(at, &format!("{number:016x}"), job_body(1)).await
    }

    pub async fn get(&self, at: usize, id: &str) -> (u16, String) {
        self.call(at, "GET", &format!("/jobs/{id}"), String::new()).await
    }

    pub async fn ready(&self, at: usize) -> bool {
        let address = self.nodes[at].readiness;
        self.ask(address, "GET", "/daisyshift/readiness", String::new()).await.0 == 200
    }

    async fn wait_ready(&mut self, at: usize) {
        let began = Instant::now();
        while !self.ready(at).await {
            let ended = self.nodes[at].try_exit();
            let late = began.elapsed() > PATIENCE;
            if ended.is_some() || late {
                let log = self.nodes[at].log_text();
                panic!("process {at} is not ready, ended: {ended:?}, its log:\n{log}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Which process owns the workers, by its metrics.
    pub async fn owner(&self) -> usize {
        let began = Instant::now();
        loop {
            for (at, node) in self.nodes.iter().enumerate() {
                let (_, text) = self.ask(node.readiness, "GET", "/metrics", String::new()).await;
                if usable_workers(&text) == self.workers.len() {
                    return at;
                }
            }
            assert!(began.elapsed() < PATIENCE, "nobody owns the workers");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// How often any process became the owner of workers, by their logs.
    pub fn changes_of_owner(&self) -> usize {
        let owner = |it: &Process| it.log_text().matches("event=owner ").count();
        self.nodes.iter().map(owner).sum()
    }

    /// All that a process has logged.
    pub fn log_of(&self, at: usize) -> String {
        self.nodes[at].log_text()
    }

    /// What the process at `at` says of the claims before its own, by its log; the newest of them.
    pub fn is_settled(&self, at: usize) -> Option<bool> {
        let log = self.nodes[at].log_text();
        let owner = log.lines().rfind(|it| it.contains("event=owner "))?;
        Some(owner.contains("settled=true"))
    }

    /// How many workers each process can give work to, once each worker has an owner.
    pub async fn owned(&self) -> Vec<usize> {
        let began = Instant::now();
        loop {
            let mut owned = Vec::new();
            for node in &self.nodes {
                let (_, text) = self.ask(node.readiness, "GET", "/metrics", String::new()).await;
                owned.push(usable_workers(&text));
            }
            if owned.iter().sum::<usize>() == self.workers.len() {
                return owned;
            }
            assert!(began.elapsed() < PATIENCE, "not all workers have an owner: {owned:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn wait_for_state(&self, at: usize, id: &str, state: &str) {
        let wanted = format!(r#"{{"state":"{state}"}}"#);
        let began = Instant::now();
        loop {
            let (_, body) = self.get(at, id).await;
            if body == wanted {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "{id} is {body}, not {state}");
            sleep(Duration::from_millis(30)).await;
        }
    }

    pub async fn wait_until(&self, done: impl Fn(&Fleet) -> bool) {
        let began = Instant::now();
        while !done(self) {
            assert!(began.elapsed() < PATIENCE, "it does not come about");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn wait_for_runs(&self, count: usize) {
        self.wait_until(|it| it.runs_of(JOB).len() >= count).await;
    }

    pub fn set_workers(&self, fault: WorkerFault) {
        self.workers.iter().for_each(|it| it.set_fault(fault));
    }

    /// Sets what is wrong with the worker that runs a task of a job.
    pub fn set_worker_of(&self, id: &str, fault: WorkerFault) {
        let runs = |it: &&Worker| it.started_runs().iter().any(|it| it.task.starts_with(id));
        self.workers.iter().find(runs).expect("a worker that runs it").set_fault(fault);
    }

    /// What `daisyshift trace` says of a request from the logs of all processes.
    pub fn trace(&self, id: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisyshift"));
        command.args(["trace", "--id", id]);
        command.args(self.nodes.iter().map(Process::log));
        let output = command.output().expect("the program that was built");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// The same, once it says `words`: lines take a moment to be written.
    pub async fn wait_for_trace(&self, id: &str, words: &str) -> String {
        let began = Instant::now();
        loop {
            let said = self.trace(id);
            if said.contains(words) {
                return said;
            }
            assert!(began.elapsed() < PATIENCE, "no {words:?} in {said}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// All runs of a job that workers have begun.
    pub fn runs_of(&self, id: &str) -> Vec<StartedRun> {
        let started_runs = self.workers.iter().flat_map(Worker::started_runs);
        started_runs.filter(|it| it.task.starts_with(id)).collect()
    }

    /// Runs of all jobs that workers have begun.
    pub fn all_runs(&self) -> usize {
        self.workers.iter().map(|it| it.started_runs().len()).sum()
    }

    pub fn assert_each_task_ran_once(&self, id: &str, count: usize) {
        let runs = self.runs_of(id);
        let mut tasks: Vec<_> = runs.iter().map(|it| it.task.clone()).collect();
        tasks.sort();
        tasks.dedup();
        assert_eq!((tasks.len(), runs.len()), (count, count));
        assert!(runs.iter().all(|it| it.done));
    }
}

/// The status of the next answer on a connection, all of which is read; 0 if it broke.
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

/// Workers, over all shards, that a process can give work to, by its metrics.
fn usable_workers(metrics: &str) -> usize {
    let lines = metrics.lines().filter(|it| it.starts_with("daisyshift_usable_workers{"));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<usize>().ok()).sum()
}
