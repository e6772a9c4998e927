//! All workers of the data centre.

use daisy_model::{Instant, JobId, Key, Name, Resources, SortedMap, Vm, VmId, VmRole, VmStatus};

use crate::{
    holder::Holder,
    index::FreeIndex,
    reason::Reason,
    worker::{Standing, Worker, WorkerKey},
};

/// Workers by slot and by VM, with an index of their free room.
///
/// The slot of a VM that is gone is used again, so that replacements take no memory.
#[derive(Debug)]
pub(crate) struct Roster {
    slots: Vec<Option<Worker>>,
    vacant: Vec<WorkerKey>,
    by_vm: SortedMap<VmId, WorkerKey>,
    index: FreeIndex,
    /// What each worker holds in all.
    whole: FreeIndex,
    rng: fastrand::Rng,
    list_at: Option<Instant>,
    /// Workers that may have to be called.
    touched: Vec<WorkerKey>,
}

impl Roster {
    pub(crate) fn new(seed: u64) -> Roster {
        Roster {
            slots: Vec::new(),
            vacant: Vec::new(),
            by_vm: SortedMap::new(),
            index: FreeIndex::default(),
            whole: FreeIndex::default(),
            rng: fastrand::Rng::with_seed(seed),
            list_at: None,
            touched: Vec::new(),
        }
    }

    pub(crate) fn list_seen(&self) -> bool {
        self.list_at.is_some()
    }

    /// When the VM list was last taken in.
    pub(crate) fn list_at(&self) -> Option<Instant> {
        self.list_at
    }

    /// Has a worker looked at when calls are made.
    pub(crate) fn touch(&mut self, key: WorkerKey) {
        self.touched.push(key);
    }

    /// Has all workers looked at when calls are made.
    pub(crate) fn touch_all(&mut self) {
        self.touched = self.keys();
    }

    pub(crate) fn take_touched(&mut self) -> Vec<WorkerKey> {
        std::mem::take(&mut self.touched)
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

    /// Brings the index up to date with a worker.
    pub(crate) fn reindex(&mut self, key: WorkerKey) {
        let free = match self.get(key) {
            Some(worker) if worker.is_open() => worker.free(),
            _ => Resources::ZERO,
        };
        self.index.set(key.index(), free);
        let whole = self.get(key).map_or(Resources::ZERO, |worker| worker.capacity);
        self.whole.set(key.index(), whole);
    }

    /// Whether some worker could hold `size` if nothing else ran there.
    pub(crate) fn can_ever_hold(&self, size: Resources) -> bool {
        self.whole.has(size)
    }

    /// Whether some worker that takes new work has room for `size`.
    pub(crate) fn has_room(&self, size: Resources) -> bool {
        self.index.has(size)
    }

    /// The most of each part that any worker holds.
    pub(crate) fn largest(&self) -> Resources {
        self.whole.largest()
    }

    /// Has the next report looked at for each task of a job that was changed.
    pub(crate) fn unsettle(&mut self, job: JobId) {
        for worker in self.slots.iter_mut().flatten() {
            for (task, held) in worker.held.iter_mut() {
                held.settled &= task.job != job;
            }
        }
    }

    /// A number below `bound`.
    pub(crate) fn random(&mut self, bound: u32) -> u32 {
        self.rng.u32(..bound)
    }

    /// Up to `limit` workers with room for `size`, from a random place on.
    ///
    /// The random start spreads equal choices; the same seed gives the same choices.
    pub(crate) fn find(&mut self, size: Resources, limit: usize, found: &mut Vec<WorkerKey>) {
        let mut slots = Vec::with_capacity(limit);
        let start = self.rng.usize(..self.slots.len().max(1));
        self.index.find(size, start, limit, &mut slots);
        found.extend(slots.into_iter().map(WorkerKey::from_index));
        found.retain(|key| self.get(*key).is_some_and(Worker::is_open));
    }

    pub(crate) fn remove(&mut self, key: WorkerKey) {
        let Some(worker) = self.slots.get_mut(key.index()).and_then(Option::take) else { return };
        self.by_vm.remove(&worker.id);
        self.index.set(key.index(), Resources::ZERO);
        self.whole.set(key.index(), Resources::ZERO);
        self.vacant.push(key);
    }

    fn insert(&mut self, worker: Worker) {
        let vm = worker.id;
        let key = match self.vacant.pop() {
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
        self.index.set(key.index(), Resources::ZERO);
        self.touched.push(key);
    }
}

impl Holder {
    /// Takes the platform's VM list in.
    pub(crate) fn take_vms(&mut self, now: Instant, vms: &[Vm]) {
        self.roster.list_at = Some(now);
        let mut listed: Vec<VmId> = Vec::new();
        let dc = self.options.dc;
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Worker && vm.dc == dc) {
            listed.push(vm.id);
            if self.roster.try_key(vm.id).is_none() {
                self.roster.insert(Worker::new(vm, now));
            }
            self.set_standing(now, vm);
        }
        listed.sort_unstable();
        self.note_missing(now, &listed);
    }

    fn set_standing(&mut self, now: Instant, vm: &Vm) {
        let closed = vm.status == VmStatus::Leaving || self.drained.contains(&vm.name);
        let Some(key) = self.roster.try_key(vm.id) else { return };
        let Some(worker) = self.roster.get_mut(key) else { return };
        let standing = if closed { Standing::Draining } else { Standing::Live };
        if worker.standing == standing && worker.leaving == (vm.status == VmStatus::Leaving) {
            return;
        }
        worker.stand(now, standing);
        worker.leaving = vm.status == VmStatus::Leaving;
        self.roster.reindex(key);
        self.place_due = true;
    }

    fn note_missing(&mut self, now: Instant, listed: &[VmId]) {
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            let is_listed = listed.binary_search(&worker.id).is_ok();
            let is_gone = matches!(worker.standing, Standing::Unlisted { .. });
            if is_listed || is_gone {
                continue;
            }
            worker.standing = Standing::Unlisted { since: now };
            worker.notes.add(now, Reason::Unlisted);
            self.roster.reindex(key);
        }
    }

    /// Applies operators' drains to the workers known.
    pub(crate) fn apply_drains(&mut self, now: Instant, drained: &[Name]) {
        if self.drained == drained {
            return;
        }
        self.drained = drained.to_vec();
        for key in self.roster.keys() {
            let Some(worker) = self.roster.get_mut(key) else { continue };
            let is_drained = drained.contains(&worker.name);
            if let Standing::Live | Standing::Draining = worker.standing {
                let closed = worker.leaving || is_drained;
                worker.stand(now, if closed { Standing::Draining } else { Standing::Live });
            }
            self.roster.reindex(key);
        }
        self.place_due = true;
    }
}
