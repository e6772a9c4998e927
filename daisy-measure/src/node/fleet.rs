//! One data centre: two entry VMs as processes, the platform and the workers in this one.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, bail};
use bytes::Bytes;
use daisy_model::Resources;
use daisy_standin::{
    Platform, Worker,
    client::Client,
    platform::{self, VmChange},
    worker::{self, JobBehaviour, WorkerOptions},
};
use daisy_wire::platform::{RoleJson, StatusJson, VmJson};
use http::{Method, Request, header};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::relay::{self, Counter, Traffic};

const ENTRIES: usize = 2;
const FIRST_WORKER: u32 = 100;
const WORKERS_A_RACK: u32 = 11;
const TOKEN: &str = "measure-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(200);
/// The long-running job is created first, so the ledger numbers it 0.
const LONG_JOB: u32 = 0;
const SHORT_TASK: Duration = Duration::from_secs(2);
/// One of the users' larger workers, so that every task fits.
const CAPACITY: Resources = Resources { cpu_milli: 64_000, memory_mib: 250 << 10, accelerators: 2 };

/// How large the data centre is.
#[derive(Debug)]
pub struct Plan {
    /// Workers.
    pub workers: u32,
    /// Tasks that run all the time.
    pub tasks: u32,
}

/// One entry VM's process.
struct Entry {
    child: Child,
    operators: SocketAddr,
    /// Its exchange with the platform.
    platform: Arc<Counter>,
}

impl Drop for Entry {
    /// A measurement that ends early must not leave its processes behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The running data centre.
pub struct Fleet {
    platform: Platform,
    workers: Vec<Worker>,
    entries: Vec<Entry>,
    /// The holder's exchange with all workers; nobody else calls them.
    calls: Arc<Counter>,
    /// The exchange of the two entry VMs with one another.
    peers: Arc<Counter>,
    client: Client,
    dir: PathBuf,
}

impl Fleet {
    /// Starts everything and creates the job that runs all the time.
    ///
    /// # Errors
    ///
    /// If the binary is missing or a part does not start.
    pub async fn start(plan: &Plan) -> anyhow::Result<Fleet> {
        let platform = Platform::start(platform::Options::default()).await?;
        let dir = std::env::temp_dir().join(format!("daisy-measure-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let client = Client::new();
        let mut fleet = Fleet {
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            calls: Arc::default(),
            peers: Arc::default(),
            client,
            dir,
        };
        fleet.start_workers(plan.workers).await?;
        fleet.start_entries().await?;
        let long = format!(
            "quota team measure cpu 100000 memory 100000Gi accelerators 1000;\n\
             create job long team measure tasks {} cpu 500m memory 512Mi may delay, evict",
            plan.tasks
        );
        fleet.declare(&long).await?;
        Ok(fleet)
    }

    /// The process of entry VM `at`.
    pub fn pid(&self, at: usize) -> u32 {
        self.entries[at].child.id()
    }

    /// Bytes of entry VM `at` so far, with those of the workers' calls if it is the `holder`.
    pub fn traffic(&self, at: usize, holder: usize) -> Traffic {
        let mut traffic = self.entries[at].platform.traffic() + self.peers.traffic();
        if at == holder {
            traffic = traffic + self.calls.traffic();
        }
        traffic
    }

    /// The position of the entry VM that holds the data centre.
    ///
    /// # Errors
    ///
    /// If none does.
    pub async fn holder(&self) -> anyhow::Result<usize> {
        for (at, entry) in self.entries.iter().enumerate() {
            let answer = self.client.get(entry.operators, "/v1/status", CALL_TIMEOUT).await?;
            let status: Value = serde_json::from_slice(&answer.body)?;
            if status["role"] == "holder" {
                return Ok(at);
            }
        }
        bail!("no entry VM holds the data centre")
    }

    /// Waits until `tasks` tasks have been started.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn wait_until_running(&self, tasks: u32) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let running: usize = self.workers.iter().map(Worker::running).sum();
            if running >= tasks as usize {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("{running} of {tasks} tasks run after {START_TIMEOUT:?}");
            }
            sleep(POLL).await;
        }
    }

    /// Creates a job of short tasks, started as fast as the holder can.
    ///
    /// # Errors
    ///
    /// If the statement is not accepted.
    pub async fn create_short_tasks(&self, tasks: u32) -> anyhow::Result<()> {
        let text = format!(
            "create job short team measure tasks {tasks} cpu 500m memory 256Mi may delay, evict"
        );
        self.declare(&text).await
    }

    /// Ends the processes and stops the stand-ins.
    pub async fn stop(self) {
        drop(self.entries);
        for worker in self.workers {
            worker.stop().await;
        }
        self.platform.stop().await;
        let _ = std::fs::remove_dir_all(&self.dir);
    }

    async fn declare(&self, statements: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let req = Request::builder()
                .method(Method::POST)
                .uri(format!("http://{}/v1/statements", self.entries[0].operators))
                .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
                .body(Full::new(Bytes::copy_from_slice(statements.as_bytes())))?;
            let cause = match self.client.send(req, CALL_TIMEOUT).await {
                Ok(answer) if answer.status.is_success() => return Ok(()),
                Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
                Err(e) => e.to_string(),
            };
            if Instant::now() > deadline {
                bail!("not accepted: {cause}");
            }
            sleep(POLL).await;
        }
    }

    async fn start_workers(&mut self, workers: u32) -> anyhow::Result<()> {
        for at in 0..workers {
            let long = JobBehaviour { job: LONG_JOB, run_ms: None, fails: false, service: None };
            let worker = WorkerOptions {
                capacity: CAPACITY,
                run_time: Some(SHORT_TASK),
                jobs: vec![long],
                ..WorkerOptions::default()
            };
            let name = format!("worker-{at}");
            let options =
                worker::Options { name, worker, backend: None, ..worker::Options::default() };
            self.workers.push(Worker::start(options).await?);
        }
        Ok(())
    }

    async fn start_entries(&mut self) -> anyhow::Result<()> {
        for (at, worker) in self.workers.iter().enumerate() {
            let control = relay::start(worker.address(), self.calls.clone()).await?;
            let vm = vm_json(FIRST_WORKER + at as u32, RoleJson::Worker, control);
            self.platform.change_vm(VmChange::Put(vm))?;
        }
        for at in 0..ENTRIES {
            let counter = Arc::new(Counter::default());
            let platform = relay::start(self.platform.address(), counter.clone()).await?;
            let [callers, peers, operators] = [free_port()?, free_port()?, free_port()?];
            let path = self.dir.join(format!("entry-{at}.yaml"));
            std::fs::write(&path, settings(at, platform, [callers, peers, operators]))?;
            let child = Command::new(binary()?)
                .args([Path::new("entry"), Path::new("--settings"), &path])
                .spawn()
                .context("starting an entry VM")?;
            self.entries.push(Entry { child, operators, platform: counter });
            let peers = relay::start(peers, self.peers.clone()).await?;
            let vm = vm_json(at as u32 + 1, RoleJson::Entry, peers);
            self.platform.change_vm(VmChange::Put(vm))?;
        }
        Ok(())
    }
}

/// The release binary beside this one.
pub(crate) fn binary() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("daisyshift");
    if !path.exists() {
        bail!("{} is missing: run `cargo build --release` first", path.display());
    }
    Ok(path)
}

fn free_port() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?)
}

fn settings(at: usize, platform: SocketAddr, own: [SocketAddr; 3]) -> String {
    let [callers, peers, operators] = own;
    let vm = at + 1;
    format!(
        "name: entry-{vm}\nvm: {vm}\ndata_centre: porto\n\
         data_centres: [{{name: porto, region: north}}]\n\
         callers: {callers}\npeers: {peers}\noperators: {operators}\nplatform: {platform}\n\
         operator_tokens: [{{who: measure, token: {TOKEN}}}]\nlog_level: error\n"
    )
}

fn vm_json(id: u32, role: RoleJson, control: SocketAddr) -> VmJson {
    VmJson {
        id,
        name: format!("vm-{id}"),
        dc: 0,
        rack: (id / WORKERS_A_RACK) as u16,
        role,
        status: StatusJson::Live,
        control,
        backend: None,
        capacity: CAPACITY.into(),
    }
}
