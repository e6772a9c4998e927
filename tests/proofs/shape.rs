//! What a test starts: data centres, VMs, addresses and settings.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

use daisy_standin::worker::JobBehaviour;
use daisy_wire::platform::{ResourcesJson, RoleJson, StatusJson, VmJson};
use serde_json::json;

/// How much of everything a test starts, and with which settings.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Data centres: name, region, entry VMs, workers.
    pub dcs: Vec<(&'static str, &'static str, u32, u32)>,
    /// What each worker holds.
    pub capacity: ResourcesJson,
    /// How long batch tasks run.
    pub run_ms: u64,
    /// How tasks of particular jobs run.
    pub jobs: Vec<JobBehaviour>,
    /// `timing.heartbeat_ms`.
    pub heartbeat_ms: u64,
    /// `timing.holder_timeout_ms`.
    pub holder_timeout_ms: u64,
    /// `timing.worker_lease_ms`.
    pub worker_lease_ms: u64,
    /// `timing.balancer_ms`.
    pub balancer_ms: u64,
    /// How far the VM list lags behind.
    pub vm_lag_ms: u64,
}

/// The service that tests create first, so that the ledger numbers it 0.
pub const SERVICE: &str = "shop";
/// The token of the tests' operator.
pub const TOKEN: &str = "proofs-token-0123456789";
/// The first worker's number; entry VMs count from 1.
const FIRST_WORKER: u32 = 100;

impl Default for Shape {
    /// One data centre with two entry VMs and two workers of 8 cores; failures are noticed
    /// within seconds, so that tests are short.
    fn default() -> Shape {
        Shape {
            dcs: vec![("porto", "north", 2, 2)],
            capacity: ResourcesJson { cpu_milli: 8_000, memory_mib: 8_192, accelerators: 1 },
            run_ms: 300,
            jobs: vec![service_run()],
            heartbeat_ms: 200,
            holder_timeout_ms: 1_000,
            worker_lease_ms: 4_000,
            balancer_ms: 500,
            vm_lag_ms: 300,
        }
    }
}

/// How tasks of the tests' service run: until they are stopped, answering requests.
pub fn service_run() -> JobBehaviour {
    JobBehaviour { job: 0, run_ms: None, fails: false, service: Some(SERVICE.to_owned()) }
}

/// The addresses of one test, apart from those of all others.
///
/// Each test has a loopback address of its own and fixed ports, so that no two tests, and no
/// outgoing connection, can take a port between its choice and its use.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    ip: Ipv4Addr,
}

static TESTS: AtomicU8 = AtomicU8::new(1);

impl Addresses {
    /// Addresses that no other test of this machine uses.
    pub fn take() -> Addresses {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let test = TESTS.fetch_add(1, Ordering::Relaxed);
        Addresses { ip: Ipv4Addr::new(127, high | 1, low, test) }
    }

    pub fn platform(self) -> SocketAddr {
        self.at(20_000)
    }

    pub fn callers(self, vm: u32) -> SocketAddr {
        self.at(21_000 + vm)
    }

    pub fn peers(self, vm: u32) -> SocketAddr {
        self.at(22_000 + vm)
    }

    pub fn operators(self, vm: u32) -> SocketAddr {
        self.at(23_000 + vm)
    }

    pub fn control(self, vm: u32) -> SocketAddr {
        self.at(24_000 + vm)
    }

    pub fn backend(self, vm: u32) -> SocketAddr {
        self.at(25_000 + vm)
    }

    /// The `number`th address of links.
    pub fn link(self, number: u32) -> SocketAddr {
        self.at(26_000 + number)
    }

    fn at(self, port: u32) -> SocketAddr {
        SocketAddr::from((self.ip, u16::try_from(port).expect("a port")))
    }
}

impl Shape {
    /// All VMs, as the platform lists them.
    pub fn vms(&self, at: Addresses) -> Vec<VmJson> {
        let mut vms = Vec::new();
        let (mut entry, mut worker) = (1, FIRST_WORKER);
        for (dc, (_, _, entries, workers)) in (0..).zip(&self.dcs) {
            for _ in 0..*entries {
                vms.push(entry_vm(entry, dc, at));
                entry += 1;
            }
            for _ in 0..*workers {
                vms.push(self.worker_vm(worker, dc, at));
                worker += 1;
            }
        }
        vms
    }

    /// A worker of this shape.
    pub fn worker_vm(&self, id: u32, dc: u16, at: Addresses) -> VmJson {
        VmJson {
            id,
            name: format!("worker-{id}"),
            dc,
            rack: u16::try_from(id % 2).expect("one or zero"),
            role: RoleJson::Worker,
            status: StatusJson::Live,
            control: at.control(id),
            backend: Some(at.backend(id)),
            capacity: self.capacity,
        }
    }

    /// The settings of an entry VM; JSON is YAML.
    pub fn settings(&self, vm: &VmJson, at: Addresses) -> String {
        let dcs = self.dcs.iter().map(|(name, region, ..)| json!({"name": name, "region": region}));
        let settings = json!({
            "name": vm.name,
            "vm": vm.id,
            "data_centre": self.dcs[usize::from(vm.dc)].0,
            "data_centres": dcs.collect::<Vec<_>>(),
            "callers": at.callers(vm.id),
            "peers": at.peers(vm.id),
            "operators": at.operators(vm.id),
            "platform": at.platform(),
            "operator_tokens": [{"who": "tests", "token": TOKEN}],
            "log_level": "debug",
            "timing": {
                "heartbeat_ms": self.heartbeat_ms,
                "holder_timeout_ms": self.holder_timeout_ms,
                "worker_lease_ms": self.worker_lease_ms,
                "balancer_ms": self.balancer_ms,
                "vm_list_ms": 200,
            },
        });
        settings.to_string()
    }
}

/// An entry VM.
pub fn entry_vm(id: u32, dc: u16, at: Addresses) -> VmJson {
    VmJson {
        id,
        name: format!("entry-{id}"),
        dc,
        rack: u16::try_from(id % 2).expect("one or zero"),
        role: RoleJson::Entry,
        status: StatusJson::Live,
        control: at.peers(id),
        backend: None,
        capacity: ResourcesJson::default(),
    }
}
