//! What an owner notes about each run that it gives up: which bound was over, and from which answer.

mod util;

use std::time::Duration;

use daisy_workflow::{LossBound, LossEvidence, Note, PredecessorsEnd, TaskId, WorkerView};
use util::{Cluster, FakeWorker, Fault, Node, Simulation, job, long_running_step, step, task};

/// Longer than any wait for a run that may still be running, in milliseconds.
const ANY_WAIT_MS: u64 = 40_000;

/// Returns VMs and four workers with a long-running task each, whose owner, on the first VM, has
/// recorded its witnesses; and the index of the first task's worker.
fn cluster(vms: usize) -> (Cluster, usize) {
    let mut cluster = Cluster::with_long_running_tasks(vms, 4);
    cluster.run_ms(2_000);
    let host = cluster.first_task_worker();
    (cluster, host)
}

/// Returns what the owner on a VM noted when it gave up the first run of a task.
fn try_loss(cluster: &Cluster, vm: usize, lost: TaskId) -> Option<LossEvidence> {
    cluster.notes.iter().find_map(|(by, note)| match note {
        Note::RunLost { task, run: 1, evidence, .. } if (*by, *task) == (vm, lost) => {
            Some(*evidence)
        }
        _ => None,
    })
}

/// Returns what the owner on a VM notes when it gives up the first run of the first task.
fn loss(cluster: &mut Cluster, vm: usize) -> LossEvidence {
    let lost = task(1, 0, 0);
    assert!(cluster.run_until(ANY_WAIT_MS, |it| try_loss(it, vm, lost).is_some()));
    try_loss(cluster, vm, lost).expect("the run was given up")
}

/// Returns what the owner of a simulation noted when it first gave up a run, if it did.
fn try_simulated_loss(sim: &Simulation) -> Option<LossEvidence> {
    sim.notes.iter().find_map(|it| match it {
        Note::RunLost { evidence, .. } => Some(*evidence),
        _ => None,
    })
}

fn simulated_loss(sim: &mut Simulation) -> LossEvidence {
    assert!(sim.run_until(ANY_WAIT_MS, |it| try_simulated_loss(it).is_some()));
    try_simulated_loss(sim).expect("a run was given up")
}

fn worker_of(evidence: &LossEvidence) -> WorkerView {
    evidence.worker.expect("the list names the worker")
}

/// Asserts that the lease had expired by the worker's clock, as the last answer gave it.
fn assert_lease_over(view: WorkerView) {
    let (clock_ms, age) = view.clock.expect("the worker has answered");
    let latest_clock_ms = clock_ms + age.as_millis() as u64;
    assert!(view.lease_end_ms > clock_ms && view.lease_end_ms < latest_clock_ms, "{view:?}");
}

/// Asserts that the noted end of the lease is that of the last grant, which need not have reached the
/// worker.
fn assert_last_lease(view: WorkerView, received_ms: u64) {
    const RENEWAL_INTERVAL_MS: u64 = 800;
    let latest_ms = received_ms + RENEWAL_INTERVAL_MS;
    assert!((received_ms..=latest_ms).contains(&view.lease_end_ms), "{received_ms}: {view:?}");
}

/// Guards against a line that doesn't tell which lease of this owner had expired.
#[test]
fn a_run_whose_granted_lease_is_over_is_noted_with_the_lease_and_the_last_answer() {
    let (mut cluster, host) = cluster(1);
    cluster.isolate(&[Node::Worker(host)]);

    let evidence = loss(&mut cluster, 0);

    assert_eq!(evidence.bound, LossBound::GrantedLease);
    assert_eq!(evidence.order, "confirmed");
    let ended = evidence.predecessors_ended.map(|(end, _)| end);
    assert_eq!(ended, Some(PredecessorsEnd::Claim));
    let view = worker_of(&evidence);
    assert_lease_over(view);
    assert_last_lease(view, cluster.workers[host].deadline);
    assert_eq!(view.started_at_ms, cluster.workers[host].started_at_ms);
    assert_eq!(Some(view.token), cluster.epoch(0));
    assert!(evidence.held_for < Duration::from_millis(100), "{evidence:?}");
}

/// Guards against a line that doesn't tell why leases of earlier owners count as expired.
#[test]
fn a_run_that_outlived_its_owner_is_noted_with_what_ended_the_earlier_owners() {
    for (others, expected) in [(0, PredecessorsEnd::Witnesses), (2, PredecessorsEnd::Time)] {
        let (mut cluster, host) = cluster(2);
        let with_host = (1..=others).map(|it| Node::Worker((host + it) % 4));
        let group: Vec<Node> = with_host.chain([Node::Worker(host), Node::Vm(0)]).collect();
        cluster.isolate(&group);
        assert!(cluster.claim(1));

        let evidence = loss(&mut cluster, 1);

        assert_eq!(evidence.bound, LossBound::PredecessorLease { longest: false });
        assert_eq!(evidence.order, "inherited");
        let (end, held_for) = evidence.predecessors_ended.expect("they have ended");
        assert_eq!(end, expected);
        let lease = util::LEASE + util::LEASE / 20;
        assert_eq!(held_for, evidence.held_for + lease);
        let view = worker_of(&evidence);
        assert_eq!((view.clock, view.lease_end_ms), (None, 0));
        assert_eq!(Some(view.token), cluster.epoch(1));
    }
}

/// Returns a cluster of two VMs, one worker of which has restarted and runs tasks again, and the
/// index of that worker.
fn with_a_restarted_worker() -> (Cluster, usize) {
    let (mut cluster, host) = cluster(2);
    cluster.crash(host, Duration::from_millis(300), true);
    assert!(cluster.run_until(2_000, |it| !it.is_down(host)));
    cluster.run_ms(200);
    for number in 2..10 {
        cluster.submit(number, job(vec![long_running_step(1)]));
        cluster.run_ms(100);
    }
    assert!(!cluster.workers[host].runs.is_empty(), "the restarted worker runs tasks again");
    (cluster, host)
}

/// Guards against a line that doesn't tell for which of two leases an owner has waited.
#[test]
fn a_run_on_a_worker_that_the_log_names_is_noted_with_the_longest_lease() {
    for (answers, expected) in [
        (false, LossBound::PredecessorLease { longest: true }),
        (true, LossBound::LeaseBeforeAnswer { longest: true }),
    ] {
        let (mut cluster, host) = with_a_restarted_worker();
        let lost = cluster.workers[host].runs[0].task;
        if answers {
            assert!(cluster.claim(1));
            cluster.run_ms(100);
        }
        cluster.isolate(&[Node::Worker(host)]);
        assert!(answers || cluster.claim(1));

        let is_lost = cluster.run_until(ANY_WAIT_MS, |it| try_loss(it, 1, lost).is_some());

        assert!(is_lost);
        let evidence = try_loss(&cluster, 1, lost).expect("the run was given up");
        assert_eq!(evidence.bound, expected);
        if answers {
            assert_lease_over(worker_of(&evidence));
        }
    }
}

/// Guards against runs that are given up without a line: nothing told of those on workers that no
/// list names.
#[test]
fn a_run_on_a_worker_that_no_list_names_is_noted_as_well() {
    let (mut cluster, host) = cluster(2);
    let lost_with: String = cluster.workers[host].name.clone();
    cluster.end_worker(host);
    assert!(cluster.release(0));
    cluster.run_ms(4_000);
    assert!(cluster.claim(1));

    let evidence = loss(&mut cluster, 1);

    assert_eq!(evidence.bound, LossBound::PredecessorLease { longest: false });
    assert_eq!((evidence.worker, evidence.order), (None, "inherited"));
    let ended = evidence.predecessors_ended.map(|(end, _)| end);
    assert_eq!(ended, Some(PredecessorsEnd::Claim));
    let noted_worker = cluster.notes.iter().find_map(|(_, note)| match note {
        Note::RunLost { worker, .. } => Some(worker.0.to_string()),
        _ => None,
    });
    assert_eq!(noted_worker, Some(lost_with));
}

/// Guards against a line with the clock and the lease of the next incarnation, which say nothing of
/// the run.
#[test]
fn a_run_on_a_restarted_worker_is_noted_with_the_clock_of_the_incarnation_before() {
    let (mut cluster, host) = cluster(1);
    let started_at_ms = cluster.workers[host].started_at_ms;
    let lease_end_ms = cluster.workers[host].deadline;
    cluster.crash(host, Duration::from_millis(300), true);

    let evidence = loss(&mut cluster, 0);

    assert_eq!(evidence.bound, LossBound::Restarted);
    let view = worker_of(&evidence);
    assert_eq!(view.started_at_ms, started_at_ms);
    assert_last_lease(view, lease_end_ms);
    assert!(view.clock.is_some());
}

/// Guards against a line that doesn't tell that another worker has the address.
#[test]
fn a_run_on_a_replaced_worker_is_noted_as_such() {
    let (mut cluster, host) = cluster(1);
    cluster.crash(host, Duration::from_millis(300), false);

    let evidence = loss(&mut cluster, 0);

    assert_eq!(evidence.bound, LossBound::OtherIncarnation);
}

/// Guards against a line that doesn't tell runs which were stopped from those that were taken over.
#[test]
fn a_run_that_its_worker_does_not_list_is_noted_with_what_rules_it_out() {
    let mut stopped = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    stopped.run_ms(100);
    stopped.worker("w1").fault = Fault::DelaysStarts(60_000);
    stopped.submit(1, job(vec![step(1)]));
    stopped.run_ms(300);
    stopped.worker("w1").ready = false;
    let mut taken_over = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    taken_over.run_ms(100);
    taken_over.submit(1, job(vec![step(1)]));
    assert!(taken_over.run_until(100, |it| !it.starts.is_empty()));
    taken_over.worker("w1").runs.clear();
    taken_over.kill_owner(true);
    taken_over.change_owner(true);

    let losses = [&mut stopped, &mut taken_over].map(simulated_loss);

    let bounds = losses.map(|it| it.bound);
    assert_eq!(bounds, [LossBound::StoppedUnlisted, LossBound::InheritedUnlisted]);
    assert_eq!(losses.map(|it| it.order), ["unanswered", "inherited"]);
    assert!(losses.iter().all(|it| it.has_open_start), "{losses:?}");
    assert!(losses.iter().all(|it| worker_of(it).clock.is_some()), "{losses:?}");
}

/// Guards against a line that reads as if a lease had been known where late orders were waited for.
#[test]
fn a_run_on_a_worker_that_never_answered_after_its_restart_is_noted_with_late_orders() {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 4)]);
    sim.run_ms(100);
    sim.worker("w1").fault = Fault::DelaysStarts(60_000);
    sim.submit(1, job(vec![long_running_step(1)]));
    sim.run_ms(200);
    let now = sim.now;
    sim.worker("w1").restart(now);
    sim.worker("w1").fault = Fault::Unreachable;

    let evidence = simulated_loss(&mut sim);

    assert_eq!(evidence.bound, LossBound::LateOrders);
    assert_eq!(worker_of(&evidence).clock, None);
}
