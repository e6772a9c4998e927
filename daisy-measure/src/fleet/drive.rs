//! Drives a holder over a fleet and a folding log, and takes the holder's processor time.

use std::time::{Duration, Instant as Clock};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_model::{
    Change, Command, DcId, Epoch, Instant, JobId, JobKind, JobSpec, Name, Priority, Resources,
    Tolerance, Vm, VmId, VmRole, VmStatus, WallTime,
};
use daisy_placement::{Action, Event, Holder, Options};

use super::{Fleet, worker::Nature};

const TICK: Duration = Duration::from_millis(100);
/// Between two folds shown to the holder, in ticks.
const FOLD_TICKS: u64 = 2;
/// Between two VM lists, in ticks.
const LIST_TICKS: u64 = 10;
pub const LEASE: Duration = Duration::from_secs(30);

/// Processor time of a holder by what it was told.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spent {
    pub list: Duration,
    pub fold: Duration,
    pub report: Duration,
    pub tick: Duration,
}

impl Spent {
    pub fn sum(&self) -> Duration {
        self.list + self.fold + self.report + self.tick
    }
}

/// A holder, its workers and its log.
#[derive(Debug)]
pub struct Drive {
    pub now: Instant,
    pub fleet: Fleet,
    pub holder: Holder,
    pub state: State,
    /// Processor time spent in the holder.
    pub spent: Spent,
    vms: Vec<Vm>,
    ticks: u64,
    seq: u64,
    appended: Vec<Record>,
}

impl Drive {
    /// A holder that has claimed the data centre of `fleet`.
    pub fn new(fleet: Fleet, capacity: Resources, change: impl FnOnce(&mut Options)) -> Drive {
        let vms = (0..fleet.len()).map(|at| vm(at, capacity)).collect();
        let options = Options::new(DcId(0), Epoch(0), LEASE, 1);
        let mut drive = Drive {
            now: Instant::from_millis(1_000),
            fleet,
            holder: Holder::new(options),
            state: State::default(),
            spent: Spent::default(),
            vms,
            ticks: 0,
            seq: 0,
            appended: Vec::new(),
        };
        drive.append(quota());
        let offset = drive.append(Record::Claim { dc: DcId(0), holder: VmId(9_000) });
        let mut options = Options::new(DcId(0), Epoch(offset + 1), LEASE, 1);
        change(&mut options);
        drive.holder = Holder::new(options);
        drive
    }

    /// Declares a job of a nature.
    pub fn declare(&mut self, text: &str, tasks: u32, size: Resources, nature: Nature) -> JobId {
        let job = self.state.jobs.next_id();
        self.fleet.declare(job, nature);
        self.append(create(text, tasks, size, nature));
        job
    }

    fn append(&mut self, record: Record) -> u64 {
        let offset = self.state.next;
        self.seq += 1;
        let id = AppendId { sender: 1, seq: self.seq };
        self.state.apply(offset, &Batch { id, records: vec![record] });
        offset.0
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.ticks += 1;
        self.fleet.advance(self.now, TICK.as_secs_f32());
        let mut todo = Vec::new();
        let started = Clock::now();
        if self.ticks.is_multiple_of(LIST_TICKS) || self.ticks == 1 {
            self.holder.step(self.now, Event::Vms(&self.vms), &mut todo);
        }
        self.spent.list += started.elapsed();
        if self.ticks.is_multiple_of(FOLD_TICKS) {
            for record in std::mem::take(&mut self.appended) {
                self.append(record);
            }
            let started = Clock::now();
            self.holder.step(self.now, Event::Ledger(&self.state), &mut todo);
            self.spent.fold += started.elapsed();
        }
        let started = Clock::now();
        self.holder.step(self.now, Event::Tick, &mut todo);
        self.spent.tick += started.elapsed();
        self.act(todo);
    }

    fn act(&mut self, mut todo: Vec<Action>) {
        while let Some(action) = todo.pop() {
            match action {
                Action::Append(record) => self.appended.push(record),
                Action::Call { vm, call } => {
                    let report = self.fleet.call(self.now, vm.0 as usize, &call);
                    let started = Clock::now();
                    let event = Event::Report { vm, report: &report };
                    self.holder.step(self.now, event, &mut todo);
                    self.spent.report += started.elapsed();
                }
            }
        }
    }
}

/// An operator's statement that gives the one team a quota without an end.
pub fn quota() -> Record {
    let limit = Resources { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };
    change(Command::Quota { team: name("team"), limit })
}

/// An operator's statement that creates a job of a nature.
pub fn create(text: &str, tasks: u32, size: Resources, nature: Nature) -> Record {
    change(Command::Create(spec(text, tasks, size, nature)))
}

fn change(command: Command) -> Record {
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

fn spec(text: &str, tasks: u32, size: Resources, nature: Nature) -> JobSpec {
    let service = nature.service;
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

/// A worker.
pub fn vm(at: usize, capacity: Resources) -> Vm {
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

/// An entry VM.
pub fn entry_vm(id: VmId) -> Vm {
    Vm { id, name: name(&format!("e-{id}")), role: VmRole::Entry, ..vm(0, Resources::ZERO) }
}
