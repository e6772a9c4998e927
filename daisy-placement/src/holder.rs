//! The holder of a data centre: its inputs, its actions and its main step.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use daisy_ledger::{Record, State};
use daisy_model::{
    Epoch, Instant, JobId, Name, Policy, Resources, SortedMap, TaskId, Vm, VmId, WorkClass,
    WorkerCall, WorkerReport,
};

use crate::{
    interference::Interference,
    job::JobView,
    job_family::JobFamilies,
    options::Options,
    place::QueueEntry,
    reason::Notes,
    records::Outbox,
    roster::Roster,
    task::{LocalTask, Phase},
    worker::{Worker, WorkerKey},
};

/// An input of a [`Holder`].
#[derive(Debug)]
pub enum Event<'a> {
    /// The fold of the log has advanced.
    Ledger(&'a State),
    /// The platform's complete VM list.
    Vms(&'a [Vm]),
    /// A worker answered the outstanding call.
    ///
    /// An answer must not be passed on after `CallFailed` was passed for its call.
    Report {
        /// The worker.
        vm: VmId,
        /// The worker's answer.
        report: &'a WorkerReport,
    },
    /// A worker has something to report, such as a task that ended; it is called at once.
    WorkerUpdate {
        /// The worker.
        vm: VmId,
    },
    /// The outstanding call got no answer.
    CallFailed {
        /// The worker.
        vm: VmId,
        /// Whether the call may have reached the worker.
        sent: bool,
    },
    /// Whether the log accepts appends; it is assumed to accept them until the first event of this
    /// kind.
    Log {
        /// Whether the last append was answered.
        reachable: bool,
    },
    /// Time has passed; sent at least every 100 ms.
    Tick,
}

/// An action that a holder requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a record to the log; retried under the same append id until the log accepts it.
    Append(Record),
    /// Call a worker; each worker has at most one outstanding call.
    ///
    /// Each call is followed by exactly one `Report` or `CallFailed` event of that worker.
    Call {
        /// The worker.
        vm: VmId,
        /// The call.
        call: WorkerCall,
    },
}

/// The interval between checks of slowly changing state: for example leaving and lost VMs, and
/// tasks to return.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// How long new work is packed after a task found no capacity.
const PACKING_PERIOD: Duration = Duration::from_secs(60);

/// The holder of one data centre's workers.
///
/// It acts once it has received a [`State`] and a VM list, and stops for good as soon as a
/// worker or the ledger shows a higher epoch.
#[derive(Debug)]
pub struct Holder {
    pub(crate) options: Options,
    pub(crate) superseded: bool,
    pub(crate) log_reachable: bool,
    pub(crate) ledger_seen: bool,
    pub(crate) first_step_at: Option<Instant>,
    pub(crate) roster: Roster,
    /// Jobs with tasks that have not ended.
    pub(crate) jobs: SortedMap<JobId, JobView>,
    /// The recorded reasons of tasks whose jobs are over, oldest first.
    pub(crate) retired: VecDeque<(TaskId, Notes)>,
    /// All jobs below this id have been added.
    pub(crate) next_job: JobId,
    pub(crate) paused: Vec<WorkClass>,
    pub(crate) drained: Vec<Name>,
    pub(crate) outbox: Outbox,
    /// Whether capacity or work has changed since the last placement.
    pub(crate) placement_due: bool,
    /// Jobs with waiting tasks, in the order in which their tasks are placed.
    pub(crate) queue: Vec<QueueEntry>,
    /// Tasks checked out under earlier epochs that may run on an unknown worker.
    pub(crate) inherited: Vec<TaskId>,
    /// Whether new information about the inherited tasks has arrived.
    pub(crate) inherited_due: bool,
    /// The policy in force.
    pub(crate) policy: Policy,
    /// The quota and the use of each team, as last shown by the ledger.
    pub(crate) teams: Vec<(Resources, Resources)>,
    pub(crate) families: JobFamilies,
    pub(crate) interference: Interference,
    /// No search for eviction victims takes place before this time.
    pub(crate) next_eviction_search_at: Option<Instant>,
    /// Whether new work is packed rather than spread, because a task recently found no capacity.
    pub(crate) is_packing: bool,
    pub(crate) last_no_capacity_at: Option<Instant>,
    /// The number of waiting batch tasks per worker.
    pub(crate) backlog: f32,
    /// When the next maintenance is due.
    next_maintenance_at: Instant,
}

impl Holder {
    /// Creates a holder that has received no input yet.
    pub fn new(options: Options) -> Holder {
        let roster = Roster::new(options.seed);
        Holder {
            options,
            superseded: false,
            log_reachable: true,
            ledger_seen: false,
            first_step_at: None,
            roster,
            jobs: SortedMap::new(),
            retired: VecDeque::new(),
            next_job: JobId(0),
            paused: Vec::new(),
            drained: Vec::new(),
            outbox: Outbox::default(),
            placement_due: false,
            queue: Vec::new(),
            inherited: Vec::new(),
            inherited_due: false,
            policy: Policy::default(),
            teams: Vec::new(),
            families: JobFamilies::default(),
            interference: Interference::default(),
            next_eviction_search_at: None,
            is_packing: false,
            last_no_capacity_at: None,
            backlog: 0.0,
            next_maintenance_at: Instant(0),
        }
    }

    /// Returns the epoch of this holder, its fencing token.
    pub fn epoch(&self) -> Epoch {
        self.options.epoch
    }

    /// Whether a higher epoch has been seen; the holder then does nothing more.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Handles `event` at time `now` and pushes the actions to carry out.
    pub fn step(&mut self, now: Instant, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        self.first_step_at.get_or_insert(now);
        match event {
            Event::Ledger(state) => self.handle_ledger(now, state),
            Event::Vms(vms) => self.handle_vm_list(now, vms),
            Event::Report { vm, report } => self.handle_report(now, vm, report),
            Event::WorkerUpdate { vm } => self.handle_worker_update(now, vm),
            Event::CallFailed { vm, sent } => self.handle_failed_call(now, vm, sent),
            Event::Log { reachable } => self.log_reachable = reachable,
            Event::Tick if self.is_ready() => self.handle_tick(now),
            Event::Tick => {}
        }
        if self.superseded || !self.is_ready() {
            return;
        }
        self.resolve_inherited(now);
        self.place(now);
        self.append(now, actions);
        self.call_due_workers(now, actions);
    }

    /// Whether both the ledger and the VM list have been received. Without both, a worker's
    /// report could not be matched to its tasks.
    pub(crate) fn is_ready(&self) -> bool {
        self.ledger_seen && self.roster.has_vm_list()
    }

    fn handle_tick(&mut self, now: Instant) {
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.remove_lost_vms(now);
            self.probe_quarantined_workers(now);
            self.evacuate(now);
            self.refuse_overdue(now);
            self.return_unplaced(now);
            self.count_backlog();
            self.is_packing = self.last_no_capacity_at.is_some_and(|at| now < at + PACKING_PERIOD);
            self.interference.decay(MAINTENANCE_INTERVAL);
        }
        self.inherited_due = true;
        self.roster.mark_all_for_call();
        self.check_out_pending(now);
        self.placement_due = true;
    }

    pub(crate) fn local(&self, task: TaskId) -> Option<&LocalTask> {
        self.jobs.get(&task.job)?.tasks.get(task.index as usize)
    }

    pub(crate) fn local_mut(&mut self, task: TaskId) -> Option<&mut LocalTask> {
        let job = self.jobs.get_mut(&task.job)?;
        job.up_to_date = false;
        job.tasks.get_mut(task.index as usize)
    }

    /// Whether a task belongs to a cancelled job or was removed by a change of its job.
    pub(crate) fn is_unwanted(&self, task: TaskId) -> bool {
        self.jobs.get(&task.job).is_none_or(|job| job.cancelled || task.index >= job.spec.tasks)
    }

    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.roster.get_mut(key)
    }

    /// Puts a checked-out task that runs nowhere into the queue.
    pub(crate) fn enqueue(&mut self, now: Instant, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.up_to_date = false;
        let Some(local) = job.tasks.get_mut(task.index as usize) else { return };
        local.phase = Phase::Waiting { since: now };
        local.placement_recorded_at = None;
        job.waiting.push_back(task.index);
        let queue_entry = (Reverse(job.spec.priority), task.job);
        if let Err(at) = self.queue.binary_search(&queue_entry) {
            self.queue.insert(at, queue_entry);
        }
        self.placement_due = true;
    }
}
