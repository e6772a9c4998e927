//! Owners that run at the same time while links are cut and processes are frozen. The cluster
//! checks at each step that no task runs on two workers.

mod util;

use std::time::Duration;

use util::{Cluster, Fault, Node, job, long_running_step, step, task};

/// Maximum time in milliseconds until a long-running task runs again after an owner was replaced:
/// what the platform's contract allows after the last fault.
const MAX_RECOVERY_MS: u64 = 7_000;

/// Returns two VMs and four workers, whose owner has recorded its witnesses.
fn cluster_with_witnesses() -> Cluster {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    assert!(!cluster.ledger.witnesses().workers.is_empty(), "the owner has recorded its witnesses");
    cluster
}

/// Returns whether the first task runs on a worker, and on no other.
fn runs_only_on(cluster: &Cluster, worker: usize) -> bool {
    cluster.workers_running(task(1, 0, 0)) == [cluster.workers[worker].name.as_str()]
}

/// Returns whether the first task runs on another worker.
fn runs_elsewhere(cluster: &Cluster, worker: usize) -> bool {
    let places = cluster.workers_running(task(1, 0, 0));
    places.iter().any(|name| *name != cluster.workers[worker].name)
}

/// Guards against starting tasks elsewhere while an old owner without the log still renews their
/// leases.
#[test]
fn no_task_runs_twice_when_an_old_owner_is_isolated_with_one_worker() {
    let mut cluster = cluster_with_witnesses();
    let host = cluster.first_task_worker();
    cluster.isolate(&[Node::Vm(0), Node::Worker(host)]);
    assert!(cluster.claim(1));

    cluster.run_ms(4_000);
    let stayed = runs_only_on(&cluster, host);
    let moved = cluster.run_until(MAX_RECOVERY_MS - 4_000, |it| runs_elsewhere(it, host));
    cluster.heal_all();
    let stepped_down =
        cluster.run_until(1_000, |it| it.epoch(0).is_none() && it.all_long_running_active());

    assert!(
        stayed && moved && stepped_down,
        "stayed {stayed}, moved {moved}, stepped down {stepped_down}"
    );
}

/// Guards against treating an old owner as ended while most of its workers still answer it.
#[test]
fn an_old_owner_isolated_with_most_workers_keeps_their_tasks() {
    let mut cluster = cluster_with_witnesses();
    let host = cluster.first_task_worker();
    let others: Vec<Node> = (0..4).filter(|it| *it != host).map(Node::Worker).collect();
    cluster.isolate(&[&others[..2], &[Node::Vm(0), Node::Worker(host)]].concat());
    assert!(cluster.claim(1));

    cluster.run_ms(9_000);
    let stayed = runs_only_on(&cluster, host);
    let moved = cluster.run_until(10_000, |it| runs_elsewhere(it, host));

    assert!(stayed && moved, "stayed {stayed}, moved {moved}");
}

/// Guards against the case in which neither owner reaches a majority, as each reaches half of the
/// workers.
#[test]
fn no_task_runs_twice_when_two_owners_reach_half_of_the_workers_each() {
    let mut cluster = cluster_with_witnesses();
    let host = cluster.first_task_worker();
    let another = (host + 1) % 4;
    cluster.isolate(&[Node::Vm(0), Node::Worker(host), Node::Worker(another)]);
    assert!(cluster.claim(1));

    let moved = cluster.run_until(20_000, |it| runs_elsewhere(it, host));
    cluster.heal_all();
    let stepped_down =
        cluster.run_until(1_000, |it| it.epoch(0).is_none() && it.all_long_running_active());

    assert!(moved && stepped_down);
}

/// Guards against a restarted worker that no longer knows that the old owner was replaced.
#[test]
fn restarted_workers_are_not_witnesses_of_an_old_owner() {
    let mut cluster = cluster_with_witnesses();
    let host = cluster.first_task_worker();
    let others: Vec<Node> = (0..4).filter(|it| *it != host).map(Node::Worker).collect();
    cluster.cut(&[Node::Vm(0)], &[&[Node::Store], &others[..]].concat());
    cluster.cut(&[Node::Vm(1)], &[Node::Worker(host)]);
    assert!(cluster.claim(1));
    cluster.run_ms(300);
    for at in (0..4).filter(|it| *it != host) {
        cluster.crash(at, Duration::from_millis(300), true);
    }
    cluster.cut(&[Node::Vm(1)], &others[1..]);
    cluster.heal(&[Node::Vm(0)], &others[1..]);

    cluster.run_ms(20_000);
    cluster.heal_all();

    assert!(cluster.run_until(2_000, Cluster::all_long_running_active));
}

/// Guards against the orders that a frozen owner still sends after it resumes.
#[test]
fn no_task_runs_twice_when_an_old_owner_resumes() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.submit(2, job(vec![long_running_step(2)]));
    cluster.run_ms(30);
    cluster.freeze(0);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));
    cluster.run_ms(4_000);
    cluster.wake(0);
    cluster.run_ms(1_000);

    assert!(cluster.all_long_running_active());
    assert_eq!(cluster.epoch(0), None);
}

/// Guards against starting tasks elsewhere while a worker that nobody reaches still runs them.
#[test]
fn no_task_runs_twice_when_a_worker_is_isolated() {
    let mut cluster = Cluster::with_long_running_tasks(1, 4);
    let host = cluster.first_task_worker();
    cluster.isolate(&[Node::Worker(host)]);

    let moved = cluster.run_until(7_000, |it| {
        let places = it.workers_running(task(1, 0, 0));
        places.iter().any(|name| *name != it.workers[host].name)
    });

    assert!(moved);
    assert!(cluster.longest_downtime() < Duration::from_millis(1_000));
}

/// Guards against treating a worker that has lost the new owner's epoch as one that still honours
/// the old owner.
#[test]
fn a_restarted_worker_does_not_confirm_an_old_owner() {
    for wakes_after in [500, 2_000, 3_500] {
        let mut cluster = Cluster::with_long_running_tasks(2, 3);
        let host = cluster.first_task_worker();
        let other = (host + 1) % 3;
        cluster.freeze(0);
        cluster.cut(&[Node::Vm(1)], &[Node::Worker(host)]);
        assert!(cluster.claim(1));
        cluster.run_ms(500);
        cluster.isolate(&[Node::Vm(0), Node::Worker(host), Node::Worker(other)]);
        cluster.crash(other, Duration::ZERO, true);
        cluster.run_ms(wakes_after);
        cluster.wake(0);

        cluster.run_ms(20_000);

        assert!(cluster.all_long_running_active());
    }
}

/// Guards against owners that use different sets of workers, as workers have just been added.
#[test]
fn no_task_runs_twice_when_an_old_owner_does_not_know_new_workers() {
    for delay_steps in 0..25 {
        let mut cluster = Cluster::with_long_running_tasks(2, 3);
        let old: Vec<Node> = (0..3).map(Node::Worker).collect();
        cluster.add_workers(4);
        cluster.run_ms(delay_steps * 10);
        cluster.cut_one_way(Node::Store, Node::Vm(0));
        cluster.run_ms(300);
        cluster.isolate(&[&[Node::Vm(0)], &old[..]].concat());
        assert!(cluster.claim(1));

        cluster.run_ms(20_000);

        assert!(cluster.all_long_running_active());
    }
}

/// Guards against a wait for a lost worker that restarts with each new owner.
#[test]
fn a_task_of_a_lost_worker_restarts_within_7_s_of_an_owner_change() {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    let host = cluster.first_task_worker();
    cluster.crash(host, Duration::from_secs(60), false);
    cluster.run_ms(4_000);
    cluster.kill(0);
    cluster.run_ms(1_500);
    assert!(cluster.claim(1));

    let all_restarted = cluster.run_until(MAX_RECOVERY_MS, Cluster::all_long_running_active);

    assert!(all_restarted);
}

const VMS: usize = 3;
/// Number of seeds that CI runs.
const SEEDS: u64 = 150;
const WORKERS: usize = 6;

/// A seeded schedule of overlapping faults.
struct Schedule {
    rng: fastrand::Rng,
    cluster: Cluster,
    jobs: u64,
}

fn new_schedule(seed: u64) -> Schedule {
    let mut cluster = Cluster::with_long_running_tasks(VMS, WORKERS as u32);
    cluster.elects_owners = true;
    Schedule { rng: fastrand::Rng::with_seed(seed), cluster, jobs: 1 }
}

impl Schedule {
    fn vm(&mut self) -> Node {
        Node::Vm(self.rng.usize(..VMS))
    }

    fn worker(&mut self) -> Node {
        Node::Worker(self.rng.usize(..WORKERS))
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let count = self.rng.u32(1..4);
        let spec = if self.jobs < 5 { long_running_step(count) } else { step(count) };
        self.cluster.submit(self.jobs, job(vec![spec]));
    }

    fn cut(&mut self) {
        let (vm, worker) = (self.vm(), self.worker());
        match self.rng.u8(..6) {
            0 => drop(self.cluster.cut(&[vm], &[Node::Store])),
            1 => drop(self.cluster.cut(&[vm], &[worker])),
            2 => drop(self.cluster.isolate(&[worker])),
            3 => {
                let group = [vm, worker, self.worker()];
                self.cluster.isolate(&group);
            }
            it => {
                let other = if self.rng.bool() { worker } else { Node::Store };
                let (from, to) = if it == 4 { (vm, other) } else { (other, vm) };
                self.cluster.cut_one_way(from, to);
            }
        }
    }

    fn event(&mut self) {
        let (vm, worker) = (self.rng.usize(..VMS), self.rng.usize(..WORKERS));
        match self.rng.u8(..16) {
            0 | 1 => self.submit(),
            2..=5 => self.cut(),
            6 | 7 => self.cluster.heal_links(),
            8 => self.cluster.freeze(vm),
            9 => self.cluster.wake(vm),
            10 => self.cluster.kill(vm),
            11 => drop(self.cluster.release(vm)),
            12 if !self.cluster.is_down(worker) => {
                let away = Duration::from_millis(self.rng.u64(300..5_000));
                self.cluster.crash(worker, away, self.rng.bool());
            }
            13 => {
                let millis = *self.rng.choice(&[0, 0, 30, 300, 3_000]).expect("some");
                self.cluster.call_latency = Duration::from_millis(millis);
            }
            14 => {
                let faults =
                    [Fault::None, Fault::LosesAnswers, Fault::DelaysStarts(self.rng.u64(..8_000))];
                self.cluster.workers[worker].fault = self.rng.choice(faults).expect("some");
            }
            _ => self.cluster.receives_log_first = self.rng.bool(),
        }
    }
}

/// Prints its value if the test panics.
#[derive(Debug)]
struct PrintOnPanic<T: std::fmt::Debug>(T);

impl<T: std::fmt::Debug> Drop for PrintOnPanic<T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{self:?}");
        }
    }
}

fn check(seed: u64) {
    let _print = PrintOnPanic(seed);
    let mut schedule = new_schedule(seed);
    for _ in 0..30 {
        schedule.event();
        let pause = if schedule.rng.u8(..3) == 0 { 0 } else { schedule.rng.u64(10..2_500) };
        schedule.cluster.run_ms(pause);
    }
    let mut cluster = schedule.cluster;
    cluster.heal_all();
    cluster.workers.iter_mut().for_each(|it| it.fault = Fault::None);

    cluster.run_ms(2_000);
    let all_run = cluster.run_until(18_000, Cluster::all_long_running_active);

    assert!(all_run, "seed {seed}: a long-running task does not run");
}

#[test]
fn no_task_is_lost_or_run_twice_in_seeded_partition_schedules() {
    for seed in 0..SEEDS {
        check(seed);
    }
}

/// A fault or step while one owner follows another; the first VM runs the old owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Op {
    CutOldFromLog,
    /// The old owner, the worker and another worker reach only each other.
    CutOldWithWorkers,
    FreezeOld,
    WakeOld,
    KillOld,
    CutWorkerFromNew,
    CutWorkerFromAll,
    CrashWorker,
    Claim,
    /// The new owner dies and a third one claims the shard.
    Replace,
    Heal,
}

const OPS: [Op; 11] = [
    Op::CutOldFromLog,
    Op::CutOldWithWorkers,
    Op::FreezeOld,
    Op::WakeOld,
    Op::KillOld,
    Op::CutWorkerFromNew,
    Op::CutWorkerFromAll,
    Op::CrashWorker,
    Op::Claim,
    Op::Replace,
    Op::Heal,
];

/// A sequence of operations around an owner change.
#[derive(Debug, Clone)]
struct OwnerChange {
    workers: u32,
    /// How long the old owner has run: after a while it has recorded its witnesses.
    before_ms: u64,
    /// Whether a start is recorded without the old owner having received the confirmation.
    starting: bool,
    gap_ms: u64,
    ops: Vec<Op>,
}

/// Applies an operation and returns whether it changed anything.
fn apply(cluster: &mut Cluster, worker: usize, op: Op) -> bool {
    let (old, here) = (Node::Vm(0), Node::Worker(worker));
    let beside = Node::Worker((worker + 1) % cluster.workers.len());
    let new: Vec<usize> = (1..VMS).filter(|vm| cluster.epoch(*vm).is_some()).collect();
    match op {
        Op::CutOldFromLog => cluster.cut(&[old], &[Node::Store]),
        Op::CutOldWithWorkers => cluster.isolate(&[old, here, beside]),
        Op::FreezeOld if !cluster.is_frozen(0) => {
            cluster.freeze(0);
            true
        }
        Op::WakeOld if cluster.is_frozen(0) => {
            cluster.wake(0);
            true
        }
        Op::KillOld if cluster.epoch(0).is_some() => {
            cluster.kill(0);
            true
        }
        Op::CutWorkerFromNew => cluster.cut(&[here], &[Node::Vm(1), Node::Vm(2)]),
        Op::CutWorkerFromAll => cluster.isolate(&[here]),
        Op::CrashWorker if !cluster.is_down(worker) => {
            cluster.crash(worker, Duration::from_millis(1_000), true);
            true
        }
        Op::Claim => (1..VMS).any(|vm| cluster.claim(vm)),
        Op::Replace if !new.is_empty() => {
            cluster.kill(new[0]);
            (1..VMS).filter(|vm| *vm != new[0]).any(|vm| cluster.claim(vm))
        }
        Op::Heal if !cluster.is_healed() => {
            cluster.heal_all();
            true
        }
        _ => false,
    }
}

/// Runs a sequence to its end and returns whether each of its operations changed anything.
fn run_sequence(sequence: &OwnerChange) -> bool {
    let _print = PrintOnPanic(sequence.clone());
    let mut cluster = Cluster::with_long_running_tasks(VMS, sequence.workers);
    cluster.run_ms(sequence.before_ms);
    cluster.step = Duration::from_millis(20);
    let mut worker = cluster.first_task_worker();
    if sequence.starting {
        cluster.submit(2, job(vec![long_running_step(1)]));
        assert!(cluster.run_until(200, |it| it.recorded_worker(2).is_some()));
        worker = cluster.recorded_worker(2).expect("a start was just recorded");
    }
    for op in &sequence.ops {
        if !apply(&mut cluster, worker, *op) {
            return false;
        }
        cluster.run_ms(sequence.gap_ms);
    }

    // Long enough for a new owner to restart elsewhere the tasks of workers that it does not reach.
    cluster.run_ms(17_000);
    cluster.heal_all();
    cluster.elects_owners = true;
    cluster.run_ms(2_000);
    assert!(
        cluster.run_until(18_000, Cluster::all_long_running_active),
        "a long-running task does not run"
    );
    true
}

/// Runs a sequence and all its extensions up to `depth` operations.
fn run_extensions(it: &OwnerChange, depth: usize) {
    if run_sequence(it) && it.ops.len() < depth {
        for op in OPS {
            run_extensions(
                &OwnerChange { ops: [&it.ops[..], &[op]].concat(), ..it.clone() },
                depth,
            );
        }
    }
}

/// Runs all sequences of up to `depth` operations, in several threads.
fn run_all_sequences(it: &OwnerChange, depth: usize) {
    std::thread::scope(|scope| {
        for ops in OPS.chunks(3) {
            scope.spawn(move || {
                let start_with = |op: &Op| OwnerChange { ops: vec![*op], ..it.clone() };
                ops.iter().for_each(|op| run_extensions(&start_with(op), depth));
            });
        }
    });
}

#[test]
fn no_task_is_lost_or_run_twice_in_an_owner_change() {
    let settled_owner =
        OwnerChange { workers: 3, before_ms: 1_000, starting: false, gap_ms: 300, ops: vec![] };
    run_all_sequences(&settled_owner, 4);
}

/// Guards against owners that are replaced before they have recorded their witnesses.
#[test]
fn no_task_is_lost_or_run_twice_in_an_early_owner_change() {
    let early_change =
        OwnerChange { workers: 4, before_ms: 0, starting: false, gap_ms: 100, ops: vec![] };
    run_all_sequences(&early_change, 3);
}

/// Guards against leases that lapse, and owners that settle, between the operations.
#[test]
fn no_task_is_lost_or_run_twice_in_a_slow_owner_change() {
    let slow_change =
        OwnerChange { workers: 5, before_ms: 1_000, starting: false, gap_ms: 4_100, ops: vec![] };
    run_all_sequences(&slow_change, 3);
}

#[test]
fn no_task_is_lost_or_run_twice_in_an_owner_change_during_a_start() {
    let starting =
        OwnerChange { workers: 3, before_ms: 1_000, starting: true, gap_ms: 300, ops: vec![] };
    run_all_sequences(&starting, 3);
}
