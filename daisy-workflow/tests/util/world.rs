//! A log, workers, and the owner that tells them what to run.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{
    Action, Batch, Event, JobId, JobSpec, JobState, Layout, Ledger, OrderReply, Owner, Record,
    Rules, Settings, ShardId, Start, TaskId, WorkerKey, decode, encode,
};

use super::worker::FakeWorker;

/// How long each step of the world takes.
const STEP: Duration = Duration::from_millis(10);

/// Between signs of life, in microseconds.
const SIGN_EVERY_US: u64 = 400_000;

/// Everything around an owner; checks after each step that no promise is broken.
pub struct World {
    pub now: Instant,
    pub epoch: u64,
    pub owner: Owner,
    pub workers: Vec<FakeWorker>,
    /// What every entry VM has read.
    pub ledger: Ledger,
    /// Whether the log takes appends.
    pub log_up: bool,
    /// Whether the platform's list of workers stands still.
    pub list_lags: bool,
    /// The longest that a worker waits before it answers a renewal.
    pub hold_wait_max: Duration,
    /// Orders to start that were sent: task, run, worker.
    pub starts: Vec<(TaskId, u32, String)>,
    pub stepped_down: bool,
    /// What is to be written to the submissions of other shards.
    pub forwarded: Vec<(ShardId, Record)>,
    shard: ShardId,
    layout: Layout,
    /// Milliseconds of work of a task.
    pub work: fn(TaskId) -> u64,
    pub fails: fn(TaskId) -> bool,
    pending: Option<(Instant, Batch)>,
    events: Vec<(Instant, Event)>,
    /// What stands in the shard's submissions and in its progress.
    submissions: Vec<Record>,
    progress: Vec<Record>,
}

impl World {
    pub fn new(workers: Vec<FakeWorker>) -> World {
        World::of_shard(workers, ShardId(0), Layout { shards: 1 })
    }

    /// One shard of several, with its own workers.
    pub fn of_shard(workers: Vec<FakeWorker>, shard: ShardId, layout: Layout) -> World {
        let now = Instant::from_millis(1_000);
        let ledger = Ledger::default();
        World {
            now,
            epoch: 1,
            owner: owner(now, ledger.clone(), true, shard, layout),
            shard,
            layout,
            forwarded: Vec::new(),
            workers,
            ledger,
            log_up: true,
            list_lags: false,
            hold_wait_max: Duration::from_millis(50),
            starts: Vec::new(),
            stepped_down: false,
            work: |_| 1_000,
            fails: |_| false,
            pending: None,
            events: Vec::new(),
            submissions: Vec::new(),
            progress: Vec::new(),
        }
    }

    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        self.write(Record::Submitted(JobId(id), spec));
    }

    pub fn cancel(&mut self, id: u64) {
        self.write(Record::Cancelled(JobId(id)));
    }

    /// A record comes to stand in the shard's submissions.
    pub fn write(&mut self, record: Record) {
        let (key, value) = encode(&record);
        let record = decode(&key, &value).expect("own records can be read");
        self.ledger.fold(record.clone());
        self.submissions.push(record.clone());
        self.owner.step(self.now, Event::Record(record));
    }

    /// The owner's process dies, and another takes over from what the log holds.
    pub fn change_owner(&mut self, predecessor_gone: bool) {
        self.epoch += 1;
        self.pending = None;
        self.events.clear();
        self.stepped_down = false;
        self.owner =
            owner(self.now, self.ledger.clone(), predecessor_gone, self.shard, self.layout);
    }

    /// The same; the new one reads the log anew, in the order of its keys or as it was written.
    pub fn change_owner_that_reads(&mut self, by_key: bool, progress_first: bool) {
        self.change_owner(true);
        let mut submissions = self.submissions.clone();
        if by_key {
            submissions.sort_by_key(|it| encode(it).0);
        }
        let mut ledger = Ledger::default();
        let (first, second) = match progress_first {
            true => (&self.progress, &submissions),
            false => (&submissions, &self.progress),
        };
        for it in first.iter().chain(second) {
            ledger.fold(it.clone());
        }
        self.owner = owner(self.now, ledger, true, self.shard, self.layout);
    }

    /// The owner's process dies; what it was appending is stored all the same, or not.
    pub fn kill_owner(&mut self, stored: bool) {
        if let Some((_, batch)) = self.pending.take().filter(|_| stored) {
            self.store(&batch);
        }
    }

    /// Time passes while nobody is the owner.
    pub fn idle(&mut self) {
        self.now = self.now + STEP;
        for worker in &mut self.workers {
            worker.pass(self.now, &self.fails);
        }
        self.check();
    }

    pub fn worker(&mut self, name: &str) -> &mut FakeWorker {
        self.workers.iter_mut().find(|it| it.name == name).expect("a worker of this name")
    }

    pub fn state(&self, id: u64) -> JobState {
        self.ledger.job(JobId(id)).expect("a job that was submitted").state()
    }

    /// Workers on which a task runs now.
    pub fn places(&self, task: TaskId) -> Vec<&str> {
        let here = |it: &&FakeWorker| it.runs.iter().any(|run| run.task == task);
        self.workers.iter().filter(here).map(|it| it.name.as_str()).collect()
    }

    pub fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, at most for `millis`; whether it came about.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&World) -> bool) -> bool {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for worker in &mut self.workers {
            worker.pass(now, &self.fails);
        }
        if !self.list_lags {
            let listed = self.workers.iter().filter(|it| it.listed).map(FakeWorker::listing);
            self.owner.step(now, Event::Workers(listed.collect()));
        }
        let due = std::mem::take(&mut self.events);
        let (due, later) = due.into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(Instant, Event)> = due;
        for (_, event) in due {
            self.owner.step(now, event);
        }
        // Signs of life show that the log takes what is written.
        if self.log_up && now.0.is_multiple_of(SIGN_EVERY_US) {
            self.owner.step(now, Event::Reached);
        }
        self.owner.step(now, Event::Tick);
        for action in self.owner.act(now) {
            self.carry_out(action);
        }
        self.append();
        self.check();
    }

    fn append(&mut self) {
        if self.pending.is_none()
            && let Some(batch) = self.owner.try_batch(self.now)
        {
            self.pending = Some((self.now + STEP, batch));
        }
        let due = self.pending.as_ref().is_some_and(|(at, _)| *at <= self.now);
        if due
            && self.log_up
            && let Some((_, batch)) = self.pending.take()
        {
            self.store(&batch);
            self.owner.step(self.now, Event::Appended);
            for action in self.owner.act(self.now) {
                self.carry_out(action);
            }
        }
    }

    fn store(&mut self, batch: &Batch) {
        for record in &batch.records {
            let (key, value) = encode(record);
            let record = decode(&key, &value).expect("own records can be read");
            self.progress.retain(|it| encode(it).0 != key);
            self.progress.push(record.clone());
            self.ledger.fold(record);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.now;
        let epoch = self.epoch;
        match action {
            Action::Hold { worker: key, deadline_ms, cursor, wait } => {
                let wait = wait.min(self.hold_wait_max);
                let worker = self.of(key);
                let (after, event) = match worker.hold(now, epoch, deadline_ms, cursor) {
                    None => (Duration::from_millis(300), Event::Held(key, None)),
                    Some(Err(())) => (STEP, Event::Fenced(key)),
                    Some(Ok(answer)) => (wait.max(STEP), Event::Held(key, Some(answer))),
                };
                self.events.push((now + after, event));
            }
            Action::Start(key, start) => self.start(key, start),
            Action::Stop(key, task, run, _) => {
                let reply = self.of(key).stop(now, epoch, task, run);
                self.events.push((now + STEP, Event::Stopped(key, task, run, reply)));
            }
            Action::Pace(key, task, run, percent) => {
                self.of(key).set_pace(task, run, percent);
                let reply = OrderReply::Done { clock_ms: self.of(key).clock(now) };
                self.events.push((now + STEP, Event::Paced(key, task, run, percent, reply)));
            }
            Action::Forward(shard, record) => self.forwarded.push((shard, record)),
            Action::StepDown => self.stepped_down = true,
            Action::Note(_) => {}
        }
    }

    fn start(&mut self, key: WorkerKey, start: Start) {
        // An end that its worker lost with all else before it was recorded is no end.
        let state = |world: &World| {
            let job = world.ledger.job(start.task.job)?;
            let steps = &job.progress.occurrences.get(start.task.occurrence as usize)?;
            Some(steps[usize::from(start.task.step)][start.task.index as usize].clone())
        };
        let ended = state(self).is_none_or(|it| it.done);
        assert!(!ended, "{} is started after its end", start.task);
        let recorded = self.ledger.job(start.task.job).is_some_and(|job| {
            let steps = &job.progress.occurrences[start.task.occurrence as usize];
            let state = &steps[usize::from(start.task.step)][start.task.index as usize];
            state.copies.iter().any(|it| it.run == start.run)
        });
        assert!(recorded, "{} run {} was ordered before its record", start.task, start.run);
        let work = (self.work)(start.task);
        let (now, epoch) = (self.now, self.epoch);
        let worker = self.of(key);
        let name = worker.name.clone();
        let reply = worker.start(now, epoch, &start, work);
        self.starts.push((start.task, start.run, name));
        self.events.push((now + STEP, Event::Started(key, start.task, start.run, reply)));
    }

    fn of(&mut self, key: WorkerKey) -> &mut FakeWorker {
        let id = self.owner.worker(key).expect("the owner's worker").id.clone();
        self.worker(&id.0)
    }

    /// What must hold at each moment.
    fn check(&self) {
        let mut seen: Vec<TaskId> = Vec::new();
        for worker in &self.workers {
            let mut cpu = 0;
            for run in &worker.runs {
                let job = self.ledger.job(run.task.job).expect("only submitted jobs run");
                let step = &job.spec.steps[usize::from(run.task.step)];
                cpu += step.counted().cpu_milli;
                assert!(
                    step.speculative || !seen.contains(&run.task),
                    "{} runs in two places",
                    run.task
                );
                seen.push(run.task);
            }
            assert!(cpu <= worker.capacity.cpu_milli, "{} is over its capacity", worker.name);
        }
    }
}

fn owner(
    now: Instant,
    ledger: Ledger,
    predecessor_gone: bool,
    shard: ShardId,
    layout: Layout,
) -> Owner {
    let settings = Settings {
        lease: Duration::from_secs(5),
        lease_max: Duration::from_secs(10),
        shard,
        layout,
        rules: Rules::default(),
    };
    Owner::new(now, 0, settings, ledger, super::queues(), predecessor_gone)
}
