//! Entry VMs as processes, without workers, and the platform in this one.

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

use crate::node::{binary, proc::Usage};

/// Ports for callers, peers and operators, at an IP number of each entry VM's own.
const PORTS: [u16; 3] = [7_001, 7_002, 7_003];
const TOKEN: &str = "measure-token-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(200);

/// How many entry VMs there are, and in how many data centres; half of these in each region.
#[derive(Debug)]
pub struct Plan {
    /// Entry VMs.
    pub entries: u32,
    /// Data centres.
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
    pub processor: Duration,
}

#[derive(Debug)]
struct Entry {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Drop for Entry {
    /// A measurement that fails leaves no process behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The running entry VMs.
#[derive(Debug)]
pub struct Fleet {
    platform: Platform,
    entries: Vec<Entry>,
    client: Client,
    dir: PathBuf,
}

impl Fleet {
    /// Starts the platform and all entry VMs.
    ///
    /// # Errors
    ///
    /// If the binary is missing or a part does not start.
    pub async fn start(plan: &Plan) -> anyhow::Result<Fleet> {
        let platform = Platform::start(platform::Options::default()).await?;
        let dir = std::env::temp_dir().join(format!("daisy-peers-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let mut fleet = Fleet { platform, entries: Vec::new(), client: Client::new(), dir };
        for at in 0..plan.entries {
            fleet.start_entry(plan, at)?;
        }
        Ok(fleet)
    }

    /// Waits until every entry VM takes callers and knows a holder.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            while !self.is_ready(entry).await {
                if Instant::now() > deadline {
                    bail!("{} is not ready after {START_TIMEOUT:?}", entry.operators);
                }
                sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// What every entry VM has used so far.
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
                sent: metric(&text, "sent")?,
                received: metric(&text, "received")?,
                processor: Usage::of(entry.child.id())?.processor,
            });
        }
        Ok(samples)
    }

    /// Makes `rate` changes a second for `time`, at the last entry VM.
    ///
    /// # Errors
    ///
    /// If one of them is not accepted.
    pub async fn change(&self, rate: u64, time: Duration) -> anyhow::Result<()> {
        let began = Instant::now();
        let mut made = 0;
        while began.elapsed() < time {
            if made < rate * began.elapsed().as_secs() {
                made += 1;
                self.say(&format!("quota team measure cpu {made} memory 1Gi")).await?;
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Makes one more change, and tells how long it takes until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn time_until_in_force(&self) -> anyhow::Result<Duration> {
        let began = SystemTime::now().duration_since(UNIX_EPOCH)?;
        self.say("pause priority low").await?;
        let last = self.entries.last().context("no entry VM")?;
        let wanted = self.status(last).await?["generation"].as_u64();
        let deadline = Instant::now() + START_TIMEOUT;
        let mut latest = Duration::ZERO;
        for entry in &self.entries {
            let mut status = self.status(entry).await?;
            while status["generation"].as_u64() < wanted {
                anyhow::ensure!(Instant::now() < deadline, "not in force: {status}");
                sleep(POLL).await;
                status = self.status(entry).await?;
            }
            let since = status["config_since_ms"].as_u64().unwrap_or_default();
            latest = latest.max(Duration::from_millis(since).saturating_sub(began));
        }
        Ok(latest)
    }

    /// Ends the processes and the platform.
    pub async fn stop(mut self) {
        self.entries.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
        self.platform.stop().await;
    }

    async fn say(&self, text: &str) -> anyhow::Result<()> {
        let last = self.entries.last().context("no entry VM")?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/statements", last.operators))
            .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
            .body(Full::new(Bytes::copy_from_slice(text.as_bytes())))?;
        let answer = self.client.send(req, CALL_TIMEOUT).await?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        anyhow::ensure!(answer.status.is_success(), "not accepted: {body}");
        Ok(())
    }

    async fn status(&self, entry: &Entry) -> anyhow::Result<Value> {
        let answer = self.client.get(entry.operators, "/v1/status", CALL_TIMEOUT).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    async fn is_ready(&self, entry: &Entry) -> bool {
        let status = self.status(entry).await;
        status.is_ok_and(|it| it["ready"] == true && it["holder"].is_u64())
    }

    fn start_entry(&mut self, plan: &Plan, at: u32) -> anyhow::Result<()> {
        let [callers, peers, operators] = PORTS.map(|port| address(at, port));
        let dc = at % plan.dcs;
        let path = self.dir.join(format!("entry-{at}.yaml"));
        let own = [callers, peers, operators];
        std::fs::write(&path, settings(plan, at, self.platform.address(), own))?;
        let child = Command::new(binary()?)
            .args([Path::new("entry"), Path::new("--settings"), &path])
            .spawn()
            .context("starting an entry VM")?;
        self.entries.push(Entry { child, callers, operators });
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

/// An address at the IP number of entry VM `at`: a free port of a shared one could be taken by
/// another process before the entry VM listens there.
fn address(at: u32, port: u16) -> SocketAddr {
    let run = (std::process::id() % 200) as u8 + 50;
    SocketAddr::from(([127, run, 0, at as u8 + 1], port))
}

fn settings(plan: &Plan, at: u32, platform: SocketAddr, own: [SocketAddr; 3]) -> String {
    let [callers, peers, operators] = own;
    let dcs = (0..plan.dcs).map(|dc| {
        let region = if dc < plan.dcs.div_ceil(2) { "north" } else { "south" };
        format!("{{name: dc-{dc}, region: {region}}}")
    });
    let dcs = dcs.collect::<Vec<String>>().join(", ");
    let (vm, dc) = (at + 1, at % plan.dcs);
    format!(
        "name: entry-{vm}\nvm: {vm}\ndata_centre: dc-{dc}\ndata_centres: [{dcs}]\n\
         callers: {callers}\npeers: {peers}\noperators: {operators}\nplatform: {platform}\n\
         operator_tokens: [{{who: measure, token: {TOKEN}}}]\nlog_level: error\n"
    )
}

/// The bytes exchanged in one direction.
fn metric(text: &str, direction: &str) -> anyhow::Result<u64> {
    let name = format!("daisy_peer_exchange_bytes_total{{direction=\"{direction}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    Ok(value.with_context(|| format!("no metric {name}"))?.parse()?)
}
