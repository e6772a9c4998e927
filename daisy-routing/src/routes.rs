//! Services and backend servers, as the router receives them.

use std::net::SocketAddr;

use daisy_model::{DcId, JobId, Name, Policy, Priority, SortedMap, VmId};

/// A backend server: a worker that runs a task of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The worker VM.
    pub vm: VmId,
    /// The data centre of the worker.
    pub dc: DcId,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// Number of requests that it processes at one time (8 on the users' workers).
    pub slots: u32,
    /// Number of connections that it accepts from all entry VMs together (64 on the users'
    /// workers).
    pub connections: u32,
    /// Whether it is about to leave, so that it gets no new requests.
    pub leaving: bool,
}

/// A service that requests can name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The job of the service.
    pub job: JobId,
    /// The declared priority of the service.
    pub priority: Priority,
    /// Whether operators allow requests of the service to be rejected under overload.
    pub may_reject: bool,
    /// The backend servers of the service, sorted by VM.
    pub backends: Vec<Backend>,
}

/// All external information of the router, as one complete, versioned value.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Routes {
    /// A version that increases with each change.
    pub version: u64,
    /// The data centre of this entry VM.
    pub dc: DcId,
    /// The region of each data centre, indexed by [`DcId`]. Backend servers of the own region are
    /// preferred to those of other regions.
    pub regions: Vec<u16>,
    /// Live entry VMs of all data centres, among which connections are divided; sorted.
    pub live_entries: Vec<(DcId, VmId)>,
    /// Entry VMs in the platform's VM list, whether they can be reached or not; sorted.
    ///
    /// An entry VM that is listed but not among `live_entries` may still be serving requests behind
    /// a partition. While there is such an entry VM, homes of keys treat their history as
    /// incomplete.
    pub listed_entries: Vec<(DcId, VmId)>,
    /// Services by name.
    pub services: SortedMap<Name, Service>,
    /// The policy in force.
    pub policy: Policy,
}
