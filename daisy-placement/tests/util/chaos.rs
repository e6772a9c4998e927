//! A schedule of deliveries, losses, delays and replacements drawn from a seed.
//!
//! Calls, answers and appends travel on their own and arrive late, twice or never; old
//! holders go on acting after they have been replaced; VMs die and vanish from the list.

use std::{collections::VecDeque, time::Duration};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_model::{
    Change, Command, DcId, Epoch, Exit, Instant, JobKind, JobSpec, Offset, Priority, Resources,
    SortedMap, TaskId, Vm, VmId, VmStatus, WallTime, WorkerCall, WorkerReport,
};
use daisy_placement::{Action, Event, Holder, Options};

use super::{FakeWorker, LEASE, Started, name, quota, size, vm};

/// One process that believes itself the holder, with its own fold.
#[derive(Debug)]
struct Process {
    holder: Holder,
    state: State,
    appends: VecDeque<Batch>,
    sender: u64,
    seq: u64,
    /// Cannot reach the log.
    cut: bool,
    /// Paused: it sees and does nothing until it wakes up.
    frozen: bool,
    /// How many VM lists back it reads.
    lag: usize,
}

#[derive(Debug)]
enum Message {
    Call { vm: VmId, call: WorkerCall, is_copy: bool },
    Report { vm: VmId, report: WorkerReport },
}

/// A message from or to the process at `process`.
#[derive(Debug)]
struct InFlight {
    process: usize,
    message: Message,
}

/// Everything that the schedule drives.
#[derive(Debug)]
pub struct Chaos {
    rng: fastrand::Rng,
    now: Instant,
    log: Vec<Batch>,
    vms: Vec<Vm>,
    /// Older VM lists, the newest last: processes read them with a lag.
    lists: VecDeque<Vec<Vm>>,
    /// VMs that left the list and go on under their lease, out of reach.
    ghosts: Vec<VmId>,
    workers: SortedMap<VmId, FakeWorker>,
    processes: Vec<Process>,
    flying: Vec<InFlight>,
    starts: SortedMap<(TaskId, u32), usize>,
    counted: SortedMap<VmId, usize>,
    resumed: SortedMap<(TaskId, u64), usize>,
    next_vm: u32,
    calm: bool,
}

const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 32_768, accelerators: 0 };
const WORKERS: u32 = 4;
/// VM lists remembered: a process reads one up to this many steps old.
const LISTS: usize = 20;

impl Chaos {
    pub fn new(seed: u64) -> Chaos {
        let vms: Vec<Vm> = (1..=WORKERS).map(|id| vm(id, CAPACITY)).collect();
        let mut chaos = Chaos {
            rng: fastrand::Rng::with_seed(seed),
            now: Instant::from_millis(1_000),
            log: Vec::new(),
            workers: vms.iter().map(|vm| (vm.id, FakeWorker::new(CAPACITY))).collect(),
            lists: VecDeque::from([vms.clone()]),
            ghosts: Vec::new(),
            vms,
            processes: Vec::new(),
            flying: Vec::new(),
            starts: SortedMap::new(),
            counted: SortedMap::new(),
            resumed: SortedMap::new(),
            next_vm: WORKERS + 1,
            calm: false,
        };
        chaos.command(quota(size(4_000, 16_000)));
        chaos.claim();
        chaos
    }

    /// Runs `steps` random steps and checks after each.
    pub fn run(&mut self, steps: usize) -> Result<(), String> {
        for _ in 0..steps {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// Ends all faults and runs until everything declared has ended.
    pub fn settle(&mut self) -> Result<(), String> {
        self.calm = true;
        self.workers.iter_mut().for_each(|(_, worker)| worker.broken = false);
        for vm in &mut self.vms {
            vm.status = VmStatus::Live;
        }
        for vm in self.newest().drained {
            self.command(Command::Undrain { vm });
        }
        self.cancel_services();
        self.claim();
        for _ in 0..3_000 {
            self.step();
            self.finish_some();
            self.check()?;
            if self.is_over() {
                return Ok(());
            }
        }
        Err(format!("work is left over: {:?}", self.left_over()))
    }

    fn step(&mut self) {
        let millis = self.rng.u64(20..300);
        self.now = self.now + Duration::from_millis(millis);
        for (_, worker) in self.workers.iter_mut() {
            worker.lapse(self.now);
        }
        self.lists.push_back(self.vms.clone());
        if self.lists.len() > LISTS {
            self.lists.pop_front();
        }
        self.tick();
        for _ in 0..self.rng.usize(0..12) {
            self.deliver();
        }
        self.append();
        if !self.calm {
            self.disturb();
        }
    }

    fn disturb(&mut self) {
        match self.rng.u32(0..400) {
            0..=5 => self.claim(),
            6..=9 => self.kill_vm(),
            10..=30 => self.declare(),
            31..=35 => self.cancel_one(),
            36..=70 => self.finish_some(),
            71..=75 => self.toggle_log(),
            76..=80 => self.jump(),
            100..=110 => self.toggle_frozen(),
            81..=90 => self.toggle_broken(),
            91..=95 => self.toggle_drain(),
            96..=99 => self.leave_vm(),
            _ => {}
        }
    }

    /// A long pause of everything but the workers' clocks.
    fn jump(&mut self) {
        let seconds = self.rng.u64(1..40);
        self.now = self.now + Duration::from_secs(seconds);
    }

    fn toggle_drain(&mut self) {
        let vm = self.vms[self.rng.usize(..self.vms.len())].name.clone();
        let is_drained = self.newest().drained.contains(&vm);
        self.command(if is_drained { Command::Undrain { vm } } else { Command::Drain { vm } });
    }

    fn leave_vm(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let vm = &mut self.vms[at];
        let is_live = vm.status == VmStatus::Live;
        vm.status = if is_live { VmStatus::Leaving } else { VmStatus::Live };
    }

    /// A worker fails every start from now on, or works again, or its checkpoints take time.
    fn toggle_broken(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let Some(worker) = self.workers.get_mut(&self.vms[at].id) else { return };
        if self.rng.bool() {
            worker.checkpoint_time = Duration::from_secs(self.rng.u64(0..4));
        } else {
            worker.broken = !worker.broken;
        }
    }

    fn toggle_frozen(&mut self) {
        let at = self.rng.usize(..self.processes.len());
        self.processes[at].frozen = !self.processes[at].frozen;
    }

    fn toggle_log(&mut self) {
        let at = self.rng.usize(..self.processes.len());
        self.processes[at].cut = !self.processes[at].cut;
    }

    /// A new process claims the data centre; the old ones go on, or most of them die.
    fn claim(&mut self) {
        if self.calm {
            self.processes.iter_mut().for_each(|it| (it.cut, it.frozen) = (false, false));
        }
        let offset = self.push(Record::Claim { dc: DcId(0), holder: VmId(900) });
        let options = Options::new(DcId(0), Epoch(offset + 1), LEASE, self.rng.u64(..));
        if self.processes.len() > 2 || self.rng.bool() {
            for it in &mut self.processes {
                it.appends.clear();
                it.cut = true;
            }
        }
        self.processes.push(Process {
            holder: Holder::new(options),
            state: State::default(),
            appends: VecDeque::new(),
            sender: offset + 10,
            seq: 0,
            cut: false,
            frozen: false,
            lag: self.rng.usize(0..LISTS),
        });
    }

    fn push(&mut self, record: Record) -> u64 {
        let offset = self.log.len() as u64;
        let id = AppendId { sender: 1, seq: offset + 1 };
        self.log.push(Batch { id, records: vec![record] });
        offset
    }

    fn command(&mut self, command: Command) {
        let change = Change {
            who: name("ana"),
            at: WallTime(0),
            text: "fixture".into(),
            command,
            condition: None,
        };
        self.push(Record::Change(change));
    }

    fn declare(&mut self) {
        let at = self.log.len();
        let kind = if self.rng.u32(0..4) == 0 { JobKind::Service } else { JobKind::Batch };
        let tasks = self.rng.u32(1..5);
        let cores = self.rng.u32(1..5);
        let spec = JobSpec {
            kind,
            restartable: self.rng.bool(),
            priority: Priority::ALL[self.rng.usize(..Priority::ALL.len())],
            ..super::batch(&format!("job-{at}"), tasks, size(cores, 2))
        };
        self.command(Command::Create(spec));
    }

    fn cancel_one(&mut self) {
        let state = self.newest();
        let jobs: Vec<_> = state.jobs.iter().filter(|(_, job)| job.open > 0).collect();
        let Some((_, job)) = jobs.get(self.rng.usize(..jobs.len().max(1))) else { return };
        let command = Command::Cancel { kind: job.spec.kind, job: job.spec.name.clone() };
        self.command(command);
    }

    fn cancel_services(&mut self) {
        let state = self.newest();
        let services = state.jobs.iter().filter(|(_, job)| job.spec.kind == JobKind::Service);
        let names: Vec<_> = services.map(|(_, job)| job.spec.name.clone()).collect();
        for job in names {
            self.command(Command::Cancel { kind: JobKind::Service, job });
        }
    }

    /// A VM dies, or is cut off and goes on until its lease lapses; a new VM comes.
    fn kill_vm(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let dead = self.vms.remove(at).id;
        if self.rng.bool() {
            self.workers.remove(&dead);
        } else {
            self.ghosts.push(dead);
        }
        let new = vm(self.next_vm, CAPACITY);
        self.next_vm += 1;
        self.workers.insert(new.id, FakeWorker::new(CAPACITY));
        self.vms.push(new);
    }

    fn finish_some(&mut self) {
        for (_, worker) in self.workers.iter_mut() {
            let Some(task) = worker.running.first().map(|it| it.task) else { continue };
            let exit = match self.rng.u32(0..10) {
                0 => Exit::Failed,
                1..=3 => Exit::Checkpointed(self.rng.u64(..)),
                _ => Exit::Done,
            };
            worker.finish(task, exit);
        }
    }

    fn tick(&mut self) {
        for at in 0..self.processes.len() {
            if self.processes[at].frozen {
                continue;
            }
            let mut actions = Vec::new();
            let reachable = !self.processes[at].cut;
            if reachable {
                self.catch_up(at);
            }
            let it = &mut self.processes[at];
            it.holder.step(self.now, Event::Log { reachable }, &mut actions);
            let back = if self.calm { 0 } else { it.lag };
            let list = self.lists.len().saturating_sub(1 + back);
            it.holder.step(self.now, Event::Vms(&self.lists[list]), &mut actions);
            it.holder.step(self.now, Event::Ledger(&it.state), &mut actions);
            it.holder.step(self.now, Event::Tick, &mut actions);
            self.take(at, actions);
        }
    }

    /// Folds some of what the process has not seen yet.
    fn catch_up(&mut self, at: usize) {
        let most = if self.calm { usize::MAX } else { self.rng.usize(0..6) };
        let it = &mut self.processes[at];
        let from = it.state.next.0 as usize;
        for (offset, batch) in self.log.iter().enumerate().skip(from).take(most) {
            it.state.apply(Offset(offset as u64), batch);
        }
    }

    fn take(&mut self, process: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    let it = &mut self.processes[process];
                    it.seq += 1;
                    let id = AppendId { sender: it.sender, seq: it.seq };
                    it.appends.push_back(Batch { id, records: vec![record] });
                }
                Action::Call { vm, call } => {
                    let message = Message::Call { vm, call, is_copy: false };
                    self.flying.push(InFlight { process, message });
                }
            }
        }
    }

    /// Appends of processes that reach the log, some of them twice.
    fn append(&mut self) {
        for at in 0..self.processes.len() {
            let is_slow = !self.calm && self.rng.bool();
            let it = &mut self.processes[at];
            if it.cut || it.frozen || is_slow {
                continue;
            }
            while let Some(batch) = it.appends.pop_front() {
                if self.rng.u32(0..8) == 0 {
                    self.log.push(batch.clone());
                }
                self.log.push(batch);
            }
        }
    }

    fn deliver(&mut self) {
        if self.flying.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.flying.len());
        let InFlight { process, message } = self.flying.swap_remove(at);
        if self.processes[process].frozen && matches!(message, Message::Report { .. }) {
            return self.flying.push(InFlight { process, message });
        }
        match message {
            Message::Call { vm, call, is_copy } => self.deliver_call(process, vm, call, is_copy),
            Message::Report { vm, report } => self.deliver_report(process, vm, &report),
        }
    }

    fn deliver_call(&mut self, process: usize, vm: VmId, call: WorkerCall, is_copy: bool) {
        let fate = if self.calm { 9 } else { self.rng.u32(0..10) };
        // Lost, though a copy of it may arrive late.
        if fate == 0 && !is_copy {
            if self.rng.bool() {
                let message = Message::Call { vm, call, is_copy: true };
                self.flying.push(InFlight { process, message });
            }
            return self.silence(process, vm, true);
        }
        if fate == 1 && !is_copy {
            return self.silence(process, vm, false);
        }
        let worker = self.workers.get_mut(&vm).filter(|_| !self.ghosts.contains(&vm));
        let Some(worker) = worker else {
            if !is_copy {
                self.silence(process, vm, true);
            }
            return;
        };
        let report = worker.call(self.now, &call);
        if is_copy {
            return;
        }
        // Took effect, but the answer is lost.
        if fate == 2 {
            return self.silence(process, vm, true);
        }
        self.flying.push(InFlight { process, message: Message::Report { vm, report } });
    }

    fn deliver_report(&mut self, process: usize, vm: VmId, report: &WorkerReport) {
        let mut actions = Vec::new();
        let it = &mut self.processes[process];
        it.holder.step(self.now, Event::Report { vm, report }, &mut actions);
        self.take(process, actions);
    }

    fn silence(&mut self, process: usize, vm: VmId, sent: bool) {
        let mut actions = Vec::new();
        let it = &mut self.processes[process];
        it.holder.step(self.now, Event::CallFailed { vm, sent }, &mut actions);
        self.take(process, actions);
    }

    fn check(&mut self) -> Result<(), String> {
        self.check_places()?;
        let workers = std::mem::take(&mut self.workers);
        let mut checked = Ok(());
        for (vm, worker) in workers.iter() {
            if worker.no_room > 0 {
                checked = Err(format!("{vm:?} was given more than it holds"));
            }
            let from = self.counted.insert(*vm, worker.started.len()).unwrap_or(0);
            for started in &worker.started[from..] {
                checked = checked.and(self.check_start(started));
            }
        }
        self.workers = workers;
        checked
    }

    fn check_places(&self) -> Result<(), String> {
        let mut running: Vec<TaskId> = self
            .workers
            .iter()
            .flat_map(|(_, worker)| worker.running.iter().map(|it| it.task))
            .collect();
        running.sort_unstable();
        match running.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(format!("task {} runs in two places", pair[0])),
            None => Ok(()),
        }
    }

    fn check_start(&mut self, started: &Started) -> Result<(), String> {
        let Started { task, incarnation, checkpoint, .. } = *started;
        let count = self.starts.get_or_insert_with((task, incarnation.0), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!("task {task} incarnation {incarnation} was started twice"));
        }
        let Some(token) = checkpoint else { return Ok(()) };
        let count = self.resumed.get_or_insert_with((task, token), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!("task {task} was resumed twice from one checkpoint"));
        }
        Ok(())
    }

    fn newest(&self) -> State {
        let mut state = State::default();
        for (offset, batch) in self.log.iter().enumerate() {
            state.apply(Offset(offset as u64), batch);
        }
        state
    }

    fn is_over(&self) -> bool {
        let Some(last) = self.processes.last() else { return false };
        last.state.next.0 as usize == self.log.len()
            && last.state.jobs.iter().all(|(_, job)| job.open == 0)
    }

    fn left_over(&self) -> Vec<String> {
        let Some(last) = self.processes.last() else { return Vec::new() };
        let tasks = last.holder.checked_out_tasks();
        tasks
            .into_iter()
            .map(|it| {
                let notes = last.holder.reasons(it.task);
                let why = notes.last().map(|it| it.reason.to_string()).unwrap_or_default();
                format!("{it:?}: {why}")
            })
            .collect()
    }
}
