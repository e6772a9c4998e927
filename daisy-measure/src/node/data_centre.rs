//! One data centre: two entry VMs as processes, with the platform and the workers in this process.

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

const ENTRY_COUNT: usize = 2;
const FIRST_WORKER: u32 = 100;
const WORKERS_PER_RACK: u32 = 11;
const OPERATOR_TOKEN: &str = "measure-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of the long-running job: it is created first, so the ledger numbers it 0.
const LONG_RUNNING_JOB: u32 = 0;
const SHORT_TASK_RUN_TIME: Duration = Duration::from_secs(2);
/// Capacity of one of the users' larger workers, so that every task fits.
const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mib: 250 << 10, accelerators: 2 };

/// The size of the data centre.
#[derive(Debug)]
pub struct DataCentreSize {
    /// Number of workers.
    pub workers: u32,
    /// Number of long-running tasks.
    pub tasks: u32,
}

/// The process of one entry VM.
struct EntryProcess {
    child: Child,
    operator_address: SocketAddr,
    /// Its traffic with the platform.
    platform_traffic: Arc<Counter>,
}

impl Drop for EntryProcess {
    /// Ends the process, also when a measurement ends early.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running data centre.
pub struct DataCentre {
    platform: Platform,
    workers: Vec<Worker>,
    entries: Vec<EntryProcess>,
    /// The holder's traffic with all workers; no other VM calls them.
    worker_traffic: Arc<Counter>,
    /// The traffic between the two entry VMs.
    peer_traffic: Arc<Counter>,
    client: Client,
    dir: PathBuf,
}

impl DataCentre {
    /// Starts all parts and creates the long-running job.
    ///
    /// # Errors
    ///
    /// If the binary is missing or a part does not start.
    pub async fn start(size: &DataCentreSize) -> anyhow::Result<DataCentre> {
        let platform = Platform::start(platform::Options::default()).await?;
        let dir = std::env::temp_dir().join(format!("daisy-measure-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let client = Client::new();
        let mut data_centre = DataCentre {
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            worker_traffic: Arc::default(),
            peer_traffic: Arc::default(),
            client,
            dir,
        };
        data_centre.start_workers(size.workers).await?;
        data_centre.start_entries().await?;
        let long_running = format!(
            "quota team measure cpu 100000 memory 100000Gi accelerators 1000;\n\
             create job long team measure tasks {} cpu 500m memory 512Mi may delay, evict",
            size.tasks
        );
        data_centre.submit_statements(&long_running).await?;
        Ok(data_centre)
    }

    /// Returns the process id of entry VM `at`.
    pub fn pid(&self, at: usize) -> u32 {
        self.entries[at].child.id()
    }

    /// Returns the traffic of entry VM `at` so far, with that of calls to workers if it is the `holder`.
    pub fn traffic(&self, at: usize, holder: usize) -> Traffic {
        let mut traffic = self.entries[at].platform_traffic.traffic() + self.peer_traffic.traffic();
        if at == holder {
            traffic = traffic + self.worker_traffic.traffic();
        }
        traffic
    }

    /// Returns the position of the entry VM that holds the data centre.
    ///
    /// # Errors
    ///
    /// If no entry VM holds it, or one does not answer.
    pub async fn holder(&self) -> anyhow::Result<usize> {
        for (at, entry) in self.entries.iter().enumerate() {
            let answer =
                self.client.get(entry.operator_address, "/v1/status", CALL_TIMEOUT).await?;
            let status: Value = serde_json::from_slice(&answer.body)?;
            if status["role"] == "holder" {
                return Ok(at);
            }
        }
        bail!("no entry VM holds the data centre")
    }

    /// Waits until `tasks` tasks are running.
    ///
    /// # Errors
    ///
    /// If they are not running after [`START_TIMEOUT`].
    pub async fn wait_until_running(&self, tasks: u32) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let running: usize = self.workers.iter().map(Worker::running).sum();
            if running >= tasks as usize {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("only {running} of {tasks} tasks are running after {START_TIMEOUT:?}");
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Creates a job of short tasks, which the holder starts as fast as it can.
    ///
    /// # Errors
    ///
    /// If the statement is not accepted.
    pub async fn create_short_job(&self, tasks: u32) -> anyhow::Result<()> {
        let text = format!(
            "create job short team measure tasks {tasks} cpu 500m memory 256Mi may delay, evict"
        );
        self.submit_statements(&text).await
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

    async fn submit_statements(&self, statements: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let req = Request::builder()
                .method(Method::POST)
                .uri(format!("http://{}/v1/statements", self.entries[0].operator_address))
                .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
                .body(Full::new(Bytes::copy_from_slice(statements.as_bytes())))?;
            let cause = match self.client.send(req, CALL_TIMEOUT).await {
                Ok(answer) if answer.status.is_success() => return Ok(()),
                Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
                Err(e) => e.to_string(),
            };
            if Instant::now() > deadline {
                bail!("the statements were not accepted in time: {cause}");
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn start_workers(&mut self, workers: u32) -> anyhow::Result<()> {
        for at in 0..workers {
            let long_running =
                JobBehaviour { job: LONG_RUNNING_JOB, run_ms: None, fails: false, service: None };
            let worker = WorkerOptions {
                capacity: WORKER_CAPACITY,
                run_time: Some(SHORT_TASK_RUN_TIME),
                jobs: vec![long_running],
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
            let control = relay::start(worker.address(), self.worker_traffic.clone()).await?;
            let vm = vm_json(FIRST_WORKER + at as u32, RoleJson::Worker, control);
            self.platform.change_vm(VmChange::Put(vm))?;
        }
        for at in 0..ENTRY_COUNT {
            let counter = Arc::new(Counter::default());
            let platform = relay::start(self.platform.address(), counter.clone()).await?;
            let [callers, peers, operator_address] = [free_port()?, free_port()?, free_port()?];
            let path = self.dir.join(format!("entry-{at}.yaml"));
            std::fs::write(&path, settings(at, platform, [callers, peers, operator_address]))?;
            let child = Command::new(daisyshift_binary()?)
                .args([Path::new("entry"), Path::new("--settings"), &path])
                .spawn()
                .context("starting the process of an entry VM")?;
            self.entries.push(EntryProcess { child, operator_address, platform_traffic: counter });
            let peers = relay::start(peers, self.peer_traffic.clone()).await?;
            let vm = vm_json(at as u32 + 1, RoleJson::Entry, peers);
            self.platform.change_vm(VmChange::Put(vm))?;
        }
        Ok(())
    }
}

/// Returns the path of the `daisyshift` binary in the folder of this one.
///
/// # Errors
///
/// If there is none.
pub(crate) fn daisyshift_binary() -> anyhow::Result<PathBuf> {
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
    let [callers, peers, operator_address] = own;
    let vm = at + 1;
    format!(
        "name: entry-{vm}\nvm: {vm}\ndata_centre: porto\n\
         data_centres: [{{name: porto, region: north}}]\n\
         callers: {callers}\npeers: {peers}\noperators: {operator_address}\nplatform: {platform}\n\
         operator_tokens: [{{who: measure, token: {OPERATOR_TOKEN}}}]\nlog_level: error\n"
    )
}

fn vm_json(id: u32, role: RoleJson, control: SocketAddr) -> VmJson {
    VmJson {
        id,
        name: format!("vm-{id}"),
        dc: 0,
        rack: (id / WORKERS_PER_RACK) as u16,
        role,
        status: StatusJson::Live,
        control,
        backend: None,
        capacity: WORKER_CAPACITY.into(),
    }
}
