//! A small cluster in one process: the platform, workers and entry VMs on loopback.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_entry::{Entry, start};
use daisy_model::{DcId, Name, VmId};
use daisy_settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing};
use daisy_standin::{
    Platform, Worker,
    client::{Answer, Client},
    platform::{self, VmChange},
    worker::{self, WorkerOptions},
};
use daisy_wire::{
    headers,
    platform::{ResourcesJson, RoleJson, StatusJson, VmJson},
};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;

/// The token of the fixture's only operator.
pub const TOKEN: &str = "0123456789abcdef";
/// The time limit of each wait in a test; far above the time that it takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The platform, and the workers and client that use it.
pub struct Cluster {
    pub platform: Platform,
    pub workers: Vec<Worker>,
    pub client: Client,
}

/// Starts a platform without VMs, whose list does not lag.
pub async fn cluster() -> Cluster {
    cluster_with_options(platform::Options::default()).await
}

/// Starts such a platform with other options.
pub async fn cluster_with_options(options: platform::Options) -> Cluster {
    let options = platform::Options { vm_lag: Duration::ZERO, ..options };
    let platform = Platform::start(options).await.expect("loopback has free ports");
    Cluster { platform, workers: Vec::new(), client: Client::new() }
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("tests use valid names")
}

/// Returns settings of the entry VM `vm` in the data centre `dc` of two, each in its own region.
pub fn settings(platform: SocketAddr, vm: u32, dc: u16) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let data_centre = |name: &str, region: &str| DataCentre {
        name: self::name(name),
        region: self::name(region),
    };
    Settings {
        name: name(&format!("entry-{vm}")),
        vm: VmId(vm),
        data_centre: DcId(dc),
        data_centres: vec![data_centre("porto", "north"), data_centre("lisbon", "south")],
        callers_address: any,
        peers_address: any,
        operators_address: any,
        platform,
        operator_tokens: vec![Operator { who: name("ana"), token: TOKEN.into() }],
        allowed_peers: Vec::new(),
        log_level: LogLevel::Info,
        limits: Limits::default(),
        timing: Timing {
            heartbeat_interval: Duration::from_millis(200),
            holder_timeout: Duration::from_millis(1_000),
            balancer_delay: Duration::from_millis(100),
            vm_list_interval: Duration::from_millis(100),
            ..Timing::default()
        },
    }
}

impl Cluster {
    /// Starts an entry VM and adds it to the platform's list.
    pub async fn start_entry(&self, vm: u32, dc: u16) -> Entry {
        let entry = start(settings(self.platform.address(), vm, dc)).await.expect("starts");
        self.list_vm(vm, dc, RoleJson::Entry, entry.addresses().peers, None);
        entry
    }

    /// Starts an entry VM and waits until it is ready for callers.
    pub async fn start_ready_entry(&self, vm: u32, dc: u16) -> Entry {
        let entry = self.start_entry(vm, dc).await;
        self.wait_for_status(&entry, |it| it["ready"] == true).await;
        entry
    }

    /// Starts a worker and adds it to the platform's list.
    pub async fn start_worker(&mut self, vm: u32, dc: u16) {
        // Tasks run until they are stopped, like those of a service.
        let tasks = WorkerOptions { run_time: None, ..WorkerOptions::default() };
        let name = format!("worker-{vm}");
        let options = worker::Options { name, worker: tasks, ..worker::Options::default() };
        let worker = Worker::start(options).await.expect("loopback has free ports");
        self.list_vm(vm, dc, RoleJson::Worker, worker.address(), worker.backend_address());
        self.workers.push(worker);
    }

    /// Adds a VM to the platform's list.
    pub fn list_vm(
        &self,
        vm: u32,
        dc: u16,
        role: RoleJson,
        control: SocketAddr,
        backend: Option<SocketAddr>,
    ) {
        let vm = VmJson {
            id: vm,
            name: format!("vm-{vm}"),
            dc,
            rack: 0,
            role,
            status: StatusJson::Live,
            control,
            backend,
            capacity: ResourcesJson { cpu_milli: 16_000, memory_mib: 61_440, accelerators: 0 },
        };
        self.platform.change_vm(VmChange::Put(vm)).expect("numbers are used once");
    }

    /// Sends statements to an entry VM as its operator.
    pub async fn run_statements(&self, entry: &Entry, text: &str) -> Answer {
        self.post_statements_as(entry, TOKEN, text.as_bytes()).await
    }

    /// Sends a body to the operators' port.
    pub async fn post_statements_as(&self, entry: &Entry, token: &str, body: &[u8]) -> Answer {
        let uri = format!("http://{}/v1/statements", entry.addresses().operators);
        let req = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::copy_from_slice(body)))
            .expect("valid request");
        self.client.send(req, TEST_TIMEOUT).await.expect("an answer")
    }

    /// Sends a request to a service as a caller.
    pub async fn call_service(&self, entry: &Entry, service: &str) -> Answer {
        let req = Request::builder()
            .uri(format!("http://{}/", entry.addresses().callers))
            .header(headers::SERVICE, service)
            .body(Full::new(Bytes::new()))
            .expect("valid request");
        self.client.send(req, TEST_TIMEOUT).await.expect("an answer")
    }

    /// Returns the status of an entry VM.
    pub async fn status(&self, entry: &Entry) -> Value {
        let address = entry.addresses().operators;
        let answer = self.client.get(address, "/v1/status", TEST_TIMEOUT).await.expect("an answer");
        serde_json::from_slice(&answer.body).expect("JSON")
    }

    /// Waits until the status of an entry VM satisfies `wanted`.
    pub async fn wait_for_status(&self, entry: &Entry, wanted: impl Fn(&Value) -> bool) -> Value {
        let mut status = Value::Null;
        for _ in 0..TEST_TIMEOUT.as_millis() / 20 {
            status = self.status(entry).await;
            if wanted(&status) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the status did not satisfy the condition in time: {status:#}");
    }
}

/// Parses the body of an answer as JSON.
pub fn json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}
