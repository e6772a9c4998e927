#![allow(dead_code, missing_docs)]

pub mod script;

use daisy_ledger::{AppendId, Applied, Batch, Record, RecordOutcome, State};
use daisy_model::{
    Change, Command, Condition, DcId, Epoch, Exit, ExitReport, Generation, Incarnation, JobId,
    JobKind, JobSpec, Name, Priority, Resources, TaskId, Tolerance, VmId, WallTime,
};

pub const DC: DcId = DcId(0);
pub const OTHER_DC: DcId = DcId(1);

/// A log that folds each append at once.
pub struct Log {
    pub state: State,
    pub entries: Vec<Batch>,
}

impl Log {
    pub fn new() -> Log {
        Log { state: State::default(), entries: Vec::new() }
    }

    /// Returns a log with the team `bakery`, whose quota has 100 cores.
    pub fn with_team() -> Log {
        let mut log = Log::new();
        log.change(quota("bakery", size(100_000, 100_000)));
        log
    }

    pub fn append(&mut self, batch: Batch) -> Applied {
        let applied = self.state.apply(self.state.next, &batch);
        self.entries.push(batch);
        applied
    }

    pub fn record(&mut self, record: Record) -> RecordOutcome {
        let id = AppendId { sender: 1, seq: self.entries.len() as u64 + 1 };
        self.append(Batch { id, records: vec![record] }).outcomes.remove(0)
    }

    pub fn change(&mut self, command: Command) -> RecordOutcome {
        self.record(Record::Change(change("ana", command)))
    }

    pub fn change_if(
        &mut self,
        who: &str,
        command: Command,
        generation: Generation,
    ) -> RecordOutcome {
        let condition = Some(Condition { generation });
        self.record(Record::Change(Change { condition, ..change(who, command) }))
    }

    pub fn claim(&mut self, dc: DcId, holder: u32) -> Epoch {
        match self.record(Record::Claim { dc, holder: VmId(holder) }) {
            RecordOutcome::Claimed(epoch) => epoch,
            other => panic!("not claimed: {other:?}"),
        }
    }

    pub fn checkout(&mut self, dc: DcId, epoch: Epoch, tasks: &[TaskId]) -> Vec<TaskId> {
        match self.record(Record::Checkout { dc, epoch, tasks: tasks.to_vec() }) {
            RecordOutcome::Granted(tasks) => tasks,
            _ => Vec::new(),
        }
    }

    pub fn end(
        &mut self,
        dc: DcId,
        epoch: Epoch,
        task: TaskId,
        incarnation: u32,
        exit: Exit,
    ) -> RecordOutcome {
        let ended = ExitReport { task, incarnation: Incarnation(incarnation), exit };
        self.record(Record::Ended { dc, epoch, exits: vec![ended] })
    }
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub fn size(cpu_milli: u32, memory_mib: u32) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators: 0 }
}

pub fn task(job: u32, index: u32) -> TaskId {
    TaskId { job: JobId(job), index }
}

pub fn change(who: &str, command: Command) -> Change {
    let text = format!("{command:?}").into();
    Change { who: name(who), at: WallTime(1_000), text, command, condition: None }
}

pub fn quota(team: &str, limit: Resources) -> Command {
    Command::Quota { team: name(team), limit }
}

pub fn cancel(job: &str) -> Command {
    Command::Cancel { kind: JobKind::Batch, job: name(job) }
}

/// Returns a batch job of team `bakery`: one core and 1 GiB per task, not restartable.
pub fn batch_job(job: &str, tasks: u32) -> JobSpec {
    JobSpec {
        name: name(job),
        team: name("bakery"),
        kind: JobKind::Batch,
        tasks,
        size: size(1_000, 1_024),
        priority: Priority::Normal,
        tolerance: Tolerance { delay: true, evict: true, refuse: false },
        restartable: false,
        run_time: None,
        data_centres: Vec::new(),
        region_bytes: 0,
    }
}

pub fn service(job: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Critical,
        restartable: true,
        ..batch_job(job, tasks)
    }
}
