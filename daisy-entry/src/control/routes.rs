//! Builds the request side's routes from the ledger, the VM list and the replicas.

use std::sync::Arc;

use daisy_ledger::State;
use daisy_membership::Membership;
use daisy_model::{DcId, Instant, JobKind, Name, SortedMap, Vm, VmId, VmRole, VmStatus};
use daisy_routing::{Backend, Routes, Service};
use daisy_wire::peer::Replica;

use crate::control::Replicas;

/// Concurrent requests that a backend server processes, on the workers of both users.
const SLOTS_PER_BACKEND: u32 = 8;
/// Connections that a backend server accepts from all entry VMs, on the workers of both users.
const CONNECTIONS_PER_BACKEND: u32 = 64;

/// The data from which routes are built.
pub(crate) struct RouteSources<'a> {
    pub now: Instant,
    pub dc: DcId,
    pub regions: &'a [u16],
    pub state: &'a State,
    /// The VM list, sorted by VM number.
    pub vms: &'a [Vm],
    pub membership: &'a Membership,
    pub replicas: &'a SortedMap<DcId, Arc<Replicas>>,
}

/// Builds the routes of version `version`.
pub(crate) fn build(version: u64, sources: &RouteSources<'_>) -> Routes {
    Routes {
        version,
        dc: sources.dc,
        regions: sources.regions.to_vec(),
        live_entries: live_entries(sources.now, sources.dc, sources.membership),
        listed_entries: listed_entries(sources),
        services: services(sources),
        policy: sources.state.policy.1.clone(),
    }
}

/// Returns the entry VMs that are alive as far as this one knows, itself included.
///
/// Starting and stopping ones are included: they have connections to backend servers, and keys.
/// This entry VM does not receive heartbeats from every entry VM of other data centres; those are
/// included if the platform lists them.
pub(crate) fn live_entries(now: Instant, dc: DcId, membership: &Membership) -> Vec<(DcId, VmId)> {
    let options = membership.options();
    let peers = membership.peers();
    let is_counted = |(vm, peer): &(VmId, &daisy_membership::Peer)| {
        if peer.dc == dc { peers.is_alive(options, now, *vm) } else { peer.listed }
    };
    let mut entries: Vec<(DcId, VmId)> =
        peers.iter().filter(is_counted).map(|(vm, peer)| (peer.dc, vm)).collect();
    entries.push((options.dc, options.vm));
    entries.sort_unstable();
    entries
}

/// Returns the entry VMs in the platform's list, and this one.
fn listed_entries(sources: &RouteSources<'_>) -> Vec<(DcId, VmId)> {
    let options = sources.membership.options();
    let entries = sources.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let mut listed: Vec<(DcId, VmId)> = entries.map(|vm| (vm.dc, vm.id)).collect();
    listed.push((options.dc, options.vm));
    listed.sort_unstable();
    listed.dedup();
    listed
}

fn services(sources: &RouteSources<'_>) -> SortedMap<Name, Service> {
    let mut services = SortedMap::new();
    for (id, job) in sources.state.jobs.iter() {
        if job.spec.kind != JobKind::Service || job.cancelled {
            continue;
        }
        let service = Service {
            job: id,
            priority: job.spec.priority,
            may_reject: job.spec.tolerance.refuse,
            backends: Vec::new(),
        };
        services.insert(job.spec.name.clone(), service);
    }
    for replica in sources.replicas.iter().flat_map(|(_, it)| it.all.iter()) {
        let Some(name) = sources.state.jobs.get(replica.job).map(|job| &job.spec.name) else {
            continue;
        };
        let Some(service) = services.get_mut(name) else { continue };
        service.backends.extend(backend(sources, *replica));
    }
    for (_, service) in services.iter_mut() {
        service.backends.sort_by_key(|it| it.vm);
        service.backends.dedup_by_key(|it| it.vm);
    }
    services
}

fn backend(sources: &RouteSources<'_>, replica: Replica) -> Option<Backend> {
    let at = sources.vms.binary_search_by_key(&replica.vm, |it| it.id).ok()?;
    let vm = &sources.vms[at];
    let is_vm_leaving = vm.status == VmStatus::Leaving || sources.state.is_drained(&vm.name);
    Some(Backend {
        vm: vm.id,
        dc: vm.dc,
        address: vm.backend?,
        slots: SLOTS_PER_BACKEND,
        connections: CONNECTIONS_PER_BACKEND,
        leaving: replica.leaving || is_vm_leaving,
    })
}
