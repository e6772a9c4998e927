//! The configuration of a test's cluster: data centres, VMs, addresses and settings.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

use daisy_standin::worker::JobBehaviour;
use daisy_wire::platform::{ResourcesJson, RoleJson, StatusJson, VmJson};
use serde_json::json;

/// The VMs that a test starts, and their settings.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// The data centres: name, region, number of entry VMs, number of workers.
    pub dcs: Vec<(&'static str, &'static str, u32, u32)>,
    /// The capacity of each worker.
    pub capacity: ResourcesJson,
    /// How long batch tasks run, in milliseconds.
    pub run_ms: u64,
    /// The behaviour of the tasks of particular jobs.
    pub jobs: Vec<JobBehaviour>,
    /// `timing.heartbeat_ms`.
    pub heartbeat_ms: u64,
    /// `timing.holder_timeout_ms`.
    pub holder_timeout_ms: u64,
    /// `timing.worker_lease_ms`.
    pub worker_lease_ms: u64,
    /// `timing.balancer_ms`.
    pub balancer_ms: u64,
    /// The delay of the VM list, in milliseconds.
    pub vm_lag_ms: u64,
}

/// The name of the service, which tests create first, so that the ledger gives it number 0.
pub const SERVICE: &str = "shop";
/// The token of the tests' operator.
pub const TOKEN: &str = "proofs-token-0123456789";
/// The id of the first worker; the ids of entry VMs start at 1.
const FIRST_WORKER_ID: u32 = 100;

impl Default for ClusterConfig {
    /// Returns one data centre with two entry VMs and two workers of 8 cores; failures are
    /// detected within seconds, so that tests are short.
    fn default() -> ClusterConfig {
        ClusterConfig {
            dcs: vec![("porto", "north", 2, 2)],
            capacity: ResourcesJson { cpu_milli: 8_000, memory_mib: 8_192, accelerators: 1 },
            run_ms: 300,
            jobs: vec![service_behaviour()],
            heartbeat_ms: 200,
            holder_timeout_ms: 1_000,
            worker_lease_ms: 4_000,
            balancer_ms: 500,
            vm_lag_ms: 300,
        }
    }
}

/// Returns the behaviour of the service's tasks: they answer requests until they are stopped.
pub fn service_behaviour() -> JobBehaviour {
    JobBehaviour { job: 0, run_ms: None, fails: false, service: Some(SERVICE.to_owned()) }
}

/// The addresses of one test, which no other test uses.
///
/// Each test has a loopback address of its own and fixed ports, so that neither another test nor an
/// outgoing connection can take a port between its choice and its use.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    ip: Ipv4Addr,
}

/// The last byte of the next test's address.
static NEXT_TEST: AtomicU8 = AtomicU8::new(1);

impl Addresses {
    /// Returns addresses that no other test on this machine uses.
    pub fn allocate() -> Addresses {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let test = NEXT_TEST.fetch_add(1, Ordering::Relaxed);
        Addresses { ip: Ipv4Addr::new(127, high | 1, low, test) }
    }

    /// Returns the platform's address.
    pub fn platform(self) -> SocketAddr {
        self.with_port(20_000)
    }

    /// Returns an entry VM's address for callers.
    pub fn callers(self, vm: u32) -> SocketAddr {
        self.with_port(21_000 + vm)
    }

    /// Returns an entry VM's address for its peers.
    pub fn peers(self, vm: u32) -> SocketAddr {
        self.with_port(22_000 + vm)
    }

    /// Returns an entry VM's address for operators.
    pub fn operators(self, vm: u32) -> SocketAddr {
        self.with_port(23_000 + vm)
    }

    /// Returns a worker's address for its holder.
    pub fn control(self, vm: u32) -> SocketAddr {
        self.with_port(24_000 + vm)
    }

    /// Returns the address of a worker's backend server.
    pub fn backend(self, vm: u32) -> SocketAddr {
        self.with_port(25_000 + vm)
    }

    /// Returns the address of link number `number`.
    pub fn link(self, number: u32) -> SocketAddr {
        self.with_port(26_000 + number)
    }

    fn with_port(self, port: u32) -> SocketAddr {
        SocketAddr::from((self.ip, u16::try_from(port).expect("a port")))
    }
}

impl ClusterConfig {
    /// Returns all VMs, as the platform lists them.
    pub fn vms(&self, addresses: Addresses) -> Vec<VmJson> {
        let mut vms = Vec::new();
        let (mut entry, mut worker) = (1, FIRST_WORKER_ID);
        for (dc, (_, _, entries, workers)) in (0..).zip(&self.dcs) {
            for _ in 0..*entries {
                vms.push(entry_vm(entry, dc, addresses));
                entry += 1;
            }
            for _ in 0..*workers {
                vms.push(self.worker_vm(worker, dc, addresses));
                worker += 1;
            }
        }
        vms
    }

    /// Returns a worker with the configured capacity.
    pub fn worker_vm(&self, id: u32, dc: u16, addresses: Addresses) -> VmJson {
        VmJson {
            id,
            name: format!("worker-{id}"),
            dc,
            rack: u16::try_from(id % 2).expect("one or zero"),
            role: RoleJson::Worker,
            status: StatusJson::Live,
            control: addresses.control(id),
            backend: Some(addresses.backend(id)),
            capacity: self.capacity,
        }
    }

    /// Returns the settings of an entry VM, as JSON, which is valid YAML.
    pub fn settings(&self, vm: &VmJson, addresses: Addresses) -> String {
        let dcs = self.dcs.iter().map(|(name, region, ..)| json!({"name": name, "region": region}));
        let settings = json!({
            "name": vm.name,
            "vm": vm.id,
            "data_centre": self.dcs[usize::from(vm.dc)].0,
            "data_centres": dcs.collect::<Vec<_>>(),
            "callers": addresses.callers(vm.id),
            "peers": addresses.peers(vm.id),
            "operators": addresses.operators(vm.id),
            "platform": addresses.platform(),
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

/// Returns an entry VM, as the platform lists it.
pub fn entry_vm(id: u32, dc: u16, addresses: Addresses) -> VmJson {
    VmJson {
        id,
        name: format!("entry-{id}"),
        dc,
        rack: u16::try_from(id % 2).expect("one or zero"),
        role: RoleJson::Entry,
        status: StatusJson::Live,
        control: addresses.peers(id),
        backend: None,
        capacity: ResourcesJson::default(),
    }
}
