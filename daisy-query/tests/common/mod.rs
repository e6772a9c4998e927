#![allow(dead_code, missing_docs)]

use std::time::Duration;

use daisy_language::{Statement, parse};
use daisy_ledger::{AppendId, Batch, Placement, Record, RecordOutcome, State};
use daisy_model::{
    Change, Command, Condition, DcId, Epoch, Incarnation, JobId, Name, Resources, TaskId, Vm, VmId,
    VmRole, VmStatus, WallTime,
};
use daisy_query::{LiveTask, LiveView, LiveWorker, Table, WorkerState, run};

/// A state and a live view with two data centres, an entry VM in each, and three workers of
/// 16 cores and 64 GiB.
pub struct Fixture {
    pub state: State,
    pub live: LiveView,
}

impl Fixture {
    /// Returns a fixture without any declared work.
    pub fn empty() -> Fixture {
        let dcs = vec![name("braga"), name("porto")];
        let vms = [
            vm(1, "entry-1", 0, VmRole::Entry),
            vm(2, "entry-2", 1, VmRole::Entry),
            vm(11, "worker-11", 0, VmRole::Worker),
            vm(12, "worker-12", 0, VmRole::Worker),
            vm(13, "worker-13", 1, VmRole::Worker),
        ];
        let vms = vms.into_iter().map(|vm| (vm.id, vm)).collect();
        let workers = [11, 12, 13].map(|id| (VmId(id), worker(16_000)));
        let workers = workers.into_iter().collect();
        Fixture {
            state: State::default(),
            live: LiveView { dcs, vms, workers, ..LiveView::default() },
        }
    }

    /// Returns a fixture with the team `shop`, the service `stock` and the batch job `renders`, one
    /// task of which runs on `worker-12` in the data centre `braga`.
    pub fn with_running_task() -> Fixture {
        let mut fixture = Fixture::empty();
        fixture.execute("ana", "quota team shop cpu 20 memory 64Gi");
        fixture.execute("ana", "create service stock team shop tasks 2 cpu 2 memory 4Gi");
        fixture
            .execute("rui", "create job renders team shop tasks 3 cpu 500m memory 1Gi may evict");
        let epoch = fixture.claim(0, 1);
        fixture.start(epoch, render_task(0), 12);
        fixture
    }

    pub fn append(&mut self, record: Record) -> RecordOutcome {
        let id = AppendId { sender: 1, seq: self.state.next.0 + 1 };
        let batch = Batch { id, records: vec![record] };
        self.state.apply(self.state.next, &batch).outcomes.remove(0)
    }

    pub fn change(
        &mut self,
        who: &str,
        command: Command,
        condition: Option<Condition>,
    ) -> RecordOutcome {
        let text = Statement::Change { command: command.clone(), condition }.to_string().into();
        // 2026-12-03, with one minute between entries.
        let at = WallTime(1_796_256_000_000 + self.state.next.0 * 60_000);
        self.append(Record::Change(Change { who: name(who), at, text, command, condition }))
    }

    /// Parses `source`, which must be a change, and appends it as a change by `who`.
    pub fn execute(&mut self, who: &str, source: &str) -> RecordOutcome {
        match parse_one(source) {
            Statement::Change { command, condition } => self.change(who, command, condition),
            other => panic!("not a change: {other}"),
        }
    }

    /// Parses and runs `source`, which must be a read-only statement.
    pub fn query(&self, source: &str) -> Table {
        run(&self.state, &self.live, &parse_one(source)).expect("an answer")
    }

    pub fn claim(&mut self, dc: u16, holder: u32) -> Epoch {
        match self.append(Record::Claim { dc: DcId(dc), holder: VmId(holder) }) {
            RecordOutcome::Claimed(epoch) => epoch,
            other => panic!("{other:?}"),
        }
    }

    /// Checks a task out in `braga`, and records that it has run on a worker for 35 s.
    pub fn start(&mut self, epoch: Epoch, task: TaskId, vm: u32) {
        let (dc, vm, incarnation) = (DcId(0), VmId(vm), Incarnation(1));
        self.append(Record::Checkout { dc, epoch, tasks: vec![task] });
        let placements = vec![Placement { task, incarnation, vm }];
        self.append(Record::Placed { dc, epoch, placements });
        let run_time = Duration::from_secs(35);
        self.live.tasks.insert(task, LiveTask { incarnation, vm, share: 400, run_time });
    }
}

pub fn parse_one(source: &str) -> Statement {
    parse(source).unwrap_or_else(|e| panic!("{}", e.render(source))).remove(0)
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Returns the id of a task of the job `renders`.
pub fn render_task(index: u32) -> TaskId {
    TaskId { job: JobId(1), index }
}

pub fn capacity(cpu_milli: u32) -> Resources {
    Resources { cpu_milli, memory_mib: 65_536, accelerators: 0 }
}

pub fn worker(cpu_milli: u32) -> LiveWorker {
    let capacity = capacity(cpu_milli);
    LiveWorker { capacity, free: capacity, tasks: 0, state: WorkerState::Ready }
}

fn vm(id: u32, text: &str, dc: u16, role: VmRole) -> Vm {
    Vm {
        id: VmId(id),
        name: name(text),
        dc: DcId(dc),
        rack: 1,
        role,
        status: VmStatus::Live,
        control: ([127, 0, 0, 1], 7_000).into(),
        backend: None,
        capacity: capacity(16_000),
    }
}

/// Returns whether a row of the table, with its cells joined by `: `, contains `text`.
pub fn contains_line(table: &Table, text: &str) -> bool {
    table.rows.iter().any(|row| row.join(": ").contains(text))
}

/// Asserts that each of `texts` is contained in some row of the table.
pub fn assert_contains(table: &Table, texts: &[&str]) {
    for text in texts {
        assert!(contains_line(table, text), "'{text}' is not in\n{table}");
    }
}
