//! What the router is told of services and backend servers.

use std::net::SocketAddr;

use daisy_model::{DcId, JobId, Name, Policy, Priority, SortedMap, VmId};

/// A backend server: a worker that runs a task of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The worker.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// Where requests go.
    pub address: SocketAddr,
    /// Requests that it works on at one time (8 on the users' workers).
    pub slots: u32,
    /// Connections that it takes from all entry VMs together (64 on the users' workers).
    pub connections: u32,
    /// Whether it is about to leave: nothing new goes there.
    pub leaving: bool,
}

/// A service that requests can name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's job.
    pub job: JobId,
    /// Its declared priority.
    pub priority: Priority,
    /// Whether operators allow its requests to be refused under overload.
    pub refuse: bool,
    /// Its backend servers, sorted by VM.
    pub backends: Vec<Backend>,
}

/// Everything that the router is told from outside, whole and versioned.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Routes {
    /// Grows with each change.
    pub version: u64,
    /// The entry VM's own data centre.
    pub dc: DcId,
    /// The region of each data centre, by [`DcId`]; data centres of one region are near.
    pub regions: Vec<u16>,
    /// Live entry VMs of all data centres, among which connections are split; sorted.
    pub entries: Vec<(DcId, VmId)>,
    /// Entry VMs that the platform's list names, whether they can be reached or not; sorted.
    ///
    /// One that is listed but not among `entries` may still be serving behind a partition,
    /// so homes of keys do not vouch for their past while there is one.
    pub listed: Vec<(DcId, VmId)>,
    /// Services by name.
    pub services: SortedMap<Name, Service>,
    /// The policy in force.
    pub policy: Policy,
}
