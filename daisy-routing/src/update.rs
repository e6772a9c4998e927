//! Updates of the router from outside: routes, and requests in flight from peers.

use std::time::Duration;

use daisy_model::{DcId, Instant, Name, SortedMap, VmId};

use crate::{
    Backend, QueueDecision, Router, Routes,
    health::Health,
    measure::LogMean,
    server::{Distance, Server},
    service::{ServiceKey, ServiceState},
    share,
};

/// Time from the first backend server that a new router learns of until it knows those of all data
/// centres: several heartbeats.
const LEARNING_DURATION: Duration = Duration::from_secs(3);

impl Router {
    /// Applies new routes; older ones than those in force have no effect.
    pub fn set_routes(
        &mut self,
        now: Instant,
        routes: &Routes,
        rng: &mut fastrand::Rng,
    ) -> Vec<QueueDecision> {
        let is_first = self.servers.is_empty() && self.service_keys.is_empty();
        if !is_first && routes.version <= self.routes.version {
            return Vec::new();
        }
        self.routes = routes.clone();
        self.set_region_budget(now);
        self.set_servers(now);
        self.set_services();
        let live: Vec<VmId> = routes.live_entries.iter().map(|(_, vm)| *vm).collect();
        self.in_flight_by_peer.retain(|peer, _| live.contains(peer));
        self.update_peer_counts();
        self.refresh_medians();
        self.dispatch(now, rng)
    }

    /// Records the requests in flight from another entry VM for each backend server.
    pub fn peer_in_flight(
        &mut self,
        now: Instant,
        peer: VmId,
        in_flight: &[(VmId, u32)],
        rng: &mut fastrand::Rng,
    ) -> Vec<QueueDecision> {
        self.in_flight_by_peer.insert(peer, in_flight.iter().copied().collect());
        self.update_peer_counts();
        self.dispatch(now, rng)
    }

    /// Sets this entry VM's part of the budget of the region link, which all entry VMs of the
    /// region share.
    fn set_region_budget(&mut self, now: Instant) {
        let mine = region(&self.routes, self.routes.dc);
        let sharers =
            self.routes.live_entries.iter().filter(|(dc, _)| region(&self.routes, *dc) == mine);
        let sharers = sharers.count().max(1) as u64;
        self.region_budget.set_rate(self.routes.policy.region_bytes / sharers, now);
    }

    /// Replaces the backend servers. Those that were already known keep their measurements.
    fn set_servers(&mut self, now: Instant) {
        let mut backends: Vec<(&Backend, bool)> = Vec::new();
        for (name, service) in self.routes.services.iter() {
            let starts_slowly = |backend: &Backend| self.starts_slowly(now, name, backend.dc);
            backends.extend(service.backends.iter().map(|it| (it, starts_slowly(it))));
        }
        backends.sort_by_key(|(backend, _)| backend.vm);
        backends.dedup_by_key(|(backend, _)| backend.vm);
        let servers: Vec<Server> = backends
            .into_iter()
            .map(|(backend, starts_slowly)| {
                let old = self.servers.binary_search_by_key(&backend.vm, |server| server.vm);
                let known = old.ok().map(|at| self.servers[at].clone());
                let server = known.unwrap_or_else(|| new_server(backend, now, starts_slowly));
                self.with_route(server, backend)
            })
            .collect();
        if !servers.is_empty() {
            self.first_servers_at.get_or_insert(now);
        }
        self.servers = servers;
        self.recount_own_in_flight();
    }

    /// Returns whether a backend server of `service` in `dc` that was not known before starts slowly.
    ///
    /// Prevents a cold backend server from getting the load of a warm one, which shows as a burst
    /// of late answers after each replacement. A new router starts all of them at their full limit:
    /// they are probably warm, and a slow start would reject its callers while slots are free. It
    /// learns of services first, then of their backend servers, one data centre after the other.
    fn starts_slowly(&self, now: Instant, service: &Name, dc: DcId) -> bool {
        let is_learning =
            self.first_servers_at.is_none_or(|first| now.since(first) < LEARNING_DURATION);
        let known = self.service_keys.get(service).and_then(|key| self.services.get(*key));
        !is_learning || known.is_some_and(|known| known.dcs.binary_search(&dc).is_ok())
    }

    /// Returns `server` with the attributes that the current routes give it.
    fn with_route(&self, server: Server, backend: &Backend) -> Server {
        let entries = |dc: Option<DcId>| -> Vec<VmId> {
            let of =
                self.routes.live_entries.iter().filter(|(at, _)| dc.is_none_or(|dc| dc == *at));
            of.map(|(_, vm)| *vm).collect()
        };
        let count = entries(None).len() as u32;
        Server {
            distance: distance(&self.routes, backend.dc),
            address: backend.address,
            slots: backend.slots,
            connections: share::connections(backend.connections, count),
            own_slots: share::slots(
                backend.slots,
                backend.vm,
                self.own_vm,
                &entries(Some(backend.dc)),
            ),
            leaving_in_routes: backend.leaving,
            ..server
        }
    }

    /// Recounts the requests in flight from the tries. Prevents a count that stays too high if a
    /// backend server is removed from the routes and added again while its requests are in flight.
    fn recount_own_in_flight(&mut self) {
        self.servers.iter_mut().for_each(|server| server.own_in_flight = 0);
        let vms: Vec<VmId> = self.tries.iter().map(|one| one.vm).collect();
        for vm in vms {
            if let Some(server) = self.try_server_mut(vm) {
                server.own_in_flight += 1;
            }
        }
    }

    fn set_services(&mut self) {
        let keys: Vec<ServiceKey> = self.services.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(service) = self.services.get_mut(key) {
                service.in_routes = false;
                service.servers.clear();
            }
        }
        for (name, route) in self.routes.services.iter() {
            let services = &mut self.services;
            let alloc = || services.alloc(ServiceState::new(route.priority));
            let key = *self.service_keys.get_or_insert_with(name.clone(), alloc);
            let Some(service) = self.services.get_mut(key) else { continue };
            let at = |backend: &Backend| {
                self.servers.binary_search_by_key(&backend.vm, |server| server.vm).ok()
            };
            service.in_routes = true;
            service.priority = route.priority;
            service.dcs.extend(route.backends.iter().map(|backend| backend.dc));
            service.dcs.sort_unstable();
            service.dcs.dedup();
            service.servers = route.backends.iter().filter_map(at).map(|at| at as u32).collect();
        }
    }

    fn update_peer_counts(&mut self) {
        let mut sums: SortedMap<VmId, u32> = SortedMap::new();
        for (_, in_flight) in self.in_flight_by_peer.iter() {
            for (vm, count) in in_flight.iter() {
                *sums.get_or_insert_with(*vm, || 0) += count;
            }
        }
        for server in &mut self.servers {
            server.peers_in_flight = sums.get(&server.vm).copied().unwrap_or(0);
        }
    }
}

/// Creates a backend server that was not known before.
fn new_server(backend: &Backend, now: Instant, starts_slowly: bool) -> Server {
    let health = if starts_slowly {
        Health::Starting { since: now, consecutive_failures: 0 }
    } else {
        Health::default()
    };
    Server {
        vm: backend.vm,
        distance: Distance::SameDc,
        address: backend.address,
        slots: backend.slots,
        connections: 1,
        own_slots: 0,
        leaving_in_routes: backend.leaving,
        reported_leaving_at: None,
        own_in_flight: 0,
        answer_in_flight: None,
        peers_in_flight: 0,
        limit: f64::from(backend.slots),
        mean_latency: LogMean::default(),
        health,
    }
}

fn distance(routes: &Routes, dc: DcId) -> Distance {
    if dc == routes.dc {
        Distance::SameDc
    } else if region(routes, dc) == region(routes, routes.dc) {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

/// Returns the region of `dc`; each unlisted data centre is treated as a region of its own.
fn region(routes: &Routes, dc: DcId) -> u32 {
    let listed = routes.regions.get(usize::from(dc.0)).copied();
    listed.map_or(u32::from(dc.0) + (1 << 16), u32::from)
}
