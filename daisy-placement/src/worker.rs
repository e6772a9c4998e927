//! What a holder knows of one worker.

use std::{collections::VecDeque, time::Duration};

use daisy_model::{
    Incarnation, Instant, Key, Name, Order, Priority, Resources, SortedMap, TaskId, Vm, VmId,
};

use crate::{
    fault::Faults,
    kind::Kind,
    reason::{Label, Notes, Reason},
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
pub(crate) enum Standing {
    /// In use.
    Live,
    /// Leaving or drained: nothing new goes there.
    Draining,
    /// Missing from the VM list since.
    Unlisted { since: Instant },
}

/// How sure it is that a worker holds a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Room is kept for when tasks that were ordered off the worker have gone.
    Awaiting,
    /// Room is kept until the ledger shows the placement.
    Reserved,
    /// A start waits for the next call.
    Queued,
    /// A start is in the outstanding call.
    Sent,
    /// A start was sent and its answer was lost: it may have taken effect.
    Maybe,
    /// Reported by the worker.
    Running,
}

/// A task's room on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub incarnation: Incarnation,
    pub size: Resources,
    pub hold: Hold,
    pub ending: Ending,
    /// The share last ordered or reported, in thousandths.
    pub share: u32,
    /// When the room was taken.
    pub since: Instant,
    pub class: Class,
    /// Reported before, and in the ledger: the next report of it needs no second look.
    pub settled: bool,
}

impl Hold {
    /// Whether no call has carried the start yet.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(self, Hold::Awaiting | Hold::Reserved | Hold::Queued)
    }
}

/// Whether a task is on its way off a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It stays.
    No,
    /// Requests stop going to it; it is stopped at `until`.
    Quiet { until: Instant },
    /// A stop or checkpoint is ordered.
    Ordered,
}

/// What the job of a held task allows, kept with the room so that a search for victims
/// looks at nothing else.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub kind: Kind,
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
        kind: Kind(0),
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
    pub label: Label,
    pub rack: u16,
    pub standing: Standing,
    /// Whether the VM list says that the VM is about to be taken away.
    pub leaving: bool,
    pub capacity: Resources,
    /// What `held` takes together.
    pub allocated: Resources,
    pub held: SortedMap<TaskId, Held>,
    /// Orders for the next call.
    pub orders: Vec<Order>,
    pub outstanding: Option<Outstanding>,
    /// Whether it has answered under this epoch.
    pub heard: bool,
    /// Whether it answered the last call, and so has answered under this epoch.
    pub answers: bool,
    pub called_at: Option<Instant>,
    /// When it is called next, orders or not.
    pub due: Instant,
    pub notes: Notes,
    pub faults: Faults,
    pub throttle: Throttle,
    /// How many tasks of each kind it holds.
    pub kinds: Vec<(Kind, u32)>,
    /// Nothing is made to leave for disturbing services before.
    pub relief_at: Option<Instant>,
    /// Nothing is learnt from its usage before: reports overlap.
    pub learn_at: Instant,
    /// What it held of each kind at its last reports, weighed by share.
    pub past: VecDeque<(Instant, Vec<(Kind, f32)>)>,
}

impl Worker {
    pub(crate) fn new(vm: &Vm, now: Instant) -> Worker {
        Worker {
            id: vm.id,
            name: vm.name.clone(),
            label: vm.name.as_str().into(),
            rack: vm.rack,
            standing: Standing::Live,
            leaving: false,
            capacity: vm.capacity,
            allocated: Resources::ZERO,
            held: SortedMap::new(),
            orders: Vec::new(),
            outstanding: None,
            heard: false,
            answers: false,
            called_at: None,
            due: now,
            notes: Notes::default(),
            faults: Faults::default(),
            throttle: Throttle::default(),
            kinds: Vec::new(),
            relief_at: None,
            learn_at: now,
            past: VecDeque::new(),
        }
    }

    /// Whether new work may go there at all.
    ///
    /// A worker that has not answered under this epoch may run what we do not know of, and
    /// a start there could take more than it holds.
    pub(crate) fn is_open(&self) -> bool {
        self.answers && self.standing == Standing::Live && self.faults.is_open()
    }

    /// Notes and applies a change of the VM list or of operators' drains.
    pub(crate) fn stand(&mut self, now: Instant, standing: Standing) {
        if self.standing == standing {
            return;
        }
        self.standing = standing;
        let is_live = standing == Standing::Live;
        self.notes.add(now, if is_live { Reason::Opened } else { Reason::Draining });
    }

    /// The room that is left; none if more is taken than the worker holds.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.try_sub(self.allocated).unwrap_or(Resources::ZERO)
    }

    /// Counts a task's room as taken.
    pub(crate) fn hold(&mut self, task: TaskId, held: Held) {
        if let Some(old) = self.held.insert(task, held) {
            self.allocated = self.allocated.try_sub(old.size).unwrap_or(Resources::ZERO);
            self.uncount(old.class.kind);
        }
        self.allocated = saturating_add(self.allocated, held.size);
        self.count(held.class.kind);
    }

    /// Forgets what was taken, before a report is taken in.
    pub(crate) fn clear_taken(&mut self) {
        self.allocated = Resources::ZERO;
        self.kinds.clear();
    }

    /// Notes what it holds now, and forgets what is older than `lag` but for the newest.
    pub(crate) fn remember(&mut self, now: Instant, lag: Duration) {
        let mut weights: Vec<(Kind, f32)> = Vec::with_capacity(self.kinds.len());
        for (_, held) in self.held.iter().filter(|(_, held)| held.hold == Hold::Running) {
            let share = held.share as f32 / 1000.0;
            match weights.iter_mut().find(|(kind, _)| *kind == held.class.kind) {
                Some((_, weight)) => *weight += share * share,
                None => weights.push((held.class.kind, share * share)),
            }
        }
        self.past.push_back((now, weights));
        while self.past.len() > 1 && self.past[1].0 + lag <= now {
            self.past.pop_front();
        }
    }

    /// What is taken, without room that is kept for when others have gone.
    pub(crate) fn taken_but_awaiting(&self) -> Resources {
        let held = self.held.iter().filter(|(_, held)| held.hold != Hold::Awaiting);
        held.map(|(_, held)| held.size).fold(Resources::ZERO, saturating_add)
    }

    fn count(&mut self, kind: Kind) {
        match self.kinds.iter_mut().find(|(it, _)| *it == kind) {
            Some((_, count)) => *count += 1,
            None => self.kinds.push((kind, 1)),
        }
    }

    fn uncount(&mut self, kind: Kind) {
        let Some(at) = self.kinds.iter().position(|(it, _)| *it == kind) else { return };
        self.kinds[at].1 -= 1;
        if self.kinds[at].1 == 0 {
            self.kinds.swap_remove(at);
        }
    }

    /// Gives a task's room back.
    pub(crate) fn let_go(&mut self, task: TaskId) -> Option<Held> {
        let held = self.held.remove(&task)?;
        self.allocated = self.allocated.try_sub(held.size).unwrap_or(Resources::ZERO);
        self.uncount(held.class.kind);
        Some(held)
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
