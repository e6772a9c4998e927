//! Runs a holder over a modelled fleet and a log that folds at once, and measures the holder's time.

use std::time::{Duration, Instant as RealInstant};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_model::{
    Change, Command, DcId, Epoch, Instant, JobId, JobKind, JobSpec, Name, Priority, Resources,
    Tolerance, Vm, VmId, VmRole, VmStatus, WallTime,
};
use daisy_placement::{Action, Event, Holder, Options};

use super::{WorkerFleet, worker::TaskProfile};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two states of the ledger passed to the holder.
const TICKS_PER_FOLD: u64 = 2;
/// Ticks between two VM lists.
const TICKS_PER_VM_LIST: u64 = 10;
/// Duration of the leases that the holder grants to workers.
pub const LEASE_DURATION: Duration = Duration::from_secs(30);

/// Time spent in a holder, by the kind of event it handled.
#[derive(Debug, Clone, Copy, Default)]
pub struct HolderTime {
    /// Time for VM lists.
    pub list: Duration,
    /// Time for states of the ledger.
    pub fold: Duration,
    /// Time for workers' reports.
    pub report: Duration,
    /// Time for ticks.
    pub tick: Duration,
}

impl HolderTime {
    /// Returns the time for all kinds of events.
    pub fn sum(&self) -> Duration {
        self.list + self.fold + self.report + self.tick
    }
}

/// A holder, its workers and its log.
#[derive(Debug)]
pub struct HolderDriver {
    pub now: Instant,
    pub fleet: WorkerFleet,
    pub holder: Holder,
    pub state: State,
    /// Time spent in the holder.
    pub time_spent: HolderTime,
    vms: Vec<Vm>,
    ticks: u64,
    append_seq: u64,
    /// Records that the holder has appended and that are not folded yet.
    pending_records: Vec<Record>,
}

impl HolderDriver {
    /// Creates a holder that has claimed the data centre of `fleet`, with options that
    /// `adjust_options` may change.
    pub fn new(
        fleet: WorkerFleet,
        capacity: Resources,
        adjust_options: impl FnOnce(&mut Options),
    ) -> HolderDriver {
        let vms = (0..fleet.len()).map(|at| worker_vm(at, capacity)).collect();
        let options = Options::new(DcId(0), Epoch(0), LEASE_DURATION, 1);
        let mut driver = HolderDriver {
            now: Instant::from_millis(1_000),
            fleet,
            holder: Holder::new(options),
            state: State::default(),
            time_spent: HolderTime::default(),
            vms,
            ticks: 0,
            append_seq: 0,
            pending_records: Vec::new(),
        };
        driver.append(quota_record());
        let offset = driver.append(Record::Claim { dc: DcId(0), holder: VmId(9_000) });
        let mut options = Options::new(DcId(0), Epoch(offset + 1), LEASE_DURATION, 1);
        adjust_options(&mut options);
        driver.holder = Holder::new(options);
        driver
    }

    /// Creates a job whose tasks behave as `profile` says.
    pub fn create_job(
        &mut self,
        text: &str,
        tasks: u32,
        size: Resources,
        profile: TaskProfile,
    ) -> JobId {
        let job = self.state.jobs.next_id();
        self.fleet.set_profile(job, profile);
        self.append(create_job_record(text, tasks, size, profile));
        job
    }

    fn append(&mut self, record: Record) -> u64 {
        let offset = self.state.next;
        self.append_seq += 1;
        let id = AppendId { sender: 1, seq: self.append_seq };
        self.state.apply(offset, &Batch { id, records: vec![record] });
        offset.0
    }

    /// Advances by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    /// Advances by one tick.
    pub fn tick(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        self.ticks += 1;
        self.fleet.advance(self.now, TICK_INTERVAL.as_secs_f32());
        let mut actions = Vec::new();
        let started_at = RealInstant::now();
        if self.ticks.is_multiple_of(TICKS_PER_VM_LIST) || self.ticks == 1 {
            self.holder.step(self.now, Event::Vms(&self.vms), &mut actions);
        }
        self.time_spent.list += started_at.elapsed();
        if self.ticks.is_multiple_of(TICKS_PER_FOLD) {
            for record in std::mem::take(&mut self.pending_records) {
                self.append(record);
            }
            let started_at = RealInstant::now();
            self.holder.step(self.now, Event::Ledger(&self.state), &mut actions);
            self.time_spent.fold += started_at.elapsed();
        }
        let started_at = RealInstant::now();
        self.holder.step(self.now, Event::Tick, &mut actions);
        self.time_spent.tick += started_at.elapsed();
        self.carry_out(actions);
    }

    fn carry_out(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::Append(record) => self.pending_records.push(record),
                Action::Call { vm, call } => {
                    let report = self.fleet.call(self.now, vm.0 as usize, &call);
                    let started_at = RealInstant::now();
                    let event = Event::Report { vm, report: &report };
                    self.holder.step(self.now, event, &mut actions);
                    self.time_spent.report += started_at.elapsed();
                }
            }
        }
    }
}

/// Returns an operator's statement that gives the only team a practically unlimited quota.
pub fn quota_record() -> Record {
    let limit = Resources { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
    change_record(Command::Quota { team: name("team"), limit })
}

/// Returns an operator's statement that creates a job whose kind is that of `profile`.
pub fn create_job_record(text: &str, tasks: u32, size: Resources, profile: TaskProfile) -> Record {
    change_record(Command::Create(job_spec(text, tasks, size, profile)))
}

fn change_record(command: Command) -> Record {
    Record::Change(Change {
        who: name("ana"),
        at: WallTime(0),
        text: "measured".into(),
        command,
        condition: None,
    })
}

fn name(text: &str) -> Name {
    Name::new(text).expect("names of the measurements are valid")
}

fn job_spec(text: &str, tasks: u32, size: Resources, profile: TaskProfile) -> JobSpec {
    let service = profile.is_service;
    JobSpec {
        name: name(text),
        team: name("team"),
        kind: if service { JobKind::Service } else { JobKind::Batch },
        tasks,
        size,
        priority: if service { Priority::Critical } else { Priority::Normal },
        tolerance: Tolerance { delay: !service, evict: !service, refuse: false },
        restartable: true,
        run_time: None,
        data_centres: Vec::new(),
        region_bytes: 0,
    }
}

/// Returns the VM record of worker `at`.
pub fn worker_vm(at: usize, capacity: Resources) -> Vm {
    let addr = ([127, 0, 0, 1], 1).into();
    Vm {
        id: VmId(at as u32),
        name: name(&format!("w-{at}")),
        dc: DcId(0),
        rack: (at / 11) as u16,
        role: VmRole::Worker,
        status: VmStatus::Live,
        control: addr,
        backend: Some(addr),
        capacity,
    }
}

/// Returns the VM record of an entry VM.
pub fn entry_vm(id: VmId) -> Vm {
    Vm { id, name: name(&format!("e-{id}")), role: VmRole::Entry, ..worker_vm(0, Resources::ZERO) }
}
