//! Several owners at a time, each of which reaches a part of the store and of the workers.

use std::time::Duration;

use daisy_model::Instant;
use daisy_workflow::{
    Action, Batch, Event, JobId, JobSpec, Layout, Ledger, Owner, Record, ShardId, Start, TaskId,
    Witnesses, WorkerKey, WorkerListing,
};

use super::{
    LASTS_MS, STEP, job, lasting,
    log::Log,
    worker::{FakeWorker, HOLD_WAIT_MAX, target, unanswered, with_wait},
    world::{check_runs, check_start, owner},
};

/// Between signs of life.
const SIGN_EVERY: Duration = Duration::from_millis(400);
/// After silence for this long others claim.
const SILENCE: Duration = Duration::from_millis(1_400);
/// Before a write without an answer is sent again.
const WRITE_AGAIN: Duration = Duration::from_millis(600);
/// Before a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Between reads of the list of workers.
const LIST_EVERY: Duration = Duration::from_millis(100);
/// Between a worker's writes of its entry, and how long an entry stands.
const ENTRY_EVERY: Duration = Duration::from_millis(1_100);
const ENTRY_STANDS: Duration = Duration::from_millis(3_300);
/// The shortest time for which a crashed worker is away.
const DOWN_MIN: Duration = Duration::from_millis(300);
/// The shortest time after a restart for which orders from before are under way: an owner has had the time
/// for a call.
const LATE_MIN_MS: u64 = 300;
/// A key that stands for the log, whose refusals end an owner as those of workers do.
const LOG: WorkerKey = WorkerKey(u32::MAX);

/// What can be cut off from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// The log and the list of workers.
    Store,
    /// A VM on which an owner may run.
    Vm(usize),
    Worker(usize),
}

/// A write to the log that is not known to have been taken.
struct Write {
    /// What is recorded; `None` for a sign of life.
    batch: Option<Batch>,
    /// When it was first to be sent, and when it is sent next.
    sent_at: Instant,
    send_at: Instant,
}

/// An owner's process.
struct Process {
    epoch: u64,
    owner: Owner,
    settled: bool,
    signed_at: Option<Instant>,
    listed_at: Option<Instant>,
    writes: Vec<Write>,
    /// What it has decided and not sent yet.
    outbox: Vec<Action>,
    /// Answers, and when they arrive.
    inbox: Vec<(Instant, Event)>,
    /// Submissions that it has read.
    read: usize,
}

/// A VM; it may run an owner.
#[derive(Default)]
struct Vm {
    process: Option<Process>,
    frozen: bool,
    /// Whether it has not run since it woke.
    woken: bool,
}

/// A call under way.
struct Call {
    at: Instant,
    sent_at: Instant,
    vm: usize,
    epoch: u64,
    worker: String,
    action: Action,
}

/// The newest claim, with what its signs of life have told since.
struct Claimed {
    epoch: u64,
    vm: usize,
    settled: bool,
    released: bool,
}

/// A task that lasts: since when it is away, and for how long it was at most.
struct Watched {
    task: TaskId,
    since: Option<Instant>,
    longest: Duration,
}

/// A worker that has crashed: when it is back, and as what.
struct Down {
    until: Instant,
    name: String,
}

/// VMs, workers and the store; checks after each step that no task runs twice.
pub struct Cluster {
    pub now: Instant,
    pub step: Duration,
    pub workers: Vec<FakeWorker>,
    /// What stands in the log.
    pub ledger: Ledger,
    /// Whether a VM claims once no sign of life was taken for a while.
    pub elects: bool,
    /// Whether a process that wakes hears the log's answers before those of workers.
    pub hears_log_first: bool,
    /// Whether processes that begin know of no witnesses, as those of earlier builds.
    pub ignores_witnesses: bool,
    /// How long calls to workers are under way; they are then carried out whatever was cut meanwhile.
    pub calls_take: Duration,
    vms: Vec<Vm>,
    down: Vec<Option<Down>>,
    /// Ways on which nothing passes.
    cut: Vec<(Node, Node)>,
    log: Log,
    claimed: Option<Claimed>,
    /// The epoch of the newest sign of life, and when it was taken. Signs are fenced by signs alone, as
    /// they are in a partition of their own.
    signed: (u64, Instant),
    entries: Vec<(Instant, WorkerListing)>,
    calls: Vec<Call>,
    watched: Vec<Watched>,
    /// Runs that began, and ends as done that count.
    begun: Vec<(TaskId, Instant)>,
    noted: Vec<(TaskId, Instant)>,
    /// How many of both were checked.
    checked: (usize, usize),
}

impl Cluster {
    /// VMs and workers that reach each other; the first VM has an owner.
    pub fn new(vms: usize, workers: Vec<FakeWorker>) -> Cluster {
        let now = Instant::from_millis(1_000);
        let mut cluster = Cluster {
            now,
            step: STEP,
            down: workers.iter().map(|_| None).collect(),
            workers,
            ledger: Ledger::default(),
            elects: false,
            hears_log_first: true,
            ignores_witnesses: false,
            calls_take: Duration::ZERO,
            vms: (0..vms).map(|_| Vm::default()).collect(),
            cut: Vec::new(),
            log: Log::default(),
            claimed: None,
            signed: (0, now),
            entries: Vec::new(),
            calls: Vec::new(),
            watched: Vec::new(),
            begun: Vec::new(),
            noted: Vec::new(),
            checked: (0, 0),
        };
        cluster.claim(0);
        cluster
    }

    /// The same, with as many tasks that last as there are workers, whose clocks are as slow as any.
    pub fn busy(vms: usize, workers: u32) -> Cluster {
        let mut cluster = Cluster::new(vms, (0..workers).map(slow_worker).collect());
        cluster.submit(1, job(vec![lasting(workers)]));
        assert!(cluster.run_until(2_000, Cluster::all_last), "they start");
        cluster
    }

    /// More workers start.
    pub fn grow(&mut self, count: u32) {
        let from = self.workers.len() as u32;
        self.workers.extend((from..from + count).map(slow_worker));
        self.down.extend((0..count).map(|_| None));
    }

    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        let lasting = (0u16..).zip(&spec.steps).filter(|(_, it)| it.long_running);
        let tasks = lasting.flat_map(|(step, it)| {
            let task = move |index| TaskId { job: JobId(id), occurrence: 0, step, index };
            (0..it.count).map(task)
        });
        let watched = |task| Watched { task, since: None, longest: Duration::ZERO };
        self.watched.extend(tasks.map(watched));
        let record = self.log.submit(&Record::Submitted(JobId(id), spec));
        self.ledger.fold(record);
    }

    /// Nothing passes between any of `some` and any of `others`; whether anything did.
    pub fn cut(&mut self, some: &[Node], others: &[Node]) -> bool {
        let before = self.cut.len();
        for (a, b) in some.iter().flat_map(|a| others.iter().map(|b| (*a, *b))) {
            self.cut_way(a, b);
            self.cut_way(b, a);
        }
        self.cut.len() > before
    }

    /// Nothing passes from one to the other.
    pub fn cut_way(&mut self, from: Node, to: Node) {
        if let Err(at) = self.cut.binary_search(&(from, to)) {
            self.cut.insert(at, (from, to));
        }
    }

    /// A group, such as a data centre, reaches only itself; whether it reached more.
    pub fn cut_off(&mut self, group: &[Node]) -> bool {
        let others: Vec<Node> = self.nodes().into_iter().filter(|it| !group.contains(it)).collect();
        self.cut(group, &others)
    }

    pub fn heal(&mut self, some: &[Node], others: &[Node]) {
        let are = |a: &Node, b: &Node| some.contains(a) && others.contains(b);
        self.cut.retain(|(a, b)| !are(a, b) && !are(b, a));
    }

    pub fn heal_links(&mut self) {
        self.cut.clear();
    }

    pub fn is_whole(&self) -> bool {
        self.cut.is_empty() && self.vms.iter().all(|it| !it.frozen)
    }

    pub fn heal_all(&mut self) {
        self.heal_links();
        self.calls_take = Duration::ZERO;
        (0..self.vms.len()).for_each(|vm| self.wake(vm));
    }

    fn nodes(&self) -> Vec<Node> {
        let vms = (0..self.vms.len()).map(Node::Vm);
        let workers = (0..self.workers.len()).map(Node::Worker);
        [Node::Store].into_iter().chain(vms).chain(workers).collect()
    }

    fn passes(&self, from: Node, to: Node) -> bool {
        self.cut.binary_search(&(from, to)).is_err()
    }

    fn reach(&self, a: Node, b: Node) -> bool {
        self.passes(a, b) && self.passes(b, a)
    }

    /// A VM stands still: what it has decided it sends once it wakes, and what it is told it hears then.
    pub fn freeze(&mut self, vm: usize) {
        self.vms[vm].frozen = true;
    }

    pub fn wake(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.woken = std::mem::take(&mut vm.frozen);
    }

    /// The process on a VM ends without a word; calls that are under way arrive.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm] = Vm::default();
    }

    /// The owner on a VM gives the shard up; whether it could say so.
    pub fn release(&mut self, vm: usize) -> bool {
        let reaches = self.reach(Node::Vm(vm), Node::Store) && !self.vms[vm].frozen;
        let epoch = self.epoch(vm);
        let claimed = self.claimed.as_mut().filter(|it| reaches && Some(it.epoch) == epoch);
        let Some(claimed) = claimed else { return false };
        claimed.released = true;
        self.vms[vm].process = None;
        true
    }

    /// The epoch of the owner on a VM.
    pub fn epoch(&self, vm: usize) -> Option<u64> {
        self.vms[vm].process.as_ref().map(|it| it.epoch)
    }

    /// Whether an answer of the log is on its way to the owner on a VM.
    pub fn is_answered(&self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_ref();
        process.is_some_and(|it| it.inbox.iter().any(|(_, event)| is_of_log(event)))
    }

    /// The worker on which the log has the first task of a job, which may be on its way there.
    pub fn recorded(&self, job: u64) -> Option<usize> {
        let job = self.ledger.job(JobId(job))?;
        let copy = job.progress.occurrences[0][0][0].copies.first()?;
        self.workers.iter().position(|it| *it.name == *copy.worker.0)
    }

    /// The worker of the first task of the first job.
    pub fn host(&self) -> usize {
        self.recorded(1).expect("it runs")
    }

    pub fn is_frozen(&self, vm: usize) -> bool {
        self.vms[vm].frozen
    }

    /// A VM claims the shard and reads its log; whether it could.
    pub fn claim(&mut self, vm: usize) -> bool {
        let it = &self.vms[vm];
        if it.frozen || it.process.is_some() || !self.reach(Node::Vm(vm), Node::Store) {
            return false;
        }
        let last = self.claimed.as_ref();
        let settled = last.is_none_or(|it| (it.released || it.vm == vm) && it.settled);
        let epoch = last.map_or(0, |it| it.epoch) + 1;
        self.claimed = Some(Claimed { epoch, vm, settled, released: false });
        let mut ledger = self.log.read(false, false);
        if self.ignores_witnesses {
            ledger.fold(Record::Witnesses(Witnesses::default()));
        }
        self.vms[vm].process = Some(Process {
            epoch,
            owner: owner(self.now, epoch, ledger, settled, ShardId(0), Layout { shards: 1 }),
            settled,
            signed_at: None,
            listed_at: None,
            writes: Vec::new(),
            outbox: Vec::new(),
            inbox: Vec::new(),
            read: self.log.submissions.len(),
        });
        true
    }

    /// A worker crashes and is back after a while under its id, or under another.
    pub fn crash(&mut self, at: usize, away: Duration, same_id: bool) {
        let worker = &mut self.workers[at];
        worker.runs.clear();
        let name = if same_id { worker.name.clone() } else { format!("{}'", worker.name) };
        self.down[at] = Some(Down { until: self.now + away.max(DOWN_MIN), name });
    }

    pub fn is_down(&self, worker: usize) -> bool {
        self.down[worker].is_some()
    }

    pub fn run_ms(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, at most for `millis`; whether it came about.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end && !done(self) {
            self.step();
        }
        done(self)
    }

    pub fn step(&mut self) {
        self.now = self.now + self.step;
        self.pass();
        self.write_entries();
        if self.elects {
            self.elect();
        }
        for vm in 0..self.vms.len() {
            self.run(vm);
        }
        self.deliver();
        check_runs(&self.workers, &self.ledger);
        self.check_ends();
        self.watch();
    }

    fn pass(&mut self) {
        let now = self.now;
        for (worker, down) in self.workers.iter_mut().zip(&mut self.down) {
            if down.as_ref().is_some_and(|it| it.until <= now)
                && let Some(it) = down.take()
            {
                let slow_permille = worker.slow_permille;
                let clock = worker.clock(now);
                let late: Vec<u64> = worker.late.iter().map(|it| it.0).collect();
                worker.restart(now);
                if worker.name != it.name {
                    // Orders name the worker that they are for.
                    worker.late.clear();
                }
                worker.name = it.name;
                worker.slow_permille = slow_permille;
                worker.zero_ms = now.0 / 1_000;
                worker.offset = 1;
                // What is still under way arrives when it was to, by the clock that begins anew.
                for (order, at) in worker.late.iter_mut().zip(late) {
                    order.0 = 1 + at.saturating_sub(clock).max(LATE_MIN_MS);
                }
            }
            if down.is_none() {
                worker.pass(now, &|_| false);
            }
        }
    }

    fn write_entries(&mut self) {
        let now = self.now;
        for at in 0..self.workers.len() {
            let listing = self.workers[at].listing();
            let known = self.entries.iter().position(|(_, it)| it.id == listing.id);
            let due = known.is_none_or(|it| {
                let (written_at, entry) = &self.entries[it];
                now.since(*written_at) >= ENTRY_EVERY
                    || entry.started_at_ms != listing.started_at_ms
            });
            if due && !self.is_down(at) && self.passes(Node::Worker(at), Node::Store) {
                self.entries.retain(|(_, it)| it.id != listing.id);
                self.entries.push((now, listing));
            }
        }
        self.entries.retain(|(at, _)| now.since(*at) < ENTRY_STANDS);
    }

    fn elect(&mut self) {
        let released = self.claimed.as_ref().is_some_and(|it| it.released);
        if released || self.now.since(self.signed.1) > SILENCE {
            // A claim counts as a sign of life to the others.
            self.signed.1 = self.now;
            let _ = (0..self.vms.len()).any(|vm| self.claim(vm));
        }
    }

    /// What a process does in a step.
    fn run(&mut self, vm: usize) {
        if self.vms[vm].frozen {
            return;
        }
        let Some(mut process) = self.vms[vm].process.take() else { return };
        let now = self.now;
        self.send(vm, &mut process);
        self.read(vm, &mut process);
        // Answers of the log and of workers come by different ways: either may be heard first.
        let log_alone = std::mem::take(&mut self.vms[vm].woken) && self.hears_log_first;
        let is_due =
            |(at, event): &(Instant, Event)| *at <= now && (!log_alone || is_of_log(event));
        let (due, later) = process.inbox.drain(..).partition(is_due);
        process.inbox = later;
        let due: Vec<(Instant, Event)> = due;
        due.into_iter().for_each(|(_, event)| process.owner.step(now, event));
        process.owner.step(now, Event::Tick);
        process.outbox = process.owner.act(now);
        if process.outbox.contains(&Action::StepDown) {
            self.send(vm, &mut process);
            return;
        }
        if let Some(batch) = process.owner.try_batch(now) {
            process.writes.push(Write {
                batch: Some(batch),
                sent_at: now,
                send_at: now + self.step,
            });
        }
        let signs = process.writes.iter().any(|it| it.batch.is_none());
        if !signs && process.signed_at.is_none_or(|it| now.since(it) >= SIGN_EVERY) {
            process.signed_at = Some(now);
            process.writes.push(Write { batch: None, sent_at: now, send_at: now });
        }
        self.write(vm, &mut process);
        self.vms[vm].process = Some(process);
    }

    fn send(&mut self, vm: usize, process: &mut Process) {
        let now = self.now;
        let is_newest = self.claimed.as_ref().is_some_and(|it| it.epoch == process.epoch);
        for action in process.outbox.drain(..) {
            if let Action::Start(_, start) = &action
                && is_newest
            {
                check_start(&self.ledger, start);
            }
            let Some(key) = target(&action) else { continue };
            let name = &process.owner.worker(key).expect("the owner's worker").id.0;
            let to = self.workers.iter().position(|it| it.name == **name);
            match to.filter(|to| self.passes(Node::Vm(vm), Node::Worker(*to))) {
                Some(_) => self.calls.push(Call {
                    at: now + self.calls_take,
                    sent_at: now,
                    vm,
                    epoch: process.epoch,
                    worker: name.to_string(),
                    action,
                }),
                None => {
                    let event = unanswered(action).map(|it| (now + CALL_TIMEOUT, it));
                    process.inbox.extend(event);
                }
            }
        }
    }

    fn read(&self, vm: usize, process: &mut Process) {
        if !self.reach(Node::Vm(vm), Node::Store) {
            return;
        }
        let now = self.now;
        for record in &self.log.submissions[process.read..] {
            process.owner.step(now, Event::Record(record.clone()));
        }
        process.read = self.log.submissions.len();
        if process.listed_at.is_none_or(|it| now.since(it) >= LIST_EVERY) {
            process.listed_at = Some(now);
            let listed = self.entries.iter().map(|(_, it)| it.clone()).collect();
            process.owner.step(now, Event::Workers(listed));
        }
    }

    fn write(&mut self, vm: usize, process: &mut Process) {
        let now = self.now;
        for mut write in std::mem::take(&mut process.writes) {
            let sent = write.send_at <= now && self.passes(Node::Vm(vm), Node::Store);
            let answer = sent.then(|| self.take(process, &write));
            match answer.filter(|_| self.passes(Node::Store, Node::Vm(vm))) {
                Some(event) => process.inbox.push((now + self.step, event)),
                None => {
                    if write.send_at <= now {
                        write.send_at = now + WRITE_AGAIN;
                    }
                    process.writes.push(write);
                }
            }
        }
    }

    /// The log takes a write, or refuses it; taken again, it changes nothing.
    fn take(&mut self, process: &Process, write: &Write) -> Event {
        let Write { batch, sent_at, .. } = write;
        let claimed = self.claimed.as_mut().expect("the first owner has claimed");
        let newest = if batch.is_some() { claimed.epoch } else { self.signed.0 };
        if process.epoch < newest {
            return Event::Fenced(LOG);
        }
        match batch {
            Some(batch) => {
                for record in self.log.store(batch) {
                    self.ledger.fold(record);
                }
                Event::Appended
            }
            None => {
                self.signed = (process.epoch, self.now);
                if process.epoch == claimed.epoch {
                    claimed.settled =
                        process.settled || process.owner.are_predecessor_leases_over(self.now);
                }
                Event::HeartbeatStored { sent_at: *sent_at }
            }
        }
    }

    /// Calls arrive, and their answers go back.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.calls.drain(..).partition(|it| it.at <= now);
        self.calls = later;
        let due: Vec<Call> = due;
        for Call { sent_at, vm, epoch, worker, action, .. } in due {
            let at = self.workers.iter().position(|it| it.name == worker);
            let at = at.filter(|at| !self.is_down(*at));
            let lost = unanswered(action.clone()).map(|it| (CALL_TIMEOUT, it));
            let answer = at.and_then(|at| self.obey(at, epoch, action));
            let back = at.is_some_and(|at| self.passes(Node::Worker(at), Node::Vm(vm)));
            let answer = if back && now.since(sent_at) < CALL_TIMEOUT { answer } else { lost };
            let process = self.vms[vm].process.as_mut().filter(|it| it.epoch == epoch);
            if let (Some(process), Some((after, event))) = (process, answer) {
                process.inbox.push(((now + after).max(sent_at + self.step), event));
            }
        }
    }

    fn obey(&mut self, at: usize, epoch: u64, action: Action) -> Option<(Duration, Event)> {
        let work_ms = match &action {
            Action::Start(_, start) => self.work_ms(start),
            _ => 0,
        };
        let (worker, now) = (&mut self.workers[at], self.now);
        let before = worker.runs.len();
        let task = if let Action::Start(_, it) = &action { Some(it.task) } else { None };
        let action = with_wait(action, HOLD_WAIT_MAX);
        let answer = worker.obey(now, epoch, action, work_ms);
        let began = worker.runs.len() > before;
        self.begun.extend(task.filter(|_| began).map(|it| (it, now)));
        answer
    }

    /// Nothing starts after an end that counts, whether it counts by then or later.
    fn check_ends(&mut self) {
        for worker in &mut self.workers {
            self.noted.append(&mut worker.noted);
        }
        let known = (self.begun.len(), self.noted.len());
        if std::mem::replace(&mut self.checked, known) == known {
            return;
        }
        for (task, began) in &self.begun {
            let again = self.noted.iter().any(|(it, ended)| it == task && ended < began);
            assert!(!again, "{task} is started after its end");
        }
    }

    fn work_ms(&self, start: &Start) -> u64 {
        let job = self.ledger.job(start.task.job).expect("only submitted jobs run");
        let step = &job.spec.steps[usize::from(start.task.step)];
        if step.long_running { LASTS_MS } else { u64::from(step.estimate_ms) }
    }

    fn watch(&mut self) {
        for it in &mut self.watched {
            let runs = |worker: &FakeWorker| worker.runs.iter().any(|run| run.task == it.task);
            if self.workers.iter().any(runs) {
                it.since = Some(self.now);
            } else if let Some(since) = it.since {
                it.longest = it.longest.max(self.now.since(since));
            }
        }
    }

    /// Where a task runs.
    pub fn places(&self, task: TaskId) -> Vec<&str> {
        let here = |it: &&FakeWorker| it.runs.iter().any(|run| run.task == task);
        self.workers.iter().filter(here).map(|it| it.name.as_str()).collect()
    }

    /// Whether all tasks that last run.
    pub fn all_last(&self) -> bool {
        self.watched.iter().all(|it| !self.places(it.task).is_empty())
    }

    /// The longest time for which a task that lasts was without a run.
    pub fn longest_away(&self) -> Duration {
        self.watched.iter().map(|it| it.longest).max().unwrap_or_default()
    }
}

/// A worker whose clock is as slow as any, and far ahead of that of its next incarnation.
fn slow_worker(at: u32) -> FakeWorker {
    FakeWorker { slow_permille: 20, offset: 500_000, ..FakeWorker::new(&format!("w{at}"), 8) }
}

fn is_of_log(event: &Event) -> bool {
    matches!(event, Event::Appended | Event::HeartbeatStored { .. } | Event::Fenced(LOG))
}
