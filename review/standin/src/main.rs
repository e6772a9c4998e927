//! Plays a case of the review: stand-ins of the platform's store, of workers and of clients, round
//! processes of the system. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod http;
mod images;
mod inherited_start;
mod large_job;
mod late_start;
mod lost_end;
mod node;
mod record;
mod store;
mod unseen_restart;
mod worker;

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    node::Node,
    record::Recorder,
    store::Store,
    worker::{Work, Worker, Works},
};

const HOST: &str = "novo13.example";
/// The deadline of clients.
const CLIENT_DEADLINE: Duration = Duration::from_secs(3);
const ZONES: [(&str, &str); 3] =
    [("trois-rivieres", "mauricie"), ("sherbrooke", "estrie"), ("shawinigan", "mauricie")];

/// The verdict of a play.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// A small deployment with stand-ins round it.
pub struct Site {
    pub recorder: Recorder,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub works: Works,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    dir: PathBuf,
}

impl Site {
    async fn new(recorder: Recorder, dir: PathBuf) -> Site {
        let (store, store_address) = Store::start(recorder.clone()).await;
        Site {
            recorder,
            store,
            store_address,
            works: Arc::new(Mutex::new(HashMap::new())),
            workers: Vec::new(),
            nodes: Vec::new(),
            dir,
        }
    }

    /// Writes a configuration with three queues of one service, which differ by priority.
    pub fn configure(&self) {
        let queue = |name: &str, priority: i32, target_latency_ms: u32| {
            json!({ "name": name, "host": HOST, "path-prefix": format!("/{name}/"),
                "timeout-ms": 3_000, "target-latency-ms": target_latency_ms, "priority": priority,
                "service": "devis", "max-attempts": 4, "slack-factor": 2.0 })
        };
        let body = json!({
            "version": 3,
            "routes": [queue("quick", 0, 400), queue("full", 2, 1_000), queue("lasting", 0, 2_500)],
            "services": [{ "name": "devis", "max-conns": 64, "admission-control": false }],
            "limits": { "body-bytes": 262_144 },
        });
        self.store.write("keyed.op", "config", body.to_string().into_bytes());
    }

    pub async fn add_worker(&mut self, cores: u32, checkpoint_chars: usize) {
        let index = self.workers.len();
        let zone = ZONES[index % ZONES.len()].0;
        let (id, rack) =
            (format!("i-{:010x}", 0x7f3a_91c2u64 + index as u64 * 0x1_0101), index / 11);
        let rack = format!("r1-{rack}");
        let worker = Worker::start(
            &id,
            (zone, &rack),
            cores,
            checkpoint_chars,
            self.works.clone(),
            self.store.clone(),
            self.recorder.clone(),
        );
        let worker = worker.await;
        self.workers.push(worker);
    }

    pub fn start_nodes(&mut self, count: usize) {
        for index in 0..count {
            let (zone, region) = ZONES[index % ZONES.len()];
            let node = Node::start(index, zone, region, self.store_address, &self.dir);
            self.recorder.line(&format!("start {}", node.name));
            self.nodes.push(node);
        }
    }

    /// Waits until all processes are ready.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        for node in &self.nodes {
            loop {
                let path = "/daisyshift/readiness";
                let wait = Duration::from_secs(1);
                if http::request(node.ready, "GET", path, HOST, "", wait).await.0 == 200 {
                    break;
                }
                if began.elapsed() > limit {
                    return false;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Returns the clients, who know all processes.
    pub fn clients(&self) -> Clients {
        let fronts = self.nodes.iter().map(|it| (it.name.clone(), it.front)).collect();
        Clients { fronts, recorder: self.recorder.clone() }
    }

    /// Sends a client's request to a process.
    pub async fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        self.clients().ask(node, method, path, body).await
    }

    /// Hands a job of one step in; asks other processes as long as the outcome is unknown.
    pub async fn submit(
        &self,
        node: usize,
        queue: &str,
        id: &str,
        step: serde_json::Value,
        work: Work,
    ) -> bool {
        self.submit_steps(node, queue, id, &[step], work).await
    }

    pub async fn submit_steps(
        &self,
        node: usize,
        queue: &str,
        id: &str,
        steps: &[serde_json::Value],
        work: Work,
    ) -> bool {
        self.works.lock().unwrap().insert(id.to_owned(), work);
        let body = json!({ "spec": "carton", "steps": steps }).to_string();
        for attempt in 0..4 {
            let path = format!("/{queue}/{id}");
            match self.ask(node + attempt, "POST", &path, &body).await.0 {
                200..=299 => return true,
                0 | 502 | 504 => {}
                _ => sleep(Duration::from_millis(1_000)).await,
            }
        }
        false
    }

    /// Returns the state that a process shows of a job; empty if it does not tell.
    pub async fn state(&self, node: usize, queue: &str, id: &str) -> String {
        self.clients().state(node, queue, id).await
    }
}

/// Clients of the processes.
#[derive(Clone)]
pub struct Clients {
    fronts: Vec<(String, SocketAddr)>,
    recorder: Recorder,
}

impl Clients {
    async fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let (name, front) = &self.fronts[node % self.fronts.len()];
        let (status, answer) =
            http::request(*front, method, path, HOST, body, CLIENT_DEADLINE).await;
        let status_text = if status == 0 { "no answer".to_owned() } else { status.to_string() };
        self.recorder
            .line(&format!("client {method} {path} to {name} {body} -> {status_text} {answer}"));
        (status, answer)
    }

    pub async fn state(&self, node: usize, queue: &str, id: &str) -> String {
        let (status, answer) = self.ask(node, "GET", &format!("/{queue}/{id}"), "").await;
        let answer: serde_json::Value = serde_json::from_str(&answer).unwrap_or_default();
        match status {
            200 => answer["state"].as_str().unwrap_or_default().to_owned(),
            _ => String::new(),
        }
    }
}

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, dir] = &args[..] else {
        eprintln!("review-standin CASE RECORD DIRECTORY");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let recorder = Recorder::new(record);
    recorder.line(&format!("case={case} trouble={}", u8::from(trouble)));
    let mut site = Site::new(recorder.clone(), PathBuf::from(dir)).await;
    let play = async {
        match case.as_str() {
            "large-job" => large_job::play(&mut site, trouble).await,
            "late-start" => late_start::play(&mut site, trouble).await,
            "inherited-start" => inherited_start::play(&mut site, trouble).await,
            "lost-end" => lost_end::play(&mut site, trouble).await,
            "images" => images::play(&mut site, trouble).await,
            "unseen-restart" => unseen_restart::play(&mut site, trouble).await,
            other => Verdict::CouldNotRun(format!("no case {other}")),
        }
    };
    let mut term = signal(SignalKind::terminate()).expect("a handler of SIGTERM");
    let verdict = tokio::select! {
        it = play => it,
        _ = term.recv() => Verdict::CouldNotRun("stopped".to_owned()),
        () = sleep(Duration::from_secs(115)) => Verdict::CouldNotRun("took too long".to_owned()),
    };
    // Ends the processes.
    drop(site);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    recorder.line(&text);
    println!("{text}");
    std::process::exit(code);
}
