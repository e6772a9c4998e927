//! All workers of the data centre.

use daisy_model::{Instant, JobId, Key, Name, Resources, SortedMap, Vm, VmId, VmRole, VmStatus};

use crate::{
    holder::Holder,
    index::FreeIndex,
    reason::Reason,
    worker::{Availability, Worker, WorkerKey},
};

/// The workers by slot and by VM, with an index of their free capacity.
///
/// The slot of a removed VM is reused, so that replacements need no further memory.
#[derive(Debug)]
pub(crate) struct Roster {
    slots: Vec<Option<Worker>>,
    free_slots: Vec<WorkerKey>,
    by_vm: SortedMap<VmId, WorkerKey>,
    by_free: FreeIndex,
    /// An index of each worker's total capacity.
    by_capacity: FreeIndex,
    rng: fastrand::Rng,
    vm_list_at: Option<Instant>,
    /// The workers that may have to be called.
    marked_for_call: Vec<WorkerKey>,
}

impl Roster {
    pub(crate) fn new(seed: u64) -> Roster {
        Roster {
            slots: Vec::new(),
            free_slots: Vec::new(),
            by_vm: SortedMap::new(),
            by_free: FreeIndex::default(),
            by_capacity: FreeIndex::default(),
            rng: fastrand::Rng::with_seed(seed),
            vm_list_at: None,
            marked_for_call: Vec::new(),
        }
    }

    pub(crate) fn has_vm_list(&self) -> bool {
        self.vm_list_at.is_some()
    }

    /// Returns when the VM list was last received.
    pub(crate) fn vm_list_at(&self) -> Option<Instant> {
        self.vm_list_at
    }

    /// Marks a worker to be checked when the next calls are made.
    pub(crate) fn mark_for_call(&mut self, key: WorkerKey) {
        self.marked_for_call.push(key);
    }

    /// Marks all workers to be checked when the next calls are made.
    pub(crate) fn mark_all_for_call(&mut self) {
        self.marked_for_call = self.keys();
    }

    pub(crate) fn take_marked_for_call(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.marked_for_call)
    }

    pub(crate) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.slots.get(key.index())?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    pub(crate) fn try_key(&self, vm: VmId) -> Option<WorkerKey> {
        self.by_vm.get(&vm).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.by_vm.iter().filter_map(|(_, key)| Some((*key, self.get(*key)?)))
    }

    pub(crate) fn keys(&self) -> Vec<WorkerKey> {
        self.by_vm.iter().map(|(_, key)| *key).collect()
    }

    /// Updates the indexes for a worker.
    pub(crate) fn reindex(&mut self, key: WorkerKey) {
        let free = match self.get(key) {
            Some(worker) if worker.is_open() => worker.free(),
            _ => Resources::ZERO,
        };
        self.by_free.set(key.index(), free);
        let capacity = self.get(key).map_or(Resources::ZERO, |worker| worker.capacity);
        self.by_capacity.set(key.index(), capacity);
    }

    /// Whether some worker could fit `size` if nothing else ran there.
    pub(crate) fn can_ever_fit(&self, size: Resources) -> bool {
        self.by_capacity.has_fitting(size)
    }

    /// Whether some worker that takes new work has free capacity for `size`.
    pub(crate) fn has_free_capacity(&self, size: Resources) -> bool {
        self.by_free.has_fitting(size)
    }

    /// Returns the maximum of each resource over all workers' capacities.
    pub(crate) fn largest_capacity(&self) -> Resources {
        self.by_capacity.largest()
    }

    /// Clears the confirmation of all tasks of a changed job, so that the next report of each is
    /// checked.
    pub(crate) fn invalidate_confirmations(&mut self, job: JobId) {
        for worker in self.slots.iter_mut().flatten() {
            for (task, allocation) in worker.allocations.iter_mut() {
                allocation.confirmed &= task.job != job;
            }
        }
    }

    /// Returns a random number below `bound`.
    pub(crate) fn random(&mut self, bound: u32) -> u32 {
        self.rng.u32(..bound)
    }

    /// Finds up to `limit` workers with free capacity for `size`, starting at a random slot.
    ///
    /// The random start spreads the choice among equally suited workers; the same seed gives the
    /// same choices.
    pub(crate) fn find_candidates(
        &mut self,
        size: Resources,
        limit: usize,
        found: &mut Vec<WorkerKey>,
    ) {
        let mut slots = Vec::with_capacity(limit);
        let start = self.rng.usize(..self.slots.len().max(1));
        self.by_free.find(size, start, limit, &mut slots);
        found.extend(slots.into_iter().map(WorkerKey::from_index));
        found.retain(|key| self.get(*key).is_some_and(Worker::is_open));
    }

    pub(crate) fn remove(&mut self, key: WorkerKey) {
        let Some(worker) = self.slots.get_mut(key.index()).and_then(Option::take) else { return };
        self.by_vm.remove(&worker.id);
        self.by_free.set(key.index(), Resources::ZERO);
        self.by_capacity.set(key.index(), Resources::ZERO);
        self.free_slots.push(key);
    }

    fn insert(&mut self, worker: Worker) {
        let vm = worker.id;
        let key = match self.free_slots.pop() {
            Some(key) => {
                self.slots[key.index()] = Some(worker);
                key
            }
            None => {
                self.slots.push(Some(worker));
                WorkerKey::from_index(self.slots.len() - 1)
            }
        };
        self.by_vm.insert(vm, key);
        self.by_free.set(key.index(), Resources::ZERO);
        self.marked_for_call.push(key);
    }
}

impl Holder {
    /// Handles the platform's VM list.
    pub(crate) fn handle_vm_list(&mut self, now: Instant, vms: &[Vm]) {
        self.roster.vm_list_at = Some(now);
        let mut listed: Vec<VmId> = Vec::new();
        let dc = self.options.dc;
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Worker && vm.dc == dc) {
            listed.push(vm.id);
            if self.roster.try_key(vm.id).is_none() {
                self.roster.insert(Worker::new(vm, now));
            }
            self.update_availability(now, vm);
        }
        listed.sort_unstable();
        self.mark_unlisted(now, &listed);
    }

    fn update_availability(&mut self, now: Instant, vm: &Vm) {
        let is_draining = vm.status == VmStatus::Leaving || self.drained.contains(&vm.name);
        let Some(key) = self.roster.try_key(vm.id) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let availability = if is_draining { Availability::Draining } else { Availability::Live };
        if worker.availability == availability && worker.leaving == (vm.status == VmStatus::Leaving)
        {
            return;
        }
        worker.set_availability(now, availability);
        worker.leaving = vm.status == VmStatus::Leaving;
        self.roster.reindex(key);
        self.placement_due = true;
    }

    fn mark_unlisted(&mut self, now: Instant, listed: &[VmId]) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            let is_listed = listed.binary_search(&worker.id).is_ok();
            let is_unlisted = matches!(worker.availability, Availability::Unlisted { .. });
            if is_listed || is_unlisted {
                continue;
            }
            worker.availability = Availability::Unlisted { since: now };
            worker.notes.add(now, Reason::Unlisted);
            self.roster.reindex(key);
        }
    }

    /// Applies operators' drains to the known workers.
    pub(crate) fn apply_drains(&mut self, now: Instant, drained: &[Name]) {
        if self.drained == drained {
            return;
        }
        self.drained = drained.to_vec();
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            let is_drained = drained.contains(&worker.name);
            if let Availability::Live | Availability::Draining = worker.availability {
                let is_draining = worker.leaving || is_drained;
                worker.set_availability(
                    now,
                    if is_draining { Availability::Draining } else { Availability::Live },
                );
            }
            self.roster.reindex(key);
        }
        self.placement_due = true;
    }
}
