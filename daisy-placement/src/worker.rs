//! What a holder knows of one worker.

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

/// The slot of a worker.
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

/// Whether the platform keeps a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// In use.
    Live,
    /// Leaving or drained: nothing new goes there.
    Draining,
    /// Missing from the VM list since.
    Unlisted { since: Instant },
}

/// How sure it is that a worker holds a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AllocationState {
    /// Room is kept for when tasks that were ordered off the worker have gone.
    AwaitingEviction,
    /// Room is kept until the ledger shows the placement.
    AwaitingRecord,
    /// A start waits for the next call.
    Queued,
    /// A start is in the outstanding call.
    Sent,
    /// A start was sent and its answer was lost: it may have taken effect.
    Unconfirmed,
    /// Reported by the worker.
    Running,
}

/// A task's room on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allocation {
    pub incarnation: Incarnation,
    pub size: Resources,
    pub state: AllocationState,
    pub removal: Removal,
    /// The share last ordered or reported, in thousandths.
    pub share: u32,
    /// When the room was taken.
    pub since: Instant,
    pub class: Class,
    /// Reported before, and in the ledger: the next report of it needs no second look.
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

/// Whether a task is on its way off a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Removal {
    /// It stays.
    NotPlanned,
    /// Requests stop going to it; it is stopped at `stop_at`.
    Unrouted { stop_at: Instant },
    /// A stop or checkpoint is ordered.
    Ordered,
}

/// What the job of a held task allows, kept with the room so that a search for victims
/// looks at nothing else.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub family: JobFamily,
    pub priority: Priority,
    pub service: bool,
    /// May be limited to a share of its processors.
    pub delay: bool,
    /// May be checkpointed.
    pub evict: bool,
}

impl Class {
    /// Of a job that the ledger does not show any more: nothing may be done to it.
    pub(crate) const UNKNOWN: Class = Class {
        family: JobFamily(0),
        priority: Priority::Critical,
        service: false,
        delay: false,
        evict: false,
    };
}

/// A call that waits for its answer.
#[derive(Debug)]
pub(crate) struct Outstanding {
    pub orders: Vec<Order>,
}

/// One worker of the data centre.
#[derive(Debug)]
pub(crate) struct Worker {
    pub id: VmId,
    pub name: Name,
    /// The name again, for notes.
    pub label: VmLabel,
    pub rack: u16,
    pub availability: Availability,
    /// Whether the VM list says that the VM is about to be taken away.
    pub leaving: bool,
    pub capacity: Resources,
    /// What `allocation` takes together.
    pub allocated: Resources,
    pub allocations: SortedMap<TaskId, Allocation>,
    /// Orders for the next call.
    pub orders: Vec<Order>,
    pub outstanding: Option<Outstanding>,
    /// Whether it has answered under this epoch.
    pub has_answered: bool,
    /// Whether it answered the last call, and so has answered under this epoch.
    pub is_responsive: bool,
    pub called_at: Option<Instant>,
    /// When it is called next, orders or not.
    pub next_call_at: Instant,
    pub notes: Notes,
    pub faults: WorkerFaults,
    pub throttle: Throttle,
    /// How many tasks of each kind it holds.
    pub families: Vec<(JobFamily, u32)>,
    /// Nothing is made to leave for disturbing services before.
    pub next_relief_at: Option<Instant>,
    /// Nothing is learnt from its usage before: reports overlap.
    pub next_learn_at: Instant,
    /// What it held of each kind at its last reports, weighed by share.
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
            next_relief_at: None,
            next_learn_at: now,
            load_history: VecDeque::new(),
        }
    }

    /// Whether new work may go there at all.
    ///
    /// A worker that has not answered under this epoch may run what we do not know of, and
    /// a start there could take more than it holds.
    pub(crate) fn is_open(&self) -> bool {
        self.is_responsive && self.availability == Availability::Live && self.faults.is_open()
    }

    /// Notes and applies a change of the VM list or of operators' drains.
    pub(crate) fn set_availability(&mut self, now: Instant, availability: Availability) {
        if self.availability == availability {
            return;
        }
        self.availability = availability;
        let is_live = availability == Availability::Live;
        self.notes.add(now, if is_live { Reason::Opened } else { Reason::Draining });
    }

    /// The room that is left; none if more is taken than the worker holds.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.try_sub(self.allocated).unwrap_or(Resources::ZERO)
    }

    /// Counts a task's room as taken.
    pub(crate) fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        if let Some(old) = self.allocations.insert(task, allocation) {
            self.allocated = self.allocated.try_sub(old.size).unwrap_or(Resources::ZERO);
            self.uncount(old.class.family);
        }
        self.allocated = saturating_add(self.allocated, allocation.size);
        self.count(allocation.class.family);
    }

    /// Forgets what was taken, before a report is taken in.
    pub(crate) fn clear_taken(&mut self) {
        self.allocated = Resources::ZERO;
        self.families.clear();
    }

    /// Notes what it holds now, and forgets what is older than `lag` but for the newest.
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

    /// What is taken, without room that is kept for when others have gone.
    pub(crate) fn allocated_without_awaiting(&self) -> Resources {
        let allocation = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.state != AllocationState::AwaitingEviction);
        allocation.map(|(_, allocation)| allocation.size).fold(Resources::ZERO, saturating_add)
    }

    fn count(&mut self, family: JobFamily) {
        match self.families.iter_mut().find(|(it, _)| *it == family) {
            Some((_, count)) => *count += 1,
            None => self.families.push((family, 1)),
        }
    }

    fn uncount(&mut self, family: JobFamily) {
        let Some(at) = self.families.iter().position(|(it, _)| *it == family) else { return };
        self.families[at].1 -= 1;
        if self.families[at].1 == 0 {
            self.families.swap_remove(at);
        }
    }

    /// Gives a task's room back.
    pub(crate) fn release(&mut self, task: TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(&task)?;
        self.allocated = self.allocated.try_sub(allocation.size).unwrap_or(Resources::ZERO);
        self.uncount(allocation.class.family);
        Some(allocation)
    }
}

/// The sum with each part bounded: an unbelievable report must not wrap round to free room.
pub(crate) fn saturating_add(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.saturating_add(b.cpu_milli),
        memory_mib: a.memory_mib.saturating_add(b.memory_mib),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}
