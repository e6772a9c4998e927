//! The components of the demo, which all run in this process and on loopback.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use daisy_entry::Entry;
use daisy_history::History;
use daisy_model::{DcId, Name, Resources, Vm, VmId, VmRole, VmStatus};
use daisy_settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing};
use daisy_standin::{
    Platform, Worker, backend,
    client::Client,
    platform,
    platform::VmChange,
    worker,
    worker::{JobBehaviour, WorkerOptions},
};
use daisy_wire::{headers, platform::VmJson};
use http::Request;
use http_body_util::Full;

use super::SERVICE_NAME;

/// The token of the demo's operator; it is valid in the demo only.
pub const TOKEN: &str = "demo-token-0123456789";

const DATA_CENTRES: [&str; 2] = ["porto", "lisbon"];
const ENTRY_VMS_PER_DC: u32 = 2;
const WORKERS_PER_DC: u32 = 3;
const FIRST_WORKER_ID: u32 = 100;
/// The job number of the service: the service is created first, so the ledger gives it number 0.
const SERVICE_JOB_ID: u32 = 0;
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The running platform, workers and entry VMs.
pub struct Fleet {
    platform: Platform,
    workers: Vec<Worker>,
    entries: Vec<(VmId, Entry)>,
    /// The addresses of all entry VMs for callers, the stopped one included: callers must notice
    /// themselves that it has stopped, as a load balancer does.
    caller_addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the platform, then the workers, then the entry VMs.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound or the platform rejects a VM.
    pub async fn start() -> anyhow::Result<Fleet> {
        let platform = Platform::start(platform::Options::default()).await?;
        let mut fleet = Fleet {
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            caller_addresses: Vec::new(),
        };
        for dc in 0..DATA_CENTRES.len() as u16 {
            for index in 0..WORKERS_PER_DC {
                fleet.add_worker(DcId(dc), index).await?;
            }
            for index in 0..ENTRY_VMS_PER_DC {
                fleet.add_entry(DcId(dc), index).await?;
            }
        }
        Ok(fleet)
    }

    /// Returns the operators' address of an entry VM that keeps running.
    pub fn operator_address(&self) -> SocketAddr {
        let (_, last) = self.entries.last().expect("the demo stops one entry VM of several");
        last.addresses().operators
    }

    /// Returns the addresses of all entry VMs for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.caller_addresses.clone()
    }

    /// Returns what the workers and their backend servers recorded.
    pub fn worker_history(&self) -> History {
        History::merge(self.workers.iter().map(Worker::history).collect())
    }

    /// Stops one entry VM as the platform does: the VM is listed as leaving, stops, and is removed
    /// from the list.
    ///
    /// # Errors
    ///
    /// If the platform rejects the change of its VM list.
    pub async fn stop_one_entry(&mut self) -> anyhow::Result<()> {
        let (vm, entry) = self.entries.remove(0);
        self.platform.change_vm(VmChange::Leave(vm.0))?;
        entry.stop().await;
        self.platform.change_vm(VmChange::Remove(vm.0))?;
        Ok(())
    }

    /// Stops everything.
    pub async fn stop(self) {
        let stops = self.entries.into_iter().map(|(_, entry)| tokio::spawn(entry.stop()));
        for stop in stops.collect::<Vec<_>>() {
            // The panic of a stop has already been reported by its task.
            let _ = stop.await;
        }
        for worker in self.workers {
            worker.stop().await;
        }
        self.platform.stop().await;
    }

    async fn add_worker(&mut self, dc: DcId, index: u32) -> anyhow::Result<()> {
        let id = FIRST_WORKER_ID + u32::from(dc.0) * WORKERS_PER_DC + index;
        let name = format!("worker-{id}");
        let service_behaviour = JobBehaviour {
            job: SERVICE_JOB_ID,
            run_ms: None,
            fails: false,
            service: Some(SERVICE_NAME.to_owned()),
        };
        let worker = WorkerOptions { jobs: vec![service_behaviour], ..WorkerOptions::default() };
        let capacity = worker.capacity;
        let backend_options =
            backend::Options { name: name.clone(), ..backend::Options::default() };
        let worker = Worker::start(worker::Options {
            name: name.clone(),
            worker,
            backend: Some(backend_options),
            ..worker::Options::default()
        })
        .await?;
        let vm = Vm {
            id: VmId(id),
            name: Name::new(&name)?,
            dc,
            rack: index as u16,
            role: VmRole::Worker,
            status: VmStatus::Live,
            control: worker.address(),
            backend: worker.backend_address(),
            capacity,
        };
        self.platform.change_vm(VmChange::Put(VmJson::from(&vm)))?;
        self.workers.push(worker);
        Ok(())
    }

    async fn add_entry(&mut self, dc: DcId, index: u32) -> anyhow::Result<()> {
        let id = VmId(u32::from(dc.0) * ENTRY_VMS_PER_DC + index + 1);
        let settings = settings(id, dc, self.platform.address())?;
        let name = settings.name.clone();
        let entry = daisy_entry::start(settings).await.context("starting an entry VM")?;
        let vm = Vm {
            id,
            name,
            dc,
            rack: index as u16,
            role: VmRole::Entry,
            status: VmStatus::Live,
            control: entry.addresses().peers,
            backend: None,
            capacity: Resources::ZERO,
        };
        self.platform.change_vm(VmChange::Put(VmJson::from(&vm)))?;
        self.caller_addresses.push(entry.addresses().callers);
        self.entries.push((id, entry));
        Ok(())
    }
}

fn settings(vm: VmId, dc: DcId, platform: SocketAddr) -> anyhow::Result<Settings> {
    let data_centres = DATA_CENTRES
        .iter()
        .map(|name| Ok(DataCentre { name: Name::new(name)?, region: Name::new(name)? }))
        .collect::<anyhow::Result<_>>()?;
    let operator = Operator { who: Name::new("demo")?, token: TOKEN.into() };
    Ok(Settings {
        name: Name::new(&format!("entry-{vm}"))?,
        vm,
        data_centre: dc,
        data_centres,
        callers_address: SocketAddr::from(ANY_PORT),
        peers_address: SocketAddr::from(ANY_PORT),
        operators_address: SocketAddr::from(ANY_PORT),
        platform,
        operator_tokens: vec![operator],
        allowed_peers: Vec::new(),
        log_level: LogLevel::Info,
        limits: Limits::default(),
        timing: Timing::default(),
    })
}

/// Returns whether an entry VM is ready and answers a request to `service`.
pub async fn answers_requests(entry: SocketAddr, service: &str) -> bool {
    let ready = Client::new().get(entry, "/readyz", PROBE_TIMEOUT).await;
    if !ready.is_ok_and(|answer| answer.status.is_success()) {
        return false;
    }
    let req = Request::builder()
        .uri(format!("http://{entry}/"))
        .header(headers::SERVICE, service)
        .body(Full::new(Bytes::new()));
    let Ok(req) = req else { return false };
    Client::new().send(req, PROBE_TIMEOUT).await.is_ok_and(|answer| answer.status.is_success())
}
