//! A random schedule of deliveries, losses, delays and replacements, drawn from a seed.
//!
//! Calls, answers and appends travel independently and arrive late, twice or never. Old holders
//! go on acting after they were replaced, and VMs fail and vanish from the list.

use std::{collections::VecDeque, time::Duration};

use daisy_ledger::{AppendId, Batch, Record, State};
use daisy_model::{
    Change, Command, DcId, Epoch, Exit, Instant, JobKind, JobSpec, Offset, Priority, Resources,
    SortedMap, TaskId, Vm, VmId, VmStatus, WallTime, WorkerCall, WorkerReport,
};
use daisy_placement::{Action, Event, Holder, Options};

use super::{FakeWorker, LEASE, Started, name, quota, size, vm};

/// A process that considers itself the holder, with its own fold.
#[derive(Debug)]
struct Process {
    holder: Holder,
    state: State,
    appends: VecDeque<Batch>,
    sender: u64,
    seq: u64,
    /// Whether it cannot reach the log.
    log_unreachable: bool,
    /// Whether it is paused: it sees and does nothing until it resumes.
    paused: bool,
    /// The age of the VM list that it reads, in lists.
    vm_list_lag: usize,
}

#[derive(Debug)]
enum Message {
    Call { vm: VmId, call: WorkerCall, is_copy: bool },
    Report { vm: VmId, report: WorkerReport },
}

/// A message from or to the process at index `process`.
#[derive(Debug)]
struct InFlight {
    process: usize,
    message: Message,
}

/// The whole state of a schedule.
#[derive(Debug)]
pub struct Chaos {
    rng: fastrand::Rng,
    now: Instant,
    log: Vec<Batch>,
    vms: Vec<Vm>,
    /// The last VM lists, newest last; processes read older ones according to their lag.
    vm_lists: VecDeque<Vec<Vm>>,
    /// VMs that left the list and still run under their lease, unreachable.
    unlisted_running: Vec<VmId>,
    workers: SortedMap<VmId, FakeWorker>,
    processes: Vec<Process>,
    in_flight: Vec<InFlight>,
    start_counts: SortedMap<(TaskId, u32), usize>,
    checked_starts: SortedMap<VmId, usize>,
    resume_counts: SortedMap<(TaskId, u64), usize>,
    next_vm: u32,
    faults_ended: bool,
}

const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 32_768, accelerators: 0 };
const WORKERS: u32 = 4;
/// The number of VM lists kept: a process reads one that is less than this many steps old.
const MAX_VM_LISTS: usize = 20;

impl Chaos {
    pub fn new(seed: u64) -> Chaos {
        let vms: Vec<Vm> = (1..=WORKERS).map(|id| vm(id, CAPACITY)).collect();
        let mut chaos = Chaos {
            rng: fastrand::Rng::with_seed(seed),
            now: Instant::from_millis(1_000),
            log: Vec::new(),
            workers: vms.iter().map(|vm| (vm.id, FakeWorker::new(CAPACITY))).collect(),
            vm_lists: VecDeque::from([vms.clone()]),
            unlisted_running: Vec::new(),
            vms,
            processes: Vec::new(),
            in_flight: Vec::new(),
            start_counts: SortedMap::new(),
            checked_starts: SortedMap::new(),
            resume_counts: SortedMap::new(),
            next_vm: WORKERS + 1,
            faults_ended: false,
        };
        chaos.command(quota(size(4_000, 16_000)));
        chaos.claim();
        chaos
    }

    /// Runs `steps` random steps and checks the rules after each.
    pub fn run(&mut self, steps: usize) -> Result<(), String> {
        for _ in 0..steps {
            self.step();
            self.check()?;
        }
        Ok(())
    }

    /// Ends all faults and runs until all created work has ended.
    pub fn settle(&mut self) -> Result<(), String> {
        self.faults_ended = true;
        self.workers.iter_mut().for_each(|(_, worker)| worker.broken = false);
        for vm in &mut self.vms {
            vm.status = VmStatus::Live;
        }
        for vm in self.newest_state().drained {
            self.command(Command::Undrain { vm });
        }
        self.cancel_services();
        self.claim();
        for _ in 0..3_000 {
            self.step();
            self.finish_some();
            self.check()?;
            if self.has_finished() {
                return Ok(());
            }
        }
        Err(format!("unfinished work after the faults ended: {:?}", self.unfinished()))
    }

    fn step(&mut self) {
        let millis = self.rng.u64(20..300);
        self.now = self.now + Duration::from_millis(millis);
        for (_, worker) in self.workers.iter_mut() {
            worker.lapse(self.now);
        }
        self.vm_lists.push_back(self.vms.clone());
        if self.vm_lists.len() > MAX_VM_LISTS {
            self.vm_lists.pop_front();
        }
        self.tick();
        for _ in 0..self.rng.usize(0..12) {
            self.deliver();
        }
        self.append();
        if !self.faults_ended {
            self.inject_fault();
        }
    }

    fn inject_fault(&mut self) {
        match self.rng.u32(0..400) {
            0..=5 => self.claim(),
            6..=9 => self.kill_vm(),
            10..=30 => self.declare(),
            31..=35 => self.cancel_one(),
            36..=70 => self.finish_some(),
            71..=75 => self.toggle_log(),
            76..=80 => self.skip_time(),
            100..=110 => self.toggle_pause(),
            81..=90 => self.toggle_broken(),
            91..=95 => self.toggle_drain(),
            96..=99 => self.leave_vm(),
            _ => {}
        }
    }

    /// Skips time for everything; only the workers' leases go on.
    fn skip_time(&mut self) {
        let seconds = self.rng.u64(1..40);
        self.now = self.now + Duration::from_secs(seconds);
    }

    fn toggle_drain(&mut self) {
        let vm = self.vms[self.rng.usize(..self.vms.len())].name.clone();
        let is_drained = self.newest_state().drained.contains(&vm);
        self.command(if is_drained { Command::Undrain { vm } } else { Command::Drain { vm } });
    }

    fn leave_vm(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let vm = &mut self.vms[at];
        let is_live = vm.status == VmStatus::Live;
        vm.status = if is_live { VmStatus::Leaving } else { VmStatus::Live };
    }

    /// Toggles whether a worker fails every start, or changes how long its checkpoints take.
    fn toggle_broken(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let Some(worker) = self.workers.get_mut(&self.vms[at].id) else { return };
        if self.rng.bool() {
            worker.checkpoint_time = Duration::from_secs(self.rng.u64(0..4));
        } else {
            worker.broken = !worker.broken;
        }
    }

    fn toggle_pause(&mut self) {
        let at = self.rng.usize(..self.processes.len());
        self.processes[at].paused = !self.processes[at].paused;
    }

    fn toggle_log(&mut self) {
        let at = self.rng.usize(..self.processes.len());
        self.processes[at].log_unreachable = !self.processes[at].log_unreachable;
    }

    /// A new process claims the data centre; the old ones go on, or all of them lose the log and
    /// their pending appends.
    fn claim(&mut self) {
        if self.faults_ended {
            self.processes
                .iter_mut()
                .for_each(|it| (it.log_unreachable, it.paused) = (false, false));
        }
        let offset = self.push(Record::Claim { dc: DcId(0), holder: VmId(900) });
        let options = Options::new(DcId(0), Epoch(offset + 1), LEASE, self.rng.u64(..));
        if self.processes.len() > 2 || self.rng.bool() {
            for it in &mut self.processes {
                it.appends.clear();
                it.log_unreachable = true;
            }
        }
        self.processes.push(Process {
            holder: Holder::new(options),
            state: State::default(),
            appends: VecDeque::new(),
            sender: offset + 10,
            seq: 0,
            log_unreachable: false,
            paused: false,
            vm_list_lag: self.rng.usize(0..MAX_VM_LISTS),
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
        let state = self.newest_state();
        let jobs: Vec<_> = state.jobs.iter().filter(|(_, job)| job.open > 0).collect();
        let Some((_, job)) = jobs.get(self.rng.usize(..jobs.len().max(1))) else { return };
        let command = Command::Cancel { kind: job.spec.kind, job: job.spec.name.clone() };
        self.command(command);
    }

    fn cancel_services(&mut self) {
        let state = self.newest_state();
        let services = state.jobs.iter().filter(|(_, job)| job.spec.kind == JobKind::Service);
        let names: Vec<_> = services.map(|(_, job)| job.spec.name.clone()).collect();
        for job in names {
            self.command(Command::Cancel { kind: JobKind::Service, job });
        }
    }

    /// A VM fails, or is cut off and runs on until its lease lapses; a new VM is added.
    fn kill_vm(&mut self) {
        let at = self.rng.usize(..self.vms.len());
        let dead = self.vms.remove(at).id;
        if self.rng.bool() {
            self.workers.remove(&dead);
        } else {
            self.unlisted_running.push(dead);
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
            if self.processes[at].paused {
                continue;
            }
            let mut actions = Vec::new();
            let reachable = !self.processes[at].log_unreachable;
            if reachable {
                self.catch_up(at);
            }
            let it = &mut self.processes[at];
            it.holder.step(self.now, Event::Log { reachable }, &mut actions);
            let back = if self.faults_ended { 0 } else { it.vm_list_lag };
            let list = self.vm_lists.len().saturating_sub(1 + back);
            it.holder.step(self.now, Event::Vms(&self.vm_lists[list]), &mut actions);
            it.holder.step(self.now, Event::Ledger(&it.state), &mut actions);
            it.holder.step(self.now, Event::Tick, &mut actions);
            self.queue_actions(at, actions);
        }
    }

    /// Folds some of the batches that the process has not seen yet.
    fn catch_up(&mut self, at: usize) {
        let most = if self.faults_ended { usize::MAX } else { self.rng.usize(0..6) };
        let it = &mut self.processes[at];
        let from = it.state.next.0 as usize;
        for (offset, batch) in self.log.iter().enumerate().skip(from).take(most) {
            it.state.apply(Offset(offset as u64), batch);
        }
    }

    fn queue_actions(&mut self, process: usize, actions: Vec<Action>) {
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
                    self.in_flight.push(InFlight { process, message });
                }
            }
        }
    }

    /// Appends the batches of processes that reach the log, some of them twice.
    fn append(&mut self) {
        for at in 0..self.processes.len() {
            let is_slow = !self.faults_ended && self.rng.bool();
            let it = &mut self.processes[at];
            if it.log_unreachable || it.paused || is_slow {
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
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.in_flight.len());
        let InFlight { process, message } = self.in_flight.swap_remove(at);
        if self.processes[process].paused && matches!(message, Message::Report { .. }) {
            return self.in_flight.push(InFlight { process, message });
        }
        match message {
            Message::Call { vm, call, is_copy } => self.deliver_call(process, vm, call, is_copy),
            Message::Report { vm, report } => self.deliver_report(process, vm, &report),
        }
    }

    fn deliver_call(&mut self, process: usize, vm: VmId, call: WorkerCall, is_copy: bool) {
        let outcome = if self.faults_ended { 9 } else { self.rng.u32(0..10) };
        // The call is lost, though a copy of it may arrive late.
        if outcome == 0 && !is_copy {
            if self.rng.bool() {
                let message = Message::Call { vm, call, is_copy: true };
                self.in_flight.push(InFlight { process, message });
            }
            return self.fail_call(process, vm, true);
        }
        if outcome == 1 && !is_copy {
            return self.fail_call(process, vm, false);
        }
        let worker = self.workers.get_mut(&vm).filter(|_| !self.unlisted_running.contains(&vm));
        let Some(worker) = worker else {
            if !is_copy {
                self.fail_call(process, vm, true);
            }
            return;
        };
        let report = worker.call(self.now, &call);
        if is_copy {
            return;
        }
        // The call took effect, but its answer is lost.
        if outcome == 2 {
            return self.fail_call(process, vm, true);
        }
        self.in_flight.push(InFlight { process, message: Message::Report { vm, report } });
    }

    fn deliver_report(&mut self, process: usize, vm: VmId, report: &WorkerReport) {
        let mut actions = Vec::new();
        let it = &mut self.processes[process];
        it.holder.step(self.now, Event::Report { vm, report }, &mut actions);
        self.queue_actions(process, actions);
    }

    fn fail_call(&mut self, process: usize, vm: VmId, sent: bool) {
        let mut actions = Vec::new();
        let it = &mut self.processes[process];
        it.holder.step(self.now, Event::CallFailed { vm, sent }, &mut actions);
        self.queue_actions(process, actions);
    }

    fn check(&mut self) -> Result<(), String> {
        self.check_single_copy()?;
        let workers = std::mem::take(&mut self.workers);
        let mut checked = Ok(());
        for (vm, worker) in workers.iter() {
            if worker.rejected_starts > 0 {
                checked = Err(format!("{vm:?} was ordered starts beyond its capacity"));
            }
            let from = self.checked_starts.insert(*vm, worker.started.len()).unwrap_or(0);
            for started in &worker.started[from..] {
                checked = checked.and(self.check_start(started));
            }
        }
        self.workers = workers;
        checked
    }

    fn check_single_copy(&self) -> Result<(), String> {
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
        let count = self.start_counts.get_or_insert_with((task, incarnation.0), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!("task {task} incarnation {incarnation} was started twice"));
        }
        let Some(token) = checkpoint else { return Ok(()) };
        let count = self.resume_counts.get_or_insert_with((task, token), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!("task {task} was resumed twice from one checkpoint"));
        }
        Ok(())
    }

    fn newest_state(&self) -> State {
        let mut state = State::default();
        for (offset, batch) in self.log.iter().enumerate() {
            state.apply(Offset(offset as u64), batch);
        }
        state
    }

    fn has_finished(&self) -> bool {
        let Some(last) = self.processes.last() else { return false };
        last.state.next.0 as usize == self.log.len()
            && last.state.jobs.iter().all(|(_, job)| job.open == 0)
    }

    fn unfinished(&self) -> Vec<String> {
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
