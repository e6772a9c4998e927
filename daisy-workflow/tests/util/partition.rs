//! Simulates several owners that run at the same time, each of which reaches some of the store and
//! of the workers.

use std::{sync::Arc, time::Duration};

use daisy_model::Instant;
use daisy_workflow::{
    Action, Batch, Claim, Evacuations, Event, JobId, JobSpec, Layout, Ledger, Note, Owner,
    PlacementRules, Record, ShardId, Start, TaskId, Witnesses, WorkerId, WorkerKey, WorkerListing,
};

use super::{
    LONG_RUNNING_WORK_MS, TICK, job,
    log::Log,
    long_running_step,
    simulation::{check_runs, check_start, owner},
    worker::{
        FakeWorker, HOLD_WAIT_MAX, replaced_event, target_worker, unanswered_event, with_max_wait,
    },
};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Other VMs claim the shard after this time without a heartbeat.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time after which a write without an answer is sent again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Time after which a call is treated as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between reads of the list of workers.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Time between a worker's writes of its entry in the list, and how long an entry is valid.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_100);
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_300);
/// Minimum time for which a crashed worker is down.
const MIN_DOWNTIME: Duration = Duration::from_millis(300);
/// For how long a worker is down that never returns: longer than any test.
const FOR_GOOD: Duration = Duration::from_secs(3_600);
/// Time from a worker's announcement that it drains until it exits.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Minimum time from a restart until an order that was sent before it arrives: the owner has had
/// time for a call to the new incarnation.
const MIN_ORDER_DELAY_MS: u64 = 300;
/// A key that represents the log: a rejection by the log ends an owner as a rejection by a worker
/// does.
const LOG_KEY: WorkerKey = WorkerKey(u32::MAX);

/// A node that can be disconnected from other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// The log and the list of workers.
    Store,
    /// A VM on which an owner may run.
    Vm(usize),
    Worker(usize),
}

/// A write to the log that is not known to be stored.
struct Write {
    /// The batch to be stored; `None` for a heartbeat.
    batch: Option<Batch>,
    /// When it was first due to be sent, and when it is next sent.
    sent_at: Instant,
    next_send_at: Instant,
}

/// The process of an owner.
struct Process {
    epoch: u64,
    owner: Owner,
    predecessors_expired: bool,
    heartbeat_sent_at: Option<Instant>,
    listed_at: Option<Instant>,
    writes: Vec<Write>,
    /// Decided actions that are not sent yet.
    outbox: Vec<Action>,
    /// Answers, and when each arrives.
    inbox: Vec<(Instant, Event)>,
    /// Number of submissions that it has read.
    submissions_read: usize,
}

/// The longest delays of a process that goes on meanwhile; each answer and each call has its own, so
/// that they overtake each other.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delays {
    /// Between the arrival of an answer and its processing.
    pub receive: Duration,
    /// Between the decision of a call and its sending.
    pub send: Duration,
}

/// A VM, which may run an owner.
#[derive(Default)]
struct Vm {
    process: Option<Process>,
    frozen: bool,
    delays: Delays,
    /// Whether it has not run a step since it was resumed.
    just_woken: bool,
}

/// A call in flight.
struct Call {
    at: Instant,
    sent_at: Instant,
    vm: usize,
    epoch: u64,
    token: u64,
    /// The worker whose address is called, and the id that the call names.
    to: usize,
    id: String,
    started_at_ms: u64,
    action: Action,
}

/// A call that a process has begun and not sent yet.
struct DelayedCall {
    send_at: Instant,
    call: Call,
}

/// The newest claim, with the state that its heartbeats have published since.
struct NewestClaim {
    epoch: u64,
    vm: usize,
    predecessors_expired: bool,
    released: bool,
}

/// A long-running task: when it last ran, and its longest downtime so far.
struct TaskDowntime {
    task: TaskId,
    last_running_at: Option<Instant>,
    longest: Duration,
}

/// A worker that has crashed: when it is up again, and under which name.
struct CrashedWorker {
    until: Instant,
    name: String,
}

/// VMs, workers and the store; checks after each step that no task runs on two workers.
pub struct Cluster {
    pub now: Instant,
    pub step: Duration,
    pub workers: Vec<FakeWorker>,
    /// The folded state of the log.
    pub ledger: Ledger,
    /// Whether a VM claims the shard when no heartbeat was stored for `ELECTION_TIMEOUT`.
    pub elects_owners: bool,
    /// Whether a process that resumes receives the log's answers before those of workers.
    pub receives_log_first: bool,
    /// Whether new processes ignore the witnesses in the log, as earlier builds do.
    pub ignores_witnesses: bool,
    /// How long calls to workers are in flight; they are then carried out even if the link was cut
    /// meanwhile.
    pub call_latency: Duration,
    /// Whether owners can read the platform's list of machines, which names all workers that are up,
    /// whoever reaches them.
    pub lists_machines: bool,
    /// The operators' requests to evacuate data centres, in the store.
    pub evacuations: Evacuations,
    /// Number of orders to start a task that were sent to a worker which had been replaced.
    pub starts_for_replaced: usize,
    /// What owners have noted for their processes' logs, with the number of the VM.
    pub notes: Vec<(usize, Note)>,
    /// Draws the delays of processes.
    pub rng: fastrand::Rng,
    /// Whether a process handles the answers that are due in any order.
    pub shuffles_answers: bool,
    /// Whether to print calls, answers and the owners' notes.
    pub is_traced: bool,
    vms: Vec<Vm>,
    down: Vec<Option<CrashedWorker>>,
    /// When draining workers exit.
    exits: Vec<(Instant, usize)>,
    /// Directed links that drop everything, sorted.
    blocked_links: Vec<(Node, Node)>,
    log: Log,
    claimed: Option<NewestClaim>,
    /// The epoch of the newest heartbeat, and when it was stored. Heartbeats are fenced by
    /// heartbeats alone, as they are in a partition of their own.
    last_heartbeat: (u64, Instant),
    worker_entries: Vec<(Instant, WorkerListing)>,
    delayed_calls: Vec<DelayedCall>,
    calls: Vec<Call>,
    downtimes: Vec<TaskDowntime>,
    /// Runs that were started, and ends as done that are final.
    started_runs: Vec<(TaskId, Instant)>,
    final_ends: Vec<(TaskId, Instant)>,
    /// Numbers of both at the last check.
    checked_counts: (usize, usize),
}

impl Cluster {
    /// Returns VMs and workers that all reach each other; the first VM runs an owner.
    pub fn new(vms: usize, mut workers: Vec<FakeWorker>) -> Cluster {
        let now = Instant::from_millis(1_000);
        set_ports(&mut workers);
        let mut cluster = Cluster {
            now,
            step: TICK,
            down: workers.iter().map(|_| None).collect(),
            exits: Vec::new(),
            workers,
            ledger: Ledger::default(),
            elects_owners: false,
            receives_log_first: true,
            ignores_witnesses: false,
            call_latency: Duration::ZERO,
            lists_machines: false,
            evacuations: Evacuations::default(),
            starts_for_replaced: 0,
            notes: Vec::new(),
            rng: fastrand::Rng::with_seed(0),
            shuffles_answers: false,
            is_traced: false,
            vms: (0..vms).map(|_| Vm::default()).collect(),
            blocked_links: Vec::new(),
            log: Log::default(),
            claimed: None,
            last_heartbeat: (0, now),
            worker_entries: Vec::new(),
            delayed_calls: Vec::new(),
            calls: Vec::new(),
            downtimes: Vec::new(),
            started_runs: Vec::new(),
            final_ends: Vec::new(),
            checked_counts: (0, 0),
        };
        cluster.claim(0);
        cluster
    }

    /// Returns a cluster with as many long-running tasks as workers; the workers' clocks are the
    /// slowest allowed.
    pub fn with_long_running_tasks(vms: usize, workers: u32) -> Cluster {
        let mut cluster = Cluster::new(vms, (0..workers).map(slow_worker).collect());
        cluster.submit(1, job(vec![long_running_step(workers)]));
        assert!(
            cluster.run_until(2_000, Cluster::all_long_running_active),
            "the long-running tasks start"
        );
        cluster
    }

    /// Adds `count` workers.
    pub fn add_workers(&mut self, count: u32) {
        let from = self.workers.len() as u32;
        self.workers.extend((from..from + count).map(slow_worker));
        set_ports(&mut self.workers);
        self.down.extend((0..count).map(|_| None));
    }

    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        let long_running_steps = (0u16..).zip(&spec.steps).filter(|(_, it)| it.long_running);
        let tasks = long_running_steps.flat_map(|(step, it)| {
            let task = move |index| TaskId { job: JobId(id), occurrence: 0, step, index };
            (0..it.count).map(task)
        });
        let downtimes =
            |task| TaskDowntime { task, last_running_at: None, longest: Duration::ZERO };
        self.downtimes.extend(tasks.map(downtimes));
        let record = self.log.submit(&Record::Submitted(JobId(id), spec));
        self.ledger.fold(record);
    }

    /// Cuts all links between `some` and `others`, and returns whether any of them was open.
    pub fn cut(&mut self, some: &[Node], others: &[Node]) -> bool {
        let before = self.blocked_links.len();
        for (a, b) in some.iter().flat_map(|a| others.iter().map(|b| (*a, *b))) {
            self.cut_one_way(a, b);
            self.cut_one_way(b, a);
        }
        self.blocked_links.len() > before
    }

    /// Cuts the link in one direction.
    pub fn cut_one_way(&mut self, from: Node, to: Node) {
        if let Err(at) = self.blocked_links.binary_search(&(from, to)) {
            self.blocked_links.insert(at, (from, to));
        }
    }

    /// Isolates a group, such as a data centre, from all other nodes, and returns whether any link
    /// was open.
    pub fn isolate(&mut self, group: &[Node]) -> bool {
        let others: Vec<Node> = self.nodes().into_iter().filter(|it| !group.contains(it)).collect();
        self.cut(group, &others)
    }

    pub fn heal(&mut self, some: &[Node], others: &[Node]) {
        let are = |a: &Node, b: &Node| some.contains(a) && others.contains(b);
        self.blocked_links.retain(|(a, b)| !are(a, b) && !are(b, a));
    }

    pub fn heal_links(&mut self) {
        self.blocked_links.clear();
    }

    pub fn is_healed(&self) -> bool {
        self.blocked_links.is_empty() && self.vms.iter().all(|it| !it.frozen)
    }

    pub fn heal_all(&mut self) {
        self.heal_links();
        self.call_latency = Duration::ZERO;
        self.vms.iter_mut().for_each(|it| it.delays = Delays::default());
        (0..self.vms.len()).for_each(|vm| self.wake(vm));
    }

    fn nodes(&self) -> Vec<Node> {
        let vms = (0..self.vms.len()).map(Node::Vm);
        let workers = (0..self.workers.len()).map(Node::Worker);
        [Node::Store].into_iter().chain(vms).chain(workers).collect()
    }

    fn can_send(&self, from: Node, to: Node) -> bool {
        self.blocked_links.binary_search(&(from, to)).is_err()
    }

    fn are_connected(&self, a: Node, b: Node) -> bool {
        self.can_send(a, b) && self.can_send(b, a)
    }

    /// Freezes a VM: it sends its decided actions, and receives its answers, only after it resumes.
    pub fn freeze(&mut self, vm: usize) {
        self.vms[vm].frozen = true;
    }

    /// Lets the process on a VM handle answers and send calls late.
    pub fn delay(&mut self, vm: usize, delays: Delays) {
        self.vms[vm].delays = delays;
    }

    pub fn wake(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.just_woken = std::mem::take(&mut vm.frozen);
    }

    /// Kills the process on a VM without a release of the shard; its calls in flight still arrive.
    pub fn kill(&mut self, vm: usize) {
        self.delayed_calls.retain(|it| it.call.vm != vm);
        self.vms[vm] = Vm::default();
    }

    /// Lets the owner on a VM release the shard, and returns whether it could record the release.
    pub fn release(&mut self, vm: usize) -> bool {
        let reaches = self.are_connected(Node::Vm(vm), Node::Store) && !self.vms[vm].frozen;
        let epoch = self.epoch(vm);
        let claimed = self.claimed.as_mut().filter(|it| reaches && Some(it.epoch) == epoch);
        let Some(claimed) = claimed else { return false };
        claimed.released = true;
        self.vms[vm].process = None;
        true
    }

    /// Returns the epoch of the owner on a VM.
    pub fn epoch(&self, vm: usize) -> Option<u64> {
        self.vms[vm].process.as_ref().map(|it| it.epoch)
    }

    /// Returns whether an answer of the log is in flight to the owner on a VM.
    pub fn has_log_answer_in_flight(&self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_ref();
        process.is_some_and(|it| it.inbox.iter().any(|(_, event)| is_log_answer(event)))
    }

    /// Returns the worker of the first task of a job according to the log; the order to start it
    /// may still be in flight.
    pub fn recorded_worker(&self, job: u64) -> Option<usize> {
        let job = self.ledger.job(JobId(job))?;
        let copy = job.progress.occurrences[0][0][0].copies.first()?;
        self.workers.iter().position(|it| *it.name == *copy.worker.0)
    }

    /// Returns the worker of the first task of the first job.
    pub fn first_task_worker(&self) -> usize {
        self.recorded_worker(1).expect("the log names a worker for the first task")
    }

    pub fn is_frozen(&self, vm: usize) -> bool {
        self.vms[vm].frozen
    }

    /// Lets a VM claim the shard and read its log, and returns whether it could.
    pub fn claim(&mut self, vm: usize) -> bool {
        let it = &self.vms[vm];
        if it.frozen || it.process.is_some() || !self.are_connected(Node::Vm(vm), Node::Store) {
            return false;
        }
        let last = self.claimed.as_ref();
        let predecessors_expired =
            last.is_none_or(|it| (it.released || it.vm == vm) && it.predecessors_expired);
        let epoch = self.log.end + 1;
        self.claimed = Some(NewestClaim { epoch, vm, predecessors_expired, released: false });
        let mut ledger = self.log.read(false, false);
        if self.ignores_witnesses {
            ledger.fold(Record::Witnesses(Witnesses::default()));
        }
        let (name, released) = (format!("v{vm}"), false);
        let claim = Claim { vm: name, process: epoch, epoch, released, predecessors_expired };
        for record in self.log.append(&[Record::Claim(claim, ledger.vouched_epoch())]) {
            self.ledger.fold(record.clone());
            ledger.fold(record);
        }
        let vouched_epoch = ledger.vouched_epoch();
        self.vms[vm].process = Some(Process {
            epoch,
            owner: owner(
                self.now,
                0,
                epoch,
                ledger,
                predecessors_expired,
                ShardId(0),
                Layout { shards: 1 },
                PlacementRules::default(),
                vouched_epoch,
            ),
            predecessors_expired,
            heartbeat_sent_at: None,
            listed_at: None,
            writes: Vec::new(),
            outbox: Vec::new(),
            inbox: Vec::new(),
            submissions_read: self.log.submissions.len(),
        });
        true
    }

    /// Crashes a worker; it is up again after `away`, under the same id or a new one.
    pub fn crash(&mut self, at: usize, away: Duration, same_id: bool) {
        let name = &self.workers[at].name;
        let name = if same_id { name.clone() } else { format!("{name}'") };
        self.crash_and_rename(at, away, name);
    }

    /// Crashes a worker; it is up again after `away`, under the id that it had first.
    pub fn crash_to_first_id(&mut self, at: usize, away: Duration) {
        let name = self.workers[at].name.trim_end_matches('\'').to_owned();
        self.crash_and_rename(at, away, name);
    }

    fn crash_and_rename(&mut self, at: usize, away: Duration, name: String) {
        self.workers[at].runs.clear();
        self.exits.retain(|(_, it)| *it != at);
        self.down[at] = Some(CrashedWorker { until: self.now + away.max(MIN_DOWNTIME), name });
    }

    /// Ends a worker for good: nothing answers at its address any more.
    pub fn end_worker(&mut self, at: usize) {
        self.crash(at, FOR_GOOD, false);
    }

    /// Lets a worker announce that it drains, and exit later.
    pub fn drain(&mut self, at: usize) {
        self.workers[at].ready = false;
        self.exits.push((self.now + DRAIN_TIME, at));
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

    /// Runs until `done` returns true, at most for `millis`, and returns whether it did.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end && !done(self) {
            self.step();
        }
        done(self)
    }

    pub fn step(&mut self) {
        self.now = self.now + self.step;
        self.advance_workers();
        self.write_entries();
        if self.elects_owners {
            self.elect();
        }
        for vm in 0..self.vms.len() {
            self.run_process(vm);
        }
        self.send_delayed();
        self.deliver();
        check_runs(&self.workers, &self.ledger);
        self.check_no_start_after_end();
        self.track_downtime();
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        let exits = self.exits.iter().filter(|(when, _)| *when <= now).map(|(_, at)| *at);
        exits.collect::<Vec<_>>().into_iter().for_each(|at| self.end_worker(at));
        for (worker, down) in self.workers.iter_mut().zip(&mut self.down) {
            if down.as_ref().is_some_and(|it| it.until <= now)
                && let Some(it) = down.take()
            {
                let clock_slow_permille = worker.clock_slow_permille;
                let clock = worker.clock(now);
                let late: Vec<u64> = worker.delayed_orders.iter().map(|it| it.0).collect();
                let late_calls: Vec<u64> = worker.delayed_calls.iter().map(|it| it.0).collect();
                worker.restart(now);
                if worker.name != it.name {
                    // Orders name the worker that they are for, so a worker with a new name rejects
                    // old ones.
                    worker.delayed_orders.clear();
                    worker.delayed_calls.clear();
                }
                worker.name = it.name;
                worker.clock_slow_permille = clock_slow_permille;
                worker.clock_zero_ms = now.0 / 1_000;
                worker.clock_offset_ms = 1;
                // Orders still in flight arrive after the same delay, counted by the restarted
                // clock.
                for (order, at) in worker.delayed_orders.iter_mut().zip(late) {
                    order.0 = 1 + at.saturating_sub(clock).max(MIN_ORDER_DELAY_MS);
                }
                for (call, at) in worker.delayed_calls.iter_mut().zip(late_calls) {
                    call.0 = 1 + at.saturating_sub(clock).max(MIN_ORDER_DELAY_MS);
                }
            }
            if down.is_none() {
                worker.advance(now, &|_| false);
            }
        }
    }

    fn write_entries(&mut self) {
        let now = self.now;
        for at in 0..self.workers.len() {
            let listing = self.workers[at].listing();
            let known = self.worker_entries.iter().position(|(_, it)| it.id == listing.id);
            let due = known.is_none_or(|it| {
                let (written_at, entry) = &self.worker_entries[it];
                now.since(*written_at) >= ENTRY_INTERVAL
                    || entry.started_at_ms != listing.started_at_ms
                    || entry.ready != listing.ready
            });
            if due && !self.is_down(at) && self.can_send(Node::Worker(at), Node::Store) {
                self.worker_entries.retain(|(_, it)| it.id != listing.id);
                self.worker_entries.push((now, listing));
            }
        }
        self.worker_entries.retain(|(at, _)| now.since(*at) < ENTRY_LIFETIME);
    }

    fn elect(&mut self) {
        let released = self.claimed.as_ref().is_some_and(|it| it.released);
        if released || self.now.since(self.last_heartbeat.1) > ELECTION_TIMEOUT {
            // Other VMs treat a claim as a heartbeat.
            self.last_heartbeat.1 = self.now;
            let _ = (0..self.vms.len()).any(|vm| self.claim(vm));
        }
    }

    /// Runs one step of a process.
    fn run_process(&mut self, vm: usize) {
        if self.vms[vm].frozen {
            return;
        }
        let Some(mut process) = self.vms[vm].process.take() else { return };
        let now = self.now;
        self.send(vm, &mut process);
        self.read(vm, &mut process);
        // Answers of the log and of workers arrive on different paths, so either may come first.
        let log_answers_only =
            std::mem::take(&mut self.vms[vm].just_woken) && self.receives_log_first;
        let is_due = |(at, event): &(Instant, Event)| {
            *at <= now && (!log_answers_only || is_log_answer(event))
        };
        let (due, later) = process.inbox.drain(..).partition(is_due);
        process.inbox = later;
        let mut due: Vec<(Instant, Event)> = due;
        if self.shuffles_answers {
            self.rng.shuffle(&mut due);
        }
        for (_, event) in due {
            if self.is_traced {
                println!("{} vm {vm} handles {event:?}", now.0 / 1_000);
            }
            process.owner.handle_event(now, event);
        }
        process.owner.handle_event(now, Event::Tick);
        process.outbox = process.owner.take_actions(now);
        if process.outbox.contains(&Action::StepDown) {
            self.send(vm, &mut process);
            return;
        }
        if let Some(batch) = process.owner.try_batch(now) {
            process.writes.push(Write {
                batch: Some(batch),
                sent_at: now,
                next_send_at: now + self.step,
            });
        }
        let heartbeat_pending = process.writes.iter().any(|it| it.batch.is_none());
        if !heartbeat_pending
            && process.heartbeat_sent_at.is_none_or(|it| now.since(it) >= HEARTBEAT_INTERVAL)
        {
            process.heartbeat_sent_at = Some(now);
            process.writes.push(Write { batch: None, sent_at: now, next_send_at: now });
        }
        self.write(vm, &mut process);
        self.vms[vm].process = Some(process);
    }

    fn send(&mut self, vm: usize, process: &mut Process) {
        let now = self.now;
        let is_newest = self.claimed.as_ref().is_some_and(|it| it.epoch == process.epoch);
        for action in process.outbox.drain(..) {
            if let Action::Note(note) = action {
                if self.is_traced {
                    println!("{} vm {vm} epoch {}: {note:?}", now.0 / 1_000, process.epoch);
                }
                self.notes.push((vm, note));
                continue;
            }
            if let Action::Start(_, start) = &action
                && is_newest
            {
                check_start(&self.ledger, start);
            }
            let Some(key) = target_worker(&action) else { continue };
            let target = process.owner.worker(key).expect("the owner's worker");
            let to = self.workers.iter().position(|it| it.port == target.address.port());
            let delay = up_to(&mut self.rng, self.vms[vm].delays.send);
            let can_send = |to: &usize| self.can_send(Node::Vm(vm), Node::Worker(*to));
            match to.filter(|to| !delay.is_zero() || can_send(to)) {
                Some(to) => {
                    let call = Call {
                        at: now + delay + self.call_latency,
                        sent_at: now + delay,
                        vm,
                        epoch: process.epoch,
                        token: target.token,
                        to,
                        id: target.id.0.to_string(),
                        started_at_ms: target.started_at_ms,
                        action,
                    };
                    match delay.is_zero() {
                        true => self.calls.push(call),
                        false => {
                            self.delayed_calls.push(DelayedCall { send_at: now + delay, call })
                        }
                    }
                }
                None => {
                    let delay = up_to(&mut self.rng, self.vms[vm].delays.receive);
                    let event = unanswered_event(action).map(|it| (now + CALL_TIMEOUT + delay, it));
                    process.inbox.extend(event);
                }
            }
        }
    }

    /// Sends the delayed calls that are due, also those of owners that have ended since.
    fn send_delayed(&mut self) {
        let now = self.now;
        let is_due = |it: &DelayedCall| it.send_at <= now && !self.vms[it.call.vm].frozen;
        let due = self.delayed_calls.extract_if(.., |it| is_due(it)).collect::<Vec<_>>();
        for DelayedCall { mut call, .. } in due {
            call.sent_at = now;
            call.at = now + self.call_latency;
            if self.can_send(Node::Vm(call.vm), Node::Worker(call.to)) {
                self.calls.push(call);
            } else if let Some(event) = unanswered_event(call.action) {
                self.answer(call.vm, call.epoch, now + CALL_TIMEOUT, event);
            }
        }
    }

    /// Lets the owner with an epoch receive an answer, unless it has ended.
    fn answer(&mut self, vm: usize, epoch: u64, at: Instant, event: Event) {
        let Vm { process, delays, .. } = &mut self.vms[vm];
        if let Some(process) = process.as_mut().filter(|it| it.epoch == epoch) {
            let delay = up_to(&mut self.rng, delays.receive);
            process.inbox.push((at + delay, event));
        }
    }

    fn read(&self, vm: usize, process: &mut Process) {
        if !self.are_connected(Node::Vm(vm), Node::Store) {
            return;
        }
        let now = self.now;
        for record in &self.log.submissions[process.submissions_read..] {
            process.owner.handle_event(now, Event::Record(record.clone()));
        }
        process.submissions_read = self.log.submissions.len();
        if process.listed_at.is_none_or(|it| now.since(it) >= LIST_INTERVAL) {
            process.listed_at = Some(now);
            let listed = self.worker_entries.iter().map(|(_, it)| it.clone()).collect();
            process.owner.handle_event(now, Event::Workers(listed));
            let evacuations = Arc::new(self.evacuations.clone());
            let event = Event::EvacuationsRead { read_at: now, evacuations };
            process.owner.handle_event(now, event);
            if self.lists_machines && process.owner.awaits_machines(now) {
                let up = (0..self.workers.len()).filter(|at| !self.is_down(*at));
                let mut workers: Vec<WorkerId> =
                    up.map(|at| self.workers[at].name.as_str().into()).collect();
                workers.sort_unstable();
                let event = Event::MachinesListed { requested_at: now, workers };
                process.owner.handle_event(now, event);
            }
        }
    }

    fn write(&mut self, vm: usize, process: &mut Process) {
        let now = self.now;
        for mut write in std::mem::take(&mut process.writes) {
            let sent = write.next_send_at <= now && self.can_send(Node::Vm(vm), Node::Store);
            let answer = sent.then(|| self.store_write(process, &write));
            match answer.filter(|_| self.can_send(Node::Store, Node::Vm(vm))) {
                Some(event) => {
                    let delay = up_to(&mut self.rng, self.vms[vm].delays.receive);
                    process.inbox.push((now + self.step + delay, event));
                }
                None => {
                    if write.next_send_at <= now {
                        write.next_send_at = now + WRITE_RETRY_INTERVAL;
                    }
                    process.writes.push(write);
                }
            }
        }
    }

    /// Stores a write in the log, or rejects it; storing a write again changes nothing.
    fn store_write(&mut self, process: &Process, write: &Write) -> Event {
        let Write { batch, sent_at, .. } = write;
        let claimed = self.claimed.as_mut().expect("the first owner has claimed");
        let newest = if batch.is_some() { claimed.epoch } else { self.last_heartbeat.0 };
        if process.epoch < newest {
            return Event::RenewalFenced(LOG_KEY, u64::MAX);
        }
        match batch {
            Some(batch) => {
                for record in self.log.store(batch) {
                    self.ledger.fold(record);
                }
                Event::Appended { log_end: self.log.end }
            }
            None => {
                self.last_heartbeat = (process.epoch, self.now);
                if process.epoch == claimed.epoch {
                    claimed.predecessors_expired = process.predecessors_expired
                        || process.owner.are_predecessor_leases_over(self.now);
                }
                Event::HeartbeatStored { sent_at: *sent_at }
            }
        }
    }

    /// Delivers the calls that are due, and returns their answers.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.calls.drain(..).partition(|it| it.at <= now);
        self.calls = later;
        let due: Vec<Call> = due;
        for Call { sent_at, vm, epoch, token, to, id, started_at_ms, action, .. } in due {
            if self.is_traced {
                println!("{} vm {vm} calls {id} with token {token}: {action:?}", now.0 / 1_000);
            }
            let lost = unanswered_event(action.clone()).map(|it| (CALL_TIMEOUT, it));
            let is_replaced = self.workers[to].name != id;
            self.starts_for_replaced +=
                usize::from(is_replaced && matches!(action, Action::Start(..)));
            let answer = match is_replaced {
                _ if self.is_down(to) => None,
                false => self.execute(to, token, action),
                true => replaced_event(action, started_at_ms).map(|it| (TICK, it)),
            };
            let back = !self.is_down(to) && self.can_send(Node::Worker(to), Node::Vm(vm));
            let answer = if back && now.since(sent_at) < CALL_TIMEOUT { answer } else { lost };
            if let Some((after, event)) = answer {
                self.answer(vm, epoch, (now + after).max(sent_at + self.step), event);
            }
        }
    }

    fn execute(&mut self, at: usize, token: u64, action: Action) -> Option<(Duration, Event)> {
        let work_ms = match &action {
            Action::Start(_, start) => self.work_ms(start),
            _ => 0,
        };
        let (worker, now) = (&mut self.workers[at], self.now);
        let before = worker.runs.len();
        let task = if let Action::Start(_, it) = &action { Some(it.task) } else { None };
        let action = with_max_wait(action, HOLD_WAIT_MAX);
        let answer = worker.execute(now, token, action, work_ms);
        let began = worker.runs.len() > before;
        self.started_runs.extend(task.filter(|_| began).map(|it| (it, now)));
        answer
    }

    /// Checks that no task starts after its end, also where that end becomes final only later.
    fn check_no_start_after_end(&mut self) {
        for worker in &mut self.workers {
            self.final_ends.append(&mut worker.final_ends);
        }
        let known = (self.started_runs.len(), self.final_ends.len());
        if std::mem::replace(&mut self.checked_counts, known) == known {
            return;
        }
        for (task, began) in &self.started_runs {
            let again = self.final_ends.iter().any(|(it, ended)| it == task && ended < began);
            assert!(!again, "{task} is started after its end");
        }
    }

    fn work_ms(&self, start: &Start) -> u64 {
        let job = self.ledger.job(start.task.job).expect("only submitted jobs run");
        let step = &job.spec.steps[usize::from(start.task.step)];
        if step.long_running { LONG_RUNNING_WORK_MS } else { u64::from(step.estimate_ms) }
    }

    fn track_downtime(&mut self) {
        for it in &mut self.downtimes {
            let runs = |worker: &FakeWorker| worker.runs.iter().any(|run| run.task == it.task);
            if self.workers.iter().any(runs) {
                it.last_running_at = Some(self.now);
            } else if let Some(last) = it.last_running_at {
                it.longest = it.longest.max(self.now.since(last));
            }
        }
    }

    /// Returns the names of the workers on which a task runs.
    pub fn workers_running(&self, task: TaskId) -> Vec<&str> {
        let here = |it: &&FakeWorker| it.runs.iter().any(|run| run.task == task);
        self.workers.iter().filter(here).map(|it| it.name.as_str()).collect()
    }

    /// Returns whether all long-running tasks run.
    pub fn all_long_running_active(&self) -> bool {
        self.downtimes.iter().all(|it| !self.workers_running(it.task).is_empty())
    }

    /// Returns the longest downtime of any long-running task.
    pub fn longest_downtime(&self) -> Duration {
        self.downtimes.iter().map(|it| it.longest).max().unwrap_or_default()
    }
}

/// Returns a worker with the slowest clock allowed, which is far ahead of the clock of its next
/// incarnation.
fn slow_worker(at: u32) -> FakeWorker {
    FakeWorker {
        clock_slow_permille: 20,
        clock_offset_ms: 500_000,
        ..FakeWorker::new(&format!("w{at}"), 8)
    }
}

/// Gives each worker an address of its own.
fn set_ports(workers: &mut [FakeWorker]) {
    for (port, worker) in (1..).zip(workers) {
        worker.port = port;
    }
}

/// Draws a delay, if there is one.
fn up_to(rng: &mut fastrand::Rng, longest: Duration) -> Duration {
    match longest.as_millis() as u64 {
        0 => Duration::ZERO,
        longest => Duration::from_millis(rng.u64(..=longest)),
    }
}

fn is_log_answer(event: &Event) -> bool {
    matches!(
        event,
        Event::Appended { .. } | Event::HeartbeatStored { .. } | Event::RenewalFenced(LOG_KEY, _)
    )
}
