//! Holders on a simulated clock that append to the log as real ones would.

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
const DC_COUNT: u16 = 6;
const WORKER_COUNT: u32 = 790;
const TEAM_COUNT: u32 = 29;
const SERVICE_TASKS: u32 = 3_100;
const BATCH_TASKS: u32 = 23_000;
/// Tasks of one service.
const TASKS_PER_SERVICE: u32 = 31;
/// Tasks of one batch job: 8,600 jobs a day give 62 starts a second.
const TASKS_PER_BATCH_JOB: u32 = 620;
/// Interval between ticks of the simulated clock.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time from an append to its fold: both ways over the region link, and the store's time.
const ROUND_TRIP: Duration = Duration::from_millis(30);
/// Interval at which a holder appends placements and exits in bulk.
const BULK_INTERVAL: Duration = Duration::from_secs(1);

/// The log entries of a run and the state that they fold to.
#[derive(Debug)]
pub(crate) struct RunLog {
    pub(crate) entries: Vec<(Offset, Vec<u8>)>,
    pub(crate) state: State,
}

impl RunLog {
    pub(crate) fn bytes(&self) -> usize {
        self.entries.iter().map(|(_, bytes)| bytes.len()).sum()
    }
}

/// The holder of one data centre.
#[derive(Debug)]
struct Holder {
    dc: DcId,
    epoch: Epoch,
    queue: Queue,
    /// Appends that are not folded yet, and when they will be.
    in_transit: VecDeque<(Instant, Batch)>,
    /// Tasks that were requested, and when.
    requested: Vec<(TaskId, Instant)>,
    /// Batch tasks that run, with their incarnations, the oldest first.
    running: VecDeque<(TaskId, u32)>,
    /// Placements and exits to append in bulk.
    placements: Vec<Placement>,
    exits: Vec<ExitReport>,
}

/// All holders, the log and its fold.
#[derive(Debug)]
pub(crate) struct HolderFleet {
    now: Instant,
    state: State,
    entries: Vec<(Offset, Vec<u8>)>,
    holders: Vec<Holder>,
    /// Times from request to grant, in milliseconds.
    grant_times: Histogram<u64>,
    rng: fastrand::Rng,
    /// Size of the fleet, in percent of the design size.
    percent: u32,
    append_seq: u64,
    jobs_created: u32,
}

impl HolderFleet {
    /// Creates a fleet of `percent` of the design size. Its quotas and services are declared and its
    /// holders have claimed their data centres, but no task runs.
    pub(crate) fn new(
        percent: u32,
        seed: u64,
        interval: Duration,
        max_records: usize,
    ) -> HolderFleet {
        let holders = (0..DC_COUNT).map(|dc| {
            let options = Options::new(u64::from(dc) + 1, interval);
            let options = Options { max_records: max_records.min(options.max_records), ..options };
            Holder {
                dc: DcId(dc),
                epoch: Epoch(0),
                queue: Queue::new(options),
                in_transit: VecDeque::new(),
                requested: Vec::new(),
                running: VecDeque::new(),
                placements: Vec::new(),
                exits: Vec::new(),
            }
        });
        let mut fleet = HolderFleet {
            now: Instant::default(),
            state: State::default(),
            entries: Vec::new(),
            holders: holders.collect(),
            grant_times: Histogram::new(3).expect("three digits are allowed"),
            rng: fastrand::Rng::with_seed(seed),
            percent,
            append_seq: 0,
            jobs_created: 0,
        };
        fleet.set_up();
        fleet
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log since the end of [`HolderFleet::warm_up`] or
    /// [`HolderFleet::fill_bounded_history`], and the times to grants in milliseconds.
    pub(crate) fn into_log(self) -> (RunLog, Histogram<u64>) {
        (RunLog { entries: self.entries, state: self.state }, self.grant_times)
    }

    /// Declares quotas and services, and claims the data centres.
    fn set_up(&mut self) {
        for team in 0..TEAM_COUNT {
            let limit = Resources {
                cpu_milli: 1_000_000_000,
                memory_mib: 1_000_000_000,
                accelerators: 10_000,
            };
            self.append_change(Command::Quota { team: name("team", team), limit });
        }
        for _ in 0..SERVICE_TASKS * self.percent / 100 / TASKS_PER_SERVICE {
            self.create_job(JobKind::Service, TASKS_PER_SERVICE);
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
        for _ in 0..(BATCH_TASKS * self.percent / 100).div_ceil(TASKS_PER_BATCH_JOB) {
            self.create_job(JobKind::Batch, TASKS_PER_BATCH_JOB);
        }
        let pending = self.state.jobs.pending().to_vec();
        for (tasks, index) in pending.chunks(500).zip((0..self.holders.len()).cycle()) {
            let Holder { dc, epoch, .. } = self.holders[index];
            let granted_tasks =
                match self.append(Record::Checkout { dc, epoch, tasks: tasks.to_vec() }) {
                    Some(RecordOutcome::Granted(tasks)) => tasks,
                    _ => continue,
                };
            let placements: Vec<Placement> =
                granted_tasks.iter().map(|&task| self.placement(task)).collect();
            self.append(Record::Placed { dc, epoch, placements });
            let batch = granted_tasks.into_iter().filter(|it| is_batch(&self.state, it.job));
            self.holders[index].running.extend(batch.map(|task| (task, 1)));
        }
        self.entries.clear();
    }

    /// Fills everything that is retained up to a bound: finished jobs, the audit trail and intents.
    /// Returns the mean bytes of one change in the log.
    pub(crate) fn fill_bounded_history(&mut self) -> f64 {
        let tasks = Jobs::MAX_FINISHED_TASKS / Jobs::MAX_FINISHED_JOBS;
        for _ in 0..Jobs::MAX_FINISHED_JOBS {
            let id = self.create_job(JobKind::Batch, tasks as u32);
            let job = self.state.jobs.get(id).map(|job| job.spec.name.clone());
            let Some(job) = job else { continue };
            self.append_change(Command::Cancel { kind: JobKind::Batch, job });
        }
        for _ in 0..State::MAX_AUDIT_ENTRIES - 2 * Jobs::MAX_FINISHED_JOBS {
            self.append_change(Command::Pause(WorkClass::Priority(Priority::Low)));
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
        let mut next_bulk_append = self.now + BULK_INTERVAL;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            due += f64::from(starts) * TICK_INTERVAL.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.end_one_and_request_next();
            }
            if self.now >= next_bulk_append {
                next_bulk_append = next_bulk_append + BULK_INTERVAL;
                self.append_bulk_records();
            }
            for index in 0..self.holders.len() {
                self.fold_due_appends(index);
                self.step(index, Event::Tick);
            }
        }
    }

    /// Ends the longest-running batch task of a random holder and requests a pending task for it.
    fn end_one_and_request_next(&mut self) {
        let index = self.rng.usize(..self.holders.len());
        let holder = &mut self.holders[index];
        if let Some((task, incarnation)) = holder.running.pop_front() {
            let incarnation = daisy_model::Incarnation(incarnation);
            holder.exits.push(ExitReport { task, incarnation, exit: Exit::Done });
        }
        let Some(task) = self.next_pending() else { return };
        self.holders[index].requested.push((task, self.now));
    }

    /// Returns a pending task that no holder has requested; declares a job if there is none.
    fn next_pending(&mut self) -> Option<TaskId> {
        let is_requested = |it: &TaskId| {
            self.holders.iter().any(|holder| holder.requested.iter().any(|(task, _)| task == it))
        };
        let free = self.state.jobs.pending().iter().copied().find(|it| !is_requested(it));
        free.or_else(|| {
            let job = self.create_job(JobKind::Batch, TASKS_PER_BATCH_JOB);
            Some(TaskId { job, index: 0 })
        })
    }

    /// Queues the placements and exits of each holder for append.
    fn append_bulk_records(&mut self) {
        for holder in &mut self.holders {
            let (dc, epoch) = (holder.dc, holder.epoch);
            let placements = std::mem::take(&mut holder.placements);
            let exits = std::mem::take(&mut holder.exits);
            if !placements.is_empty() {
                push_record(&mut holder.queue, Record::Placed { dc, epoch, placements });
            }
            if !exits.is_empty() {
                push_record(&mut holder.queue, Record::Ended { dc, epoch, exits });
            }
        }
    }

    /// Folds appends that have reached the log.
    fn fold_due_appends(&mut self, index: usize) {
        while let Some((at, batch)) = self.holders[index].in_transit.pop_front() {
            if at > self.now {
                self.holders[index].in_transit.push_front((at, batch));
                return;
            }
            let id = batch.id;
            for outcome in self.fold(batch) {
                if let RecordOutcome::Granted(tasks) = outcome {
                    self.handle_grant(index, &tasks);
                }
            }
            self.step(index, Event::Folded { id });
        }
    }

    /// Places tasks that were granted and records how long their grants took.
    fn handle_grant(&mut self, index: usize, tasks: &[TaskId]) {
        for &task in tasks {
            let placement = self.placement(task);
            let holder = &mut self.holders[index];
            let Some(at) = holder.requested.iter().position(|(it, _)| *it == task) else {
                continue;
            };
            let (_, since) = holder.requested.swap_remove(at);
            holder.placements.push(placement);
            holder.running.push_back((task, 1));
            let waited = self.now.since(since).as_millis() as u64;
            self.grant_times.record(waited).expect("within the range");
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let (now, holder) = (self.now, &mut self.holders[index]);
        // All tasks requested in this tick go into one checkout.
        let new: Vec<TaskId> =
            holder.requested.iter().filter(|(_, at)| *at == now).map(|(task, _)| *task).collect();
        if event == Event::Tick && !new.is_empty() {
            let (dc, epoch) = (holder.dc, holder.epoch);
            push_record(&mut holder.queue, Record::Checkout { dc, epoch, tasks: new });
        }
        let mut actions = Vec::new();
        holder.queue.step(now, event, &mut actions);
        for action in actions {
            if let Action::Send(batch) = action {
                holder.in_transit.push_back((now + ROUND_TRIP, batch));
            }
        }
    }

    fn placement(&mut self, task: TaskId) -> Placement {
        let vm = VmId(self.rng.u32(..WORKER_COUNT));
        Placement { task, incarnation: daisy_model::Incarnation(1), vm }
    }

    fn create_job(&mut self, kind: JobKind, tasks: u32) -> JobId {
        let number = self.jobs_created;
        self.jobs_created += 1;
        let batch = kind == JobKind::Batch;
        let spec = JobSpec {
            name: name(if batch { "price-list-refresh" } else { "quotation" }, number),
            team: name("team", number % TEAM_COUNT),
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
        self.append_change(Command::Create(spec));
        id
    }

    fn append_change(&mut self, command: Command) {
        // The text has the length of a typical statement.
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

    /// Appends a record from an entry VM that is not a holder.
    fn append(&mut self, record: Record) -> Option<RecordOutcome> {
        self.append_seq += 1;
        let id = AppendId { sender: 99, seq: self.append_seq };
        self.fold(Batch { id, records: vec![record] }).pop()
    }

    fn fold(&mut self, batch: Batch) -> Vec<RecordOutcome> {
        let offset = self.state.next;
        let bytes = daisy_wire::log::encode(&batch).expect("shorter than the longest entry");
        self.entries.push((offset, bytes));
        self.state.apply(offset, &batch).outcomes
    }
}

fn push_record(queue: &mut Queue, record: Record) {
    queue.push(record).expect("the queue accepts the record");
}

fn is_batch(state: &State, job: JobId) -> bool {
    let job = state.jobs.get(job);
    job.is_some_and(|it| it.spec.kind == JobKind::Batch)
}

fn name(prefix: &str, number: u32) -> Name {
    Name::new(&format!("{prefix}-{number}")).expect("a name")
}

/// Returns the number of tasks that are checked out in a state.
pub(crate) fn checked_out_tasks(state: &State) -> usize {
    let tasks = state.jobs.iter().flat_map(|(_, job)| &job.tasks);
    tasks.filter(|task| matches!(task.state, TaskState::CheckedOut(_))).count()
}
