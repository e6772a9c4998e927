//! A fleet of holders on a simulated clock, which fills the log as a real one would.

use std::{collections::VecDeque, time::Duration};

use daisy_ledger::{
    AppendId, Batch, Intents, Jobs, Placement, Record, RecordOutcome, State, TaskState,
    append::{Action, Event, Options, Queue},
};
use daisy_model::{
    Change, Command, DcId, Epoch, Exit, ExitReport, Instant, JobId, JobKind, JobSpec, Name, Offset,
    Priority, Resources, TaskId, Tolerance, VmId, WallTime, WorkClass,
};
use hdrhistogram::Histogram;

/// Data centres (the users' size plan).
const DCS: u16 = 6;
const WORKERS: u32 = 790;
const TEAMS: u32 = 29;
const SERVICE_TASKS: u32 = 3_100;
const BATCH_TASKS: u32 = 23_000;
/// Tasks of one service.
const SERVICE_SIZE: u32 = 31;
/// Tasks of one batch job: 62 starts/s from 8,600 jobs a day.
const BATCH_SIZE: u32 = 620;
/// The time of a tick of the simulated clock.
const TICK: Duration = Duration::from_millis(10);
/// From an append to its fold: one way over the region link and back, and the store's time.
const ROUND_TRIP: Duration = Duration::from_millis(30);
/// How often a holder tells placements and exits in bulk.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// The log of a run.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) entries: Vec<(Offset, Vec<u8>)>,
    pub(crate) state: State,
}

impl Traffic {
    pub(crate) fn bytes(&self) -> usize {
        self.entries.iter().map(|(_, bytes)| bytes.len()).sum()
    }
}

#[derive(Debug)]
struct Holder {
    dc: DcId,
    epoch: Epoch,
    queue: Queue,
    /// Appends on their way to the fold.
    sent: VecDeque<(Instant, Batch)>,
    /// Tasks asked for and when.
    asked: Vec<(TaskId, Instant)>,
    running: VecDeque<(TaskId, u32)>,
    placements: Vec<Placement>,
    exits: Vec<ExitReport>,
}

/// All holders, the log and its fold.
#[derive(Debug)]
pub(crate) struct Fleet {
    now: Instant,
    state: State,
    entries: Vec<(Offset, Vec<u8>)>,
    holders: Vec<Holder>,
    grants: Histogram<u64>,
    rng: fastrand::Rng,
    percent: u32,
    seq: u64,
    jobs: u32,
}

impl Fleet {
    /// A fleet of `percent` of the design size whose jobs are declared and that runs nothing.
    pub(crate) fn new(percent: u32, seed: u64, interval: Duration, max_records: usize) -> Fleet {
        let holders = (0..DCS).map(|dc| {
            let options = Options::new(u64::from(dc) + 1, interval);
            let options = Options { max_records: max_records.min(options.max_records), ..options };
            Holder {
                dc: DcId(dc),
                epoch: Epoch(0),
                queue: Queue::new(options),
                sent: VecDeque::new(),
                asked: Vec::new(),
                running: VecDeque::new(),
                placements: Vec::new(),
                exits: Vec::new(),
            }
        });
        let mut fleet = Fleet {
            now: Instant::default(),
            state: State::default(),
            entries: Vec::new(),
            holders: holders.collect(),
            grants: Histogram::new(3).expect("three digits are allowed"),
            rng: fastrand::Rng::with_seed(seed),
            percent,
            seq: 0,
            jobs: 0,
        };
        fleet.declare();
        fleet
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// The log from the end of [`Fleet::warm_up`] on, and times to grants in milliseconds.
    pub(crate) fn into_traffic(self) -> (Traffic, Histogram<u64>) {
        (Traffic { entries: self.entries, state: self.state }, self.grants)
    }

    fn declare(&mut self) {
        for team in 0..TEAMS {
            let limit = Resources {
                cpu_milli: 1_000_000_000,
                memory_mib: 1_000_000_000,
                accelerators: 10_000,
            };
            self.change(Command::Quota { team: name("team", team), limit });
        }
        for _ in 0..SERVICE_TASKS * self.percent / 100 / SERVICE_SIZE {
            self.create(JobKind::Service, SERVICE_SIZE);
        }
        for index in 0..self.holders.len() {
            let (dc, holder) = (self.holders[index].dc, VmId(index as u32));
            if let Some(RecordOutcome::Claimed(epoch)) = self.append(Record::Claim { dc, holder }) {
                self.holders[index].epoch = epoch;
            }
        }
    }

    /// Checks out and places all services and as many batch tasks as run at this size.
    pub(crate) fn warm_up(&mut self) {
        for _ in 0..(BATCH_TASKS * self.percent / 100).div_ceil(BATCH_SIZE) {
            self.create(JobKind::Batch, BATCH_SIZE);
        }
        let pending = self.state.jobs.pending().to_vec();
        for (tasks, index) in pending.chunks(500).zip((0..self.holders.len()).cycle()) {
            let Holder { dc, epoch, .. } = self.holders[index];
            let taken = match self.append(Record::Checkout { dc, epoch, tasks: tasks.to_vec() }) {
                Some(RecordOutcome::Granted(tasks)) => tasks,
                _ => continue,
            };
            let placements: Vec<Placement> =
                taken.iter().map(|&task| self.placement(task)).collect();
            self.append(Record::Placed { dc, epoch, placements });
            let batch = taken.into_iter().filter(|it| is_batch(&self.state, it.job));
            self.holders[index].running.extend(batch.map(|task| (task, 1)));
        }
        self.entries.clear();
    }

    /// Fills all that is kept to a bound: finished jobs, the audit trail, intents; gives the bytes
    /// in the log of one change.
    pub(crate) fn fill(&mut self) -> f64 {
        let tasks = Jobs::MAX_FINISHED_TASKS / Jobs::MAX_FINISHED_JOBS;
        for _ in 0..Jobs::MAX_FINISHED_JOBS {
            let id = self.create(JobKind::Batch, tasks as u32);
            let job = self.state.jobs.get(id).map(|job| job.spec.name.clone());
            let Some(job) = job else { continue };
            self.change(Command::Cancel { kind: JobKind::Batch, job });
        }
        for _ in 0..State::MAX_AUDIT_ENTRIES - 2 * Jobs::MAX_FINISHED_JOBS {
            self.change(Command::Pause(WorkClass::Priority(Priority::Low)));
        }
        let bytes: usize = self.entries.iter().map(|(_, bytes)| bytes.len()).sum();
        let change_bytes = bytes as f64 / self.entries.len() as f64;
        for _ in 0..Intents::MIN_REMEMBERED {
            let key = self.rng.u128(..);
            self.append(Record::Intent { key, entry: VmId(1) });
        }
        self.entries.clear();
        change_bytes
    }

    /// Starts and ends `starts` tasks a second for `seconds`.
    pub(crate) fn run(&mut self, seconds: u64, starts: u32) {
        let end = self.now + Duration::from_secs(seconds);
        let mut due = 0.0;
        let mut tell = self.now + TOLD_EVERY;
        while self.now < end {
            self.now = self.now + TICK;
            due += f64::from(starts) * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.start_one();
            }
            if self.now >= tell {
                tell = tell + TOLD_EVERY;
                self.tell_all();
            }
            for index in 0..self.holders.len() {
                self.deliver(index);
                self.step(index, Event::Tick);
            }
        }
    }

    /// Ends the task that has run longest somewhere, and asks for a pending one there.
    fn start_one(&mut self) {
        let index = self.rng.usize(..self.holders.len());
        let holder = &mut self.holders[index];
        if let Some((task, incarnation)) = holder.running.pop_front() {
            let incarnation = daisy_model::Incarnation(incarnation);
            holder.exits.push(ExitReport { task, incarnation, exit: Exit::Done });
        }
        let Some(task) = self.next_pending() else { return };
        self.holders[index].asked.push((task, self.now));
    }

    /// A pending task that nobody has asked for; declares a job if there is none.
    fn next_pending(&mut self) -> Option<TaskId> {
        let asked = |it: &TaskId| {
            self.holders.iter().any(|holder| holder.asked.iter().any(|(task, _)| task == it))
        };
        let free = self.state.jobs.pending().iter().copied().find(|it| !asked(it));
        free.or_else(|| {
            let job = self.create(JobKind::Batch, BATCH_SIZE);
            Some(TaskId { job, index: 0 })
        })
    }

    /// Pushes what each holder has to tell in bulk.
    fn tell_all(&mut self) {
        for holder in &mut self.holders {
            let (dc, epoch) = (holder.dc, holder.epoch);
            let placements = std::mem::take(&mut holder.placements);
            let exits = std::mem::take(&mut holder.exits);
            if !placements.is_empty() {
                push(&mut holder.queue, Record::Placed { dc, epoch, placements });
            }
            if !exits.is_empty() {
                push(&mut holder.queue, Record::Ended { dc, epoch, exits });
            }
        }
    }

    /// Folds appends that have reached the log.
    fn deliver(&mut self, index: usize) {
        while let Some((at, batch)) = self.holders[index].sent.pop_front() {
            if at > self.now {
                self.holders[index].sent.push_front((at, batch));
                return;
            }
            let id = batch.id;
            for outcome in self.fold(batch) {
                if let RecordOutcome::Granted(tasks) = outcome {
                    self.granted(index, &tasks);
                }
            }
            self.step(index, Event::Folded { id });
        }
    }

    fn granted(&mut self, index: usize, tasks: &[TaskId]) {
        for &task in tasks {
            let placement = self.placement(task);
            let holder = &mut self.holders[index];
            let Some(at) = holder.asked.iter().position(|(it, _)| *it == task) else { continue };
            let (_, since) = holder.asked.swap_remove(at);
            holder.placements.push(placement);
            holder.running.push_back((task, 1));
            let waited = self.now.since(since).as_millis() as u64;
            self.grants.record(waited).expect("within the range");
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let (now, holder) = (self.now, &mut self.holders[index]);
        // What has been asked for goes into the next append whole.
        let new: Vec<TaskId> =
            holder.asked.iter().filter(|(_, at)| *at == now).map(|(task, _)| *task).collect();
        if event == Event::Tick && !new.is_empty() {
            let (dc, epoch) = (holder.dc, holder.epoch);
            push(&mut holder.queue, Record::Checkout { dc, epoch, tasks: new });
        }
        let mut actions = Vec::new();
        holder.queue.step(now, event, &mut actions);
        for action in actions {
            if let Action::Send(batch) = action {
                holder.sent.push_back((now + ROUND_TRIP, batch));
            }
        }
    }

    fn placement(&mut self, task: TaskId) -> Placement {
        let vm = VmId(self.rng.u32(..WORKERS));
        Placement { task, incarnation: daisy_model::Incarnation(1), vm }
    }

    fn create(&mut self, kind: JobKind, tasks: u32) -> JobId {
        let number = self.jobs;
        self.jobs += 1;
        let batch = kind == JobKind::Batch;
        let spec = JobSpec {
            name: name(if batch { "price-list-refresh" } else { "quotation" }, number),
            team: name("team", number % TEAMS),
            kind,
            tasks,
            size: Resources { cpu_milli: 500, memory_mib: 1_024, accelerators: 0 },
            priority: if batch { Priority::Normal } else { Priority::Critical },
            tolerance: Tolerance { delay: batch, evict: batch, refuse: false },
            restartable: !batch,
            run_time: batch.then_some(Duration::from_secs(371)),
            data_centres: vec![name("dc", 1), name("dc", 2)],
            region_bytes: 1 << 20,
        };
        let id = self.state.jobs.next_id();
        self.change(Command::Create(spec));
        id
    }

    fn change(&mut self, command: Command) {
        // As long as such a statement is when written out.
        let text = "create job price-list-refresh-0000 team team-00 tasks 620 cpu 500m memory 1Gi \
                    may delay, evict run time 371s in dc-1, dc-2 region bytes 1Mi";
        let who = name("operator", 1);
        let at = WallTime(1_796_256_000_000);
        let change = Change { who, at, text: text.into(), command, condition: None };
        self.append(Record::Change(change));
    }

    /// Appends each record by itself.
    pub(crate) fn append_all(&mut self, records: Vec<Record>) {
        for record in records {
            self.append(record);
        }
    }

    /// Appends a record of an entry VM that is no holder.
    fn append(&mut self, record: Record) -> Option<RecordOutcome> {
        self.seq += 1;
        let id = AppendId { sender: 99, seq: self.seq };
        self.fold(Batch { id, records: vec![record] }).pop()
    }

    fn fold(&mut self, batch: Batch) -> Vec<RecordOutcome> {
        let offset = self.state.next;
        let bytes = daisy_wire::log::encode(&batch).expect("shorter than the longest entry");
        self.entries.push((offset, bytes));
        self.state.apply(offset, &batch).outcomes
    }
}

fn push(queue: &mut Queue, record: Record) {
    queue.push(record).expect("the log takes what is pushed");
}

fn is_batch(state: &State, job: JobId) -> bool {
    let job = state.jobs.get(job);
    job.is_some_and(|it| it.spec.kind == JobKind::Batch)
}

fn name(prefix: &str, number: u32) -> Name {
    Name::new(&format!("{prefix}-{number}")).expect("a name")
}

/// The number of tasks that a state has checked out.
pub(crate) fn out(state: &State) -> usize {
    let tasks = state.jobs.iter().flat_map(|(_, job)| &job.tasks);
    tasks.filter(|task| matches!(task.state, TaskState::CheckedOut(_))).count()
}
