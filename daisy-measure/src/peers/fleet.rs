//! Entry VMs as processes, without workers, with the platform in this process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, bail};
use bytes::Bytes;
use daisy_standin::{
    Platform,
    client::Client,
    platform::{self, VmChange},
};
use daisy_wire::platform::{ResourcesJson, RoleJson, StatusJson, VmJson};
use http::{Method, Request, header};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::node::{daisyshift_binary, proc::Usage};

/// Ports for callers, peers and operators; each entry VM has an IP address of its own.
const ENTRY_PORTS: [u16; 3] = [7_001, 7_002, 7_003];
const OPERATOR_TOKEN: &str = "measure-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of entry VMs and of their data centres, of which half are in each region.
#[derive(Debug)]
pub struct FleetSize {
    /// Number of entry VMs.
    pub entries: u32,
    /// Number of data centres.
    pub dcs: u32,
}

/// What an entry VM has used so far.
#[derive(Debug)]
pub struct Sample {
    /// Bytes sent to other entry VMs.
    pub sent: u64,
    /// Bytes received from other entry VMs.
    pub received: u64,
    /// Processor time.
    pub processor_time: Duration,
}

/// The process of one entry VM.
#[derive(Debug)]
struct EntryProcess {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Drop for EntryProcess {
    /// Ends the process, also when a measurement fails.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The running entry VMs.
#[derive(Debug)]
pub struct EntryFleet {
    platform: Platform,
    entries: Vec<EntryProcess>,
    client: Client,
    dir: PathBuf,
}

impl EntryFleet {
    /// Starts the platform and all entry VMs.
    ///
    /// # Errors
    ///
    /// If the binary is missing or a part does not start.
    pub async fn start(size: &FleetSize) -> anyhow::Result<EntryFleet> {
        let platform = Platform::start(platform::Options::default()).await?;
        let dir = std::env::temp_dir().join(format!("daisy-peers-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let mut fleet = EntryFleet { platform, entries: Vec::new(), client: Client::new(), dir };
        for at in 0..size.entries {
            fleet.start_entry(size, at)?;
        }
        Ok(fleet)
    }

    /// Waits until every entry VM accepts callers and knows a holder.
    ///
    /// # Errors
    ///
    /// If that takes longer than [`START_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            while !self.is_ready(entry).await {
                if Instant::now() > deadline {
                    bail!("{} is not ready after {START_TIMEOUT:?}", entry.operators);
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns what each entry VM has used so far.
    ///
    /// # Errors
    ///
    /// If one of them does not answer.
    pub async fn samples(&self) -> anyhow::Result<Vec<Sample>> {
        let mut samples = Vec::new();
        for entry in &self.entries {
            let answer = self.client.get(entry.callers, "/metrics", CALL_TIMEOUT).await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            samples.push(Sample {
                sent: exchange_bytes(&text, "sent")?,
                received: exchange_bytes(&text, "received")?,
                processor_time: Usage::of(entry.child.id())?.processor_time,
            });
        }
        Ok(samples)
    }

    /// Makes `per_second` changes a second for `time` at the last entry VM.
    ///
    /// # Errors
    ///
    /// If one of them is not accepted.
    pub async fn make_changes(&self, per_second: u64, time: Duration) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let mut changes_made = 0;
        while started_at.elapsed() < time {
            if changes_made < per_second * started_at.elapsed().as_secs() {
                changes_made += 1;
                self.submit_statement(&format!("quota team measure cpu {changes_made} memory 1Gi"))
                    .await?;
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Makes one more change and returns the time until it is in force at every entry VM.
    ///
    /// # Errors
    ///
    /// If the change is not accepted, or is not in force after [`START_TIMEOUT`].
    pub async fn measure_time_until_in_force(&self) -> anyhow::Result<Duration> {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH)?;
        self.submit_statement("pause priority low").await?;
        let last = self.entries.last().context("no entry VM")?;
        let wanted_generation = self.status(last).await?["generation"].as_u64();
        let deadline = Instant::now() + START_TIMEOUT;
        let mut latest = Duration::ZERO;
        for entry in &self.entries {
            let mut status = self.status(entry).await?;
            while status["generation"].as_u64() < wanted_generation {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "the change is not in force in time: {status}"
                );
                sleep(POLL_INTERVAL).await;
                status = self.status(entry).await?;
            }
            let since = status["config_since_ms"].as_u64().unwrap_or_default();
            latest = latest.max(Duration::from_millis(since).saturating_sub(started_at));
        }
        Ok(latest)
    }

    /// Ends the processes and the platform.
    pub async fn stop(mut self) {
        self.entries.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
        self.platform.stop().await;
    }

    async fn submit_statement(&self, text: &str) -> anyhow::Result<()> {
        let last = self.entries.last().context("no entry VM")?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/statements", last.operators))
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(text.as_bytes())))?;
        let answer = self.client.send(req, CALL_TIMEOUT).await?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(answer.status.is_success(), "the statement was not accepted: {body}");
        Ok(())
    }

    async fn status(&self, entry: &EntryProcess) -> anyhow::Result<Value> {
        let answer = self.client.get(entry.operators, "/v1/status", CALL_TIMEOUT).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    async fn is_ready(&self, entry: &EntryProcess) -> bool {
        let status = self.status(entry).await;
        status.is_ok_and(|it| it["ready"] == true && it["holder"].is_u64())
    }

    fn start_entry(&mut self, size: &FleetSize, at: u32) -> anyhow::Result<()> {
        let [callers, peers, operators] = ENTRY_PORTS.map(|port| address(at, port));
        let dc = at % size.dcs;
        let path = self.dir.join(format!("entry-{at}.yaml"));
        let own = [callers, peers, operators];
        std::fs::write(&path, settings(size, at, self.platform.address(), own))?;
        let child = Command::new(daisyshift_binary()?)
            .args([Path::new("entry"), Path::new("--settings"), &path])
            .spawn()
            .context("starting the process of an entry VM")?;
        self.entries.push(EntryProcess { child, callers, operators });
        let vm = VmJson {
            id: at + 1,
            name: format!("vm-{}", at + 1),
            dc: dc as u16,
            rack: 0,
            role: RoleJson::Entry,
            status: StatusJson::Live,
            control: peers,
            backend: None,
            capacity: ResourcesJson::default(),
        };
        Ok(self.platform.change_vm(VmChange::Put(vm))?)
    }
}

/// Returns an address of entry VM `at`, which has an IP address of its own. On a shared IP address,
/// another process could take a free port before the entry VM listens there.
fn address(at: u32, port: u16) -> SocketAddr {
    let run = (std::process::id() % 200) as u8 + 50;
    SocketAddr::from(([127, run, 0, at as u8 + 1], port))
}

fn settings(size: &FleetSize, at: u32, platform: SocketAddr, own: [SocketAddr; 3]) -> String {
    let [callers, peers, operators] = own;
    let dcs = (0..size.dcs).map(|dc| {
        let region = if dc < size.dcs.div_ceil(2) { "north" } else { "south" };
        format!("{{name: dc-{dc}, region: {region}}}")
    });
    let dcs = dcs.collect::<Vec<String>>().join(", ");
    let (vm, dc) = (at + 1, at % size.dcs);
    format!(
        "name: entry-{vm}\nvm: {vm}\ndata_centre: dc-{dc}\ndata_centres: [{dcs}]\n\
         callers: {callers}\npeers: {peers}\noperators: {operators}\nplatform: {platform}\n\
         operator_tokens: [{{who: measure, token: {OPERATOR_TOKEN}}}]\nlog_level: error\n"
    )
}

/// Returns the bytes exchanged with peers in one direction, from the text of the metrics.
fn exchange_bytes(text: &str, direction: &str) -> anyhow::Result<u64> {
    let name = format!("daisy_peer_exchange_bytes_total{{direction=\"{direction}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    Ok(value.with_context(|| format!("no metric {name}"))?.parse()?)
}
