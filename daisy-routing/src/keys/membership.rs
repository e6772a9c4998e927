//! The entry VMs of each data centre, from which the home of a key follows.

use std::{cmp::Reverse, time::Duration};

use daisy_model::{DcId, Instant, SortedMap, VmId};

use crate::{KeyId, Routes, digest, weight};

/// How long a listed entry VM that was never live may take to start. Shorter than the time for
/// which a new entry VM grants no claims on its own, with a margin for the delay of the VM list.
const STARTUP_GRACE: Duration = Duration::from_secs(2);

/// The entry VMs as this one sees them.
#[derive(Debug, Default)]
pub(super) struct Membership {
    dc: DcId,
    live: Vec<(DcId, VmId)>,
    listed: Vec<(DcId, VmId)>,
    /// Entry VMs that have handed their keys over and are stopping.
    departed: Vec<VmId>,
    /// Entry VMs of the local data centre that have handed keys over and are not live as far as
    /// this one knows.
    seen_by_handover: Vec<VmId>,
    /// Whether the platform's VM list has been read: before that no other entry VM is known.
    vm_list_read: bool,
    /// Peers at the last update.
    last_peers: Vec<VmId>,
    /// Listed entry VMs of the local data centre that are not live, with the time since when. For
    /// one that was live before, the time is earlier by the grace for starting.
    listed_not_live: SortedMap<VmId, Instant>,
    /// Data centres, each with the time since which it has had no entry VM.
    empty_since: SortedMap<DcId, Option<Instant>>,
}

impl Membership {
    /// Applies `routes`; returns the entry VMs of the local data centre that are new.
    pub(super) fn update(&mut self, now: Instant, own_vm: VmId, routes: &Routes) -> Vec<VmId> {
        self.dc = routes.dc;
        self.live = routes.live_entries.clone();
        self.listed = routes.listed_entries.clone();
        let (live, listed) = (&self.live, &self.listed);
        self.departed.retain(|vm| live.iter().chain(listed).any(|(_, known)| known == vm));
        // Backend servers are known only from the VM list.
        self.vm_list_read |=
            routes.services.iter().any(|(_, service)| !service.backends.is_empty());
        self.update_listed_not_live(now);
        self.prune_seen_by_handover(now);
        self.update_empty_since(now, routes);
        let peers = self.peers(own_vm);
        let before = std::mem::replace(&mut self.last_peers, peers.clone());
        peers.into_iter().filter(|peer| !before.contains(peer)).collect()
    }

    fn update_listed_not_live(&mut self, now: Instant) {
        let (live, listed) = (&self.live, &self.listed);
        let is_in = |vms: &[(DcId, VmId)], vm: VmId| vms.iter().any(|(_, other)| *other == vm);
        self.listed_not_live.retain(|vm, _| is_in(listed, *vm) && !is_in(live, *vm));
        for (_, vm) in listed.iter().filter(|(dc, vm)| *dc == self.dc && !is_in(live, *vm)) {
            let was_live = self.last_peers.contains(vm) && !self.seen_by_handover.contains(vm);
            let since = if was_live { now - STARTUP_GRACE } else { now };
            self.listed_not_live.get_or_insert_with(*vm, || since);
        }
    }

    fn prune_seen_by_handover(&mut self, now: Instant) {
        let Membership { live, listed_not_live, vm_list_read, .. } = self;
        let is_live = |vm: &VmId| live.iter().any(|(_, other)| other == vm);
        let may_still_start =
            |vm: &VmId| listed_not_live.get(vm).is_some_and(|at| now.since(*at) < STARTUP_GRACE);
        self.seen_by_handover.retain(|vm| !is_live(vm) && (may_still_start(vm) || !*vm_list_read));
    }

    fn update_empty_since(&mut self, now: Instant, routes: &Routes) {
        let by_region = (0..routes.regions.len()).map(|dc| DcId(dc as u16));
        let with_entry_vms = self.live.iter().chain(&self.listed).map(|(dc, _)| *dc);
        let dcs: Vec<DcId> = by_region.chain(with_entry_vms).collect();
        for dc in dcs {
            let has_entry_vms = self.live.iter().chain(&self.listed).any(|(other, _)| *other == dc);
            let since = self.empty_since.get_or_insert_with(dc, || None);
            *since = if has_entry_vms { None } else { since.or(Some(now)) };
        }
    }

    /// Returns the local data centre.
    pub(super) fn dc(&self) -> DcId {
        self.dc
    }

    /// Returns the live entry VMs of the local data centre, without `own_vm` and those that have
    /// departed.
    pub(super) fn peers(&self, own_vm: VmId) -> Vec<VmId> {
        self.members(self.dc).filter(|vm| *vm != own_vm).collect()
    }

    /// Returns the entry VMs of the local data centre that the platform lists, whether they answer
    /// or not, without `own_vm`.
    pub(super) fn listed(&self, own_vm: VmId) -> Vec<VmId> {
        let own = self.listed.iter().chain(&self.live).filter(|(dc, _)| *dc == self.dc);
        let mut vms: Vec<VmId> = own.map(|(_, vm)| *vm).filter(|vm| *vm != own_vm).collect();
        vms.sort_unstable();
        vms.dedup();
        vms
    }

    /// Returns whether a listed entry VM of the local data centre does not answer, although it did
    /// before or has had enough time to start.
    pub(super) fn is_member_missing(&self, now: Instant, own_vm: VmId) -> bool {
        let has_not_started = |(vm, since): (&VmId, &Instant)| {
            *vm != own_vm && !self.departed.contains(vm) && now.since(*since) >= STARTUP_GRACE
        };
        self.listed_not_live.iter().any(has_not_started)
    }

    /// Returns whether the VM list has been read.
    pub(super) fn is_vm_list_read(&self) -> bool {
        self.vm_list_read
    }

    /// Returns whether `vm` is listed or live.
    pub(super) fn is_listed_or_live(&self, vm: VmId) -> bool {
        self.live.iter().chain(&self.listed).any(|(_, other)| *other == vm)
    }

    /// Records whether `vm` has handed its keys over and is stopping.
    pub(super) fn set_departed(&mut self, vm: VmId, departed: bool) {
        self.departed.retain(|other| *other != vm);
        if departed {
            self.departed.push(vm);
        }
    }

    /// Records that `vm` of the local data centre has handed its keys over.
    ///
    /// Prevents a request from running twice: a new entry VM that has received nothing from an
    /// older one would otherwise consider itself the home of keys that the older one stores, and
    /// treat its own history of these keys as complete.
    pub(super) fn add_seen_by_handover(&mut self, vm: VmId) {
        let is_live = self.live.iter().any(|(_, other)| *other == vm);
        if !is_live && !self.seen_by_handover.contains(&vm) {
            self.seen_by_handover.push(vm);
        }
    }

    /// Returns the home of `key` in the local data centre.
    pub(super) fn home(&self, key: &KeyId) -> Option<VmId> {
        let item = digest(key.key.as_bytes());
        self.members(self.dc).max_by_key(|vm| (weight(item, vm.0), *vm))
    }

    /// Returns the possible homes of `key` in `dc`, the likeliest first.
    pub(super) fn candidate_homes(&self, dc: DcId, key: &KeyId) -> Vec<VmId> {
        let item = digest(key.key.as_bytes());
        let mut members: Vec<VmId> = self.members(dc).collect();
        members.sort_by_key(|vm| Reverse((weight(item, vm.0), *vm)));
        members
    }

    /// Returns the other data centres that have entry VMs now or had any within `retry_window`.
    ///
    /// Prevents a data centre whose entry VMs are all lost from being ignored: it is unknown what
    /// ran there, so that a data centre without an entry VM to query must not count as confirming.
    pub(super) fn other_dcs(&self, now: Instant, retry_window: Duration) -> Vec<DcId> {
        let recent = |since: &Option<Instant>| since.is_none_or(|at| now.since(at) < retry_window);
        let other_dcs =
            self.empty_since.iter().filter(|(dc, since)| **dc != self.dc && recent(since));
        other_dcs.map(|(dc, _)| *dc).collect()
    }

    fn members(&self, dc: DcId) -> impl Iterator<Item = VmId> + '_ {
        let live = self.live.iter().filter(move |(other, _)| *other == dc).map(|(_, vm)| *vm);
        let by_handover = self.seen_by_handover.iter().copied().filter(move |_| dc == self.dc);
        live.chain(by_handover).filter(|vm| !self.departed.contains(vm))
    }
}
