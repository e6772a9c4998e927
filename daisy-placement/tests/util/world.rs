//! A driver of a holder with a log and workers.

use std::time::Duration;

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_model::{
    Change, Command, DcId, Epoch, Instant, JobId, JobSpec, Resources, SortedMap, TaskId, Vm, VmId,
    WallTime, WorkerCall, WorkerReport,
};
use daisy_placement::{Action, Event, Holder, Options};

use super::{FakeWorker, name, quota, vm};

pub const LEASE: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(100);

/// The fold of a log, some workers, and at most one acting holder.
#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub state: State,
    pub vms: Vec<Vm>,
    pub workers: SortedMap<VmId, FakeWorker>,
    pub holder: Holder,
    /// Workers that no call reaches.
    pub unreachable: Vec<VmId>,
    /// Workers whose next answer is lost after the call took effect.
    pub lost_answers: Vec<VmId>,
    /// Calls that did not arrive in time and that a test may deliver later.
    pub late_calls: Vec<(VmId, WorkerCall)>,
    pub log_up: bool,
    pub records: Vec<Record>,
    seq: u64,
}

/// Returns a call without orders.
pub fn empty_call(epoch: Epoch) -> WorkerCall {
    WorkerCall { epoch, lease: LEASE, orders: Vec::new() }
}

pub fn task(job: u32, index: u32) -> TaskId {
    TaskId { job: JobId(job), index }
}

impl World {
    /// Creates workers numbered from 1 with equal capacity, a team with unlimited quota, and a
    /// holder.
    pub fn new(workers: u32, capacity: Resources) -> World {
        let vms: Vec<Vm> = (1..=workers).map(|id| vm(id, capacity)).collect();
        let mut world = World {
            now: Instant::from_millis(1_000),
            state: State::default(),
            workers: vms.iter().map(|vm| (vm.id, FakeWorker::new(capacity))).collect(),
            vms,
            holder: Holder::new(Options::new(DcId(0), Epoch(0), LEASE, 7)),
            unreachable: Vec::new(),
            lost_answers: Vec::new(),
            late_calls: Vec::new(),
            log_up: true,
            records: Vec::new(),
            seq: 0,
        };
        let most = Resources { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
        world.command(quota(most));
        world.replace_holder();
        world
    }

    /// Claims the data centre with options that a test changes.
    pub fn hold_with(&mut self, change: impl FnOnce(&mut Options)) {
        let offset = self.append(Record::Claim { dc: DcId(0), holder: VmId(900) });
        let mut options = Options::new(DcId(0), Epoch(offset + 1), LEASE, 7);
        change(&mut options);
        self.holder = Holder::new(options);
    }

    /// Claims the data centre for a new holder and returns the old one.
    pub fn replace_holder(&mut self) -> Holder {
        let offset = self.append(Record::Claim { dc: DcId(0), holder: VmId(900) });
        let options = Options::new(DcId(0), Epoch(offset + 1), LEASE, 7);
        std::mem::replace(&mut self.holder, Holder::new(options))
    }

    pub fn create(&mut self, spec: JobSpec) -> JobId {
        let job = self.state.jobs.next_id();
        self.command(Command::Create(spec));
        assert!(self.state.jobs.get(job).is_some(), "the ledger accepts the fixture's job");
        job
    }

    pub fn command(&mut self, command: Command) {
        let change = Change {
            who: name("ana"),
            at: WallTime(0),
            text: "fixture".into(),
            command,
            condition: None,
        };
        self.append(Record::Change(change));
    }

    /// Folds a record and returns its offset.
    pub fn append(&mut self, record: Record) -> u64 {
        let offset = self.state.next;
        self.seq += 1;
        let id = AppendId { sender: 1, seq: self.seq };
        self.records.push(record.clone());
        self.state.apply(offset, &Batch { id, records: vec![record] });
        offset.0
    }

    /// Delivers the late calls and drops their answers.
    pub fn deliver_late_calls(&mut self) {
        for (vm, call) in std::mem::take(&mut self.late_calls) {
            let now = self.now;
            self.workers.get_mut(&vm).expect("the worker exists").call(now, &call);
        }
    }

    pub fn worker(&mut self, id: u32) -> &mut FakeWorker {
        self.workers.get_mut(&VmId(id)).expect("the worker exists")
    }

    /// Returns the workers that run a task.
    pub fn workers_running(&self, task: TaskId) -> Vec<VmId> {
        self.workers.iter().filter(|(_, it)| it.runs(task)).map(|(id, _)| *id).collect()
    }

    /// Returns the last known reason for a task as text.
    pub fn last_reason(&self, task: TaskId) -> String {
        self.holder.reasons(task).last().map(|it| it.reason.to_string()).unwrap_or_default()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.workers.iter().map(|(_, it)| it.running.len()).sum()
    }

    /// Runs ticks for the time `span`, with every answer and every fold delivered at once.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.tick();
        }
    }

    /// Runs ticks until a worker has started a task, and returns that worker.
    ///
    /// The answer of that call is lost, as if the holder had failed at that moment.
    pub fn run_to_first_start(&mut self) -> VmId {
        for _ in 0..100 {
            self.now = self.now + TICK;
            self.lost_answers = self.vms.iter().map(|vm| vm.id).collect();
            self.tick();
            self.lost_answers.clear();
            let started = self.workers.iter().find(|(_, it)| !it.running.is_empty());
            if let Some((vm, _)) = started {
                return *vm;
            }
        }
        panic!("no worker started anything");
    }

    /// Runs one tick and everything that follows from it.
    pub fn tick(&mut self) {
        let vms = self.vms.clone();
        for (_, worker) in self.workers.iter_mut() {
            worker.lapse(self.now);
        }
        let reachable = self.log_up;
        let mut actions = Vec::new();
        self.holder.step(self.now, Event::Log { reachable }, &mut actions);
        self.holder.step(self.now, Event::Ledger(&self.state), &mut actions);
        self.holder.step(self.now, Event::Vms(&vms), &mut actions);
        self.holder.step(self.now, Event::Tick, &mut actions);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                self.carry_out(action, &mut next);
            }
            actions = next;
        }
    }

    fn carry_out(&mut self, action: Action, next: &mut Vec<Action>) {
        match action {
            Action::Append(record) => {
                assert!(self.log_up, "nothing is appended while the log is down");
                self.append(record);
                self.holder.step(self.now, Event::Ledger(&self.state), next);
            }
            Action::Call { vm, call } => match self.deliver(vm, &call) {
                Ok(report) => {
                    self.holder.step(self.now, Event::Report { vm, report: &report }, next);
                }
                Err(sent) => self.holder.step(self.now, Event::CallFailed { vm, sent }, next),
            },
        }
    }

    /// Returns the answer, or as an error whether the call may have reached the worker.
    fn deliver(&mut self, vm: VmId, call: &WorkerCall) -> Result<WorkerReport, bool> {
        if self.unreachable.contains(&vm) {
            self.late_calls.push((vm, call.clone()));
            return Err(true);
        }
        let Some(worker) = self.workers.get_mut(&vm) else { return Err(false) };
        let report = worker.call(self.now, call);
        match self.lost_answers.iter().position(|it| *it == vm) {
            Some(at) => {
                self.lost_answers.remove(at);
                Err(true)
            }
            None => Ok(report),
        }
    }
}
