//! The holder's view of a worker.

use std::{collections::VecDeque, time::Duration};

use daisy_model::{
    Incarnation, Instant, Key, Name, Order, Priority, Resources, SortedMap, TaskId, Vm, VmId,
};

use crate::{
    fault::WorkerFaults,
    job_family::JobFamily,
    reason::{Notes, Reason, VmLabel},
    throttle::Throttle,
};

/// Index of a worker's slot in the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerKey(u32);

impl Key for WorkerKey {
    fn from_index(index: usize) -> WorkerKey {
        WorkerKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Whether the VM list and the operators' drains allow new work on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Available for new work.
    Live,
    /// Leaving or drained: it gets no new work.
    Draining,
    /// Missing from the VM list since `since`.
    Unlisted { since: Instant },
}

/// The state of a task's allocation on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AllocationState {
    /// Capacity is reserved until the evicted tasks have ended.
    AwaitingEviction,
    /// Capacity is reserved until the ledger shows the placement.
    AwaitingRecord,
    /// A start waits for the next call.
    Queued,
    /// A start is in the outstanding call.
    Sent,
    /// A start was sent and its answer was lost: it may have taken effect.
    Unconfirmed,
    /// The worker reported the task as running.
    Running,
}

/// The capacity of a worker that is allocated to a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allocation {
    pub incarnation: Incarnation,
    pub size: Resources,
    pub state: AllocationState,
    pub removal: Removal,
    /// The share of its processors that was last ordered or reported, in thousandths.
    pub share: u32,
    /// When the capacity was allocated.
    pub since: Instant,
    pub class: Class,
    /// Whether the ledger shows the task's placement as the worker reported it, so that the next
    /// report of the task needs no check.
    pub confirmed: bool,
}

impl AllocationState {
    /// Whether no call has carried the start yet.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(
            self,
            AllocationState::AwaitingEviction
                | AllocationState::AwaitingRecord
                | AllocationState::Queued
        )
    }
}

/// Whether a task is being removed from a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Removal {
    /// The task stays.
    NotPlanned,
    /// The task is out of the routes and is stopped at `stop_at`.
    Unrouted { stop_at: Instant },
    /// A stop or a checkpoint was ordered.
    Ordered,
}

/// The properties of a task's job that matter to placement, stored with the allocation so that a
/// search for tasks to evict needs no look-up of jobs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub family: JobFamily,
    pub priority: Priority,
    pub is_service: bool,
    /// Whether the task may be throttled to a share of its processors.
    pub may_delay: bool,
    /// Whether the task may be checkpointed.
    pub may_evict: bool,
}

impl Class {
    /// The class of a task whose job the ledger does not show any more: the task must be neither
    /// throttled nor evicted.
    pub(crate) const UNKNOWN: Class = Class {
        family: JobFamily(0),
        priority: Priority::Critical,
        is_service: false,
        may_delay: false,
        may_evict: false,
    };
}

/// A call whose answer is outstanding.
#[derive(Debug)]
pub(crate) struct Outstanding {
    pub orders: Vec<Order>,
}

/// A worker of the data centre.
#[derive(Debug)]
pub(crate) struct Worker {
    pub id: VmId,
    pub name: Name,
    /// The name as a shared string for reasons.
    pub label: VmLabel,
    pub rack: u16,
    pub availability: Availability,
    /// Whether the VM list says that the VM is about to be taken away.
    pub leaving: bool,
    pub capacity: Resources,
    /// The sum of the sizes in `allocations`.
    pub allocated: Resources,
    pub allocations: SortedMap<TaskId, Allocation>,
    /// Orders for the next call.
    pub orders: Vec<Order>,
    pub outstanding: Option<Outstanding>,
    /// Whether it has answered under this epoch.
    pub has_answered: bool,
    /// Whether it answered the last call under this epoch.
    pub is_responsive: bool,
    pub called_at: Option<Instant>,
    /// When it is called next, even without orders.
    pub next_call_at: Instant,
    pub notes: Notes,
    pub faults: WorkerFaults,
    pub throttle: Throttle,
    /// The number of allocated tasks of each family.
    pub families: Vec<(JobFamily, u32)>,
    /// No task is evicted for interference before this time.
    pub next_interference_eviction_at: Option<Instant>,
    /// Nothing is learned from usage reports before this time, since reports overlap.
    pub next_learn_at: Instant,
    /// For recent reports, the weight of each family that ran on the worker: the sum of its tasks'
    /// squared shares.
    pub load_history: VecDeque<(Instant, Vec<(JobFamily, f32)>)>,
}

impl Worker {
    pub(crate) fn new(vm: &Vm, now: Instant) -> Worker {
        Worker {
            id: vm.id,
            name: vm.name.clone(),
            label: vm.name.as_str().into(),
            rack: vm.rack,
            availability: Availability::Live,
            leaving: false,
            capacity: vm.capacity,
            allocated: Resources::ZERO,
            allocations: SortedMap::new(),
            orders: Vec::new(),
            outstanding: None,
            has_answered: false,
            is_responsive: false,
            called_at: None,
            next_call_at: now,
            notes: Notes::default(),
            faults: WorkerFaults::default(),
            throttle: Throttle::default(),
            families: Vec::new(),
            next_interference_eviction_at: None,
            next_learn_at: now,
            load_history: VecDeque::new(),
        }
    }

    /// Whether the worker may get new work at all.
    ///
    /// A worker that has not answered under this epoch may run unknown tasks, and a start could
    /// exceed its capacity.
    pub(crate) fn is_open(&self) -> bool {
        self.is_responsive && self.availability == Availability::Live && self.faults.accepts_tasks()
    }

    /// Records and applies a change of the VM list or of the operators' drains.
    pub(crate) fn set_availability(&mut self, now: Instant, availability: Availability) {
        if self.availability == availability {
            return;
        }
        self.availability = availability;
        let is_live = availability == Availability::Live;
        self.notes.add(now, if is_live { Reason::Opened } else { Reason::Draining });
    }

    /// Returns the free capacity; zero if more is allocated than the worker has.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.try_sub(self.allocated).unwrap_or(Resources::ZERO)
    }

    /// Allocates capacity to a task.
    pub(crate) fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        if let Some(old) = self.allocations.insert(task, allocation) {
            self.allocated = self.allocated.try_sub(old.size).unwrap_or(Resources::ZERO);
            self.remove_from_family(old.class.family);
        }
        self.allocated = saturating_add(self.allocated, allocation.size);
        self.add_to_family(allocation.class.family);
    }

    /// Resets the allocated sums before a report is applied.
    pub(crate) fn clear_allocated(&mut self) {
        self.allocated = Resources::ZERO;
        self.families.clear();
    }

    /// Records the current load and drops all entries older than `lag` but the newest of these.
    pub(crate) fn record_load(&mut self, now: Instant, lag: Duration) {
        let mut weights: Vec<(JobFamily, f32)> = Vec::with_capacity(self.families.len());
        for (_, allocation) in self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.state == AllocationState::Running)
        {
            let share = allocation.share as f32 / 1000.0;
            match weights.iter_mut().find(|(family, _)| *family == allocation.class.family) {
                Some((_, weight)) => *weight += share * share,
                None => weights.push((allocation.class.family, share * share)),
            }
        }
        self.load_history.push_back((now, weights));
        while self.load_history.len() > 1 && self.load_history[1].0 + lag <= now {
            self.load_history.pop_front();
        }
    }

    /// Returns the allocated capacity without that of tasks that await an eviction.
    pub(crate) fn allocated_without_awaiting(&self) -> Resources {
        let allocations = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.state != AllocationState::AwaitingEviction);
        allocations.map(|(_, allocation)| allocation.size).fold(Resources::ZERO, saturating_add)
    }

    fn add_to_family(&mut self, family: JobFamily) {
        match self.families.iter_mut().find(|(it, _)| *it == family) {
            Some((_, count)) => *count += 1,
            None => self.families.push((family, 1)),
        }
    }

    fn remove_from_family(&mut self, family: JobFamily) {
        let Some(at) = self.families.iter().position(|(it, _)| *it == family) else { return };
        self.families[at].1 -= 1;
        if self.families[at].1 == 0 {
            self.families.swap_remove(at);
        }
    }

    /// Frees the capacity of a task.
    pub(crate) fn release(&mut self, task: TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        self.allocated = self.allocated.try_sub(allocation.size).unwrap_or(Resources::ZERO);
        self.remove_from_family(allocation.class.family);
        Some(allocation)
    }
}

/// Returns the sum with each resource saturated: an implausible report must not wrap around to
/// free capacity.
pub(crate) fn saturating_add(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.saturating_add(b.cpu_milli),
        memory_mib: a.memory_mib.saturating_add(b.memory_mib),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}
