//! Processes of `daisyshift node`, as the deploy file starts them, and calls to them.

use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::record::Recorder;

pub struct Node {
    pub name: String,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Option<Child>>>,
}

/// A loopback address for each node of each case, so that fixed ports are free.
fn node_address(index: usize) -> std::net::Ipv4Addr {
    let id = std::process::id();
    std::net::Ipv4Addr::new(127, 1 + (id >> 8) as u8 % 200, id as u8, 1 + index as u8)
}

const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const PEER_PORT: u16 = 7_720;

impl Node {
    pub fn start(
        root: &Path,
        folder: &Path,
        index: usize,
        store: SocketAddr,
    ) -> std::io::Result<Node> {
        let name = format!("front-z1-{index}");
        let ip = node_address(index);
        let (front, ready) = ((ip, FRONT_PORT).into(), (ip, READY_PORT).into());
        let (front, ready): (SocketAddr, SocketAddr) = (front, ready);
        // JSON is YAML too.
        let settings = json!({
            "node-name": name, "role": "entry", "machine-class": "front", "serves": ["front"],
            "ip": ip.to_string(), "zone": "z1", "region": "r1", "zones": { "z1": "r1" },
            "listen": { "front": front.to_string(), "ready": ready.to_string() },
            "port-range": [PEER_PORT, PEER_PORT + 15], "seeds": [], "bootstrap": true,
            "limits": { "cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100 },
            "control-mode": "push",
            "platform": {
                "address": store.to_string(), "form": "log", "writes-per-s": 600.0,
                "reads-per-s": 2000.0, "parts": 12, "append-ms": 2.0, "record-bytes": 262_144,
                "call-bytes": 2_097_152, "keep_s": 300, "part-mb": 200, "min-ttl-ms": 1000,
            },
            "bounds": {
                "max-hold-ms": 10_000, "stop-timeout-ms": 900, "early_ms": 250, "pace-ms": 100,
                "status_s": 120, "grace-s": 6, "visible_ms": 3_000,
            },
        });
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let mut node = Node {
            name,
            root: root.to_owned(),
            settings: path,
            log,
            front,
            ready,
            child: Arc::default(),
        };
        node.spawn()?;
        Ok(node)
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join("target/release/daisyshift"))
            .args(["node", "--policy", "deploy/policy.yaml"])
            .current_dir(&self.root)
            .env("DAISYSHIFT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child() = Some(child);
        Ok(())
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_up(&self) -> bool {
        self.child().is_some()
    }

    /// Whether the process has ended since the last call or was killed for its memory.
    pub fn has_ended(&mut self) -> bool {
        let mut child = self.child();
        let ended = child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)));
        if ended {
            *child = None;
        }
        ended
    }

    /// Kills the process, now and after each start, once its resident memory exceeds `limit` bytes,
    /// as the platform does; adds the memory that it had then to `most`.
    pub fn limit_memory(&self, limit: u64, most: Arc<Mutex<Vec<u64>>>) {
        let child = Arc::downgrade(&self.child);
        std::thread::spawn(move || {
            while let Some(child) = child.upgrade() {
                {
                    let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
                    let memory = child.as_ref().and_then(|it| memory_of(it.id()));
                    if memory.is_some_and(|it| it > limit)
                        && let Some(child) = child.as_mut()
                    {
                        let _ = child.kill();
                        let _ = child.wait();
                        let mut most = most.lock().unwrap_or_else(PoisonError::into_inner);
                        most.extend(memory);
                    }
                }
                drop(child);
                std::thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// All that the process has logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub async fn is_ready(&self, client: &Caller) -> bool {
        let got = client.call(Method::GET, self.ready, "/daisyshift/readiness", "").await;
        got.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The resident memory of a process in bytes; `None` once it has ended.
fn memory_of(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kb: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kb * 1_024)
}

/// A client.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    recorder: Recorder,
}

impl Caller {
    pub fn new(recorder: Recorder) -> Caller {
        Caller { client: Client::builder(TokioExecutor::new()).build_http(), recorder }
    }

    async fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("host", "shop.example")
            .header("content-type", "application/json")
            .header("x-daisyshift-deadline-ms", "3000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .ok()?;
        let exchange = async {
            let res = self.client.request(req).await.ok()?;
            let status = res.status().as_u16();
            let body = res.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&body).into_owned()))
        };
        timeout(Duration::from_millis(3_200), exchange).await.ok()?
    }

    /// Sends a client's request and records it with its answer.
    pub async fn send(
        &self,
        method: Method,
        node: &Node,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let got = self.call(method.clone(), node.front, path, body).await;
        let answer = match &got {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.recorder.note(format!("client: {method} {path} at {} -> {answer}", node.name));
        got
    }
}

/// Waits until `holds` returns true, for `limit` at most.
pub async fn wait_until(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds().await {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}
