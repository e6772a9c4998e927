//! What an owner notes about a worker when its state changes: its clock, its lease and its token.

mod util;

use std::time::Duration;

use daisy_workflow::{Event, Note, OrderReply, RejectReason, WorkerKey, WorkerView};
use util::{Cluster, FakeWorker, Node, Simulation, task};

/// Returns two VMs and four workers with a long-running task each, and the index of the first
/// task's worker; the owner is on the first VM.
fn cluster() -> (Cluster, usize) {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    let host = cluster.first_task_worker();
    (cluster, host)
}

/// Returns what the owner on a VM last noted when a worker's state became `state`.
fn try_view(cluster: &Cluster, vm: usize, worker: &str, state: &str) -> Option<WorkerView> {
    cluster.notes.iter().rev().find_map(|(by, note)| match note {
        Note::WorkerChanged { worker: changed, state: now, view, .. }
            if (*by, &*changed.0, *now) == (vm, worker, state) =>
        {
            Some(*view)
        }
        _ => None,
    })
}

/// Asserts that the noted end of the lease is that of the last grant, which need not have reached the
/// worker.
fn assert_last_lease(view: WorkerView, received_ms: u64) {
    const RENEWAL_INTERVAL_MS: u64 = 800;
    let latest_ms = received_ms + RENEWAL_INTERVAL_MS;
    assert!((received_ms..=latest_ms).contains(&view.lease_end_ms), "{received_ms}: {view:?}");
}

/// Guards against a silent worker of which no line tells until when it holds a lease.
#[test]
fn a_silent_worker_is_noted_with_its_last_clock_and_the_end_of_its_lease() {
    let (mut cluster, host) = cluster();
    let name = cluster.workers[host].name.clone();
    cluster.isolate(&[Node::Worker(host)]);

    let is_silent = cluster.run_until(3_000, |it| try_view(it, 0, &name, "silent").is_some());

    assert!(is_silent);
    let view = try_view(&cluster, 0, &name, "silent").expect("checked before");
    let (clock_ms, age) = view.clock.expect("it has answered before");
    assert_last_lease(view, cluster.workers[host].deadline);
    assert_eq!(view.started_at_ms, cluster.workers[host].started_at_ms);
    assert_eq!(Some(view.token), cluster.epoch(0));
    assert!(clock_ms < view.lease_end_ms && age < Duration::from_secs(3), "{view:?}");
}

/// Guards against lines that don't tell what the incarnation before was granted, nor when the next
/// one rejects earlier calls.
#[test]
fn a_restarted_worker_is_noted_as_it_was_and_once_it_has_taken_the_next_token() {
    let (mut cluster, host) = cluster();
    let name = cluster.workers[host].name.clone();
    let (started_at_ms, lease_end_ms) =
        (cluster.workers[host].started_at_ms, cluster.workers[host].deadline);
    let token = cluster.epoch(0).expect("the first VM runs the owner");
    cluster.crash(host, Duration::from_millis(300), true);

    cluster.run_ms(2_000);

    let before = try_view(&cluster, 0, &name, "reborn").expect("its restart is noted");
    assert_eq!((before.started_at_ms, before.token), (started_at_ms, token));
    assert_last_lease(before, lease_end_ms);
    let after = try_view(&cluster, 0, &name, "fenced").expect("its answer is noted");
    assert_eq!(after.started_at_ms, cluster.workers[host].started_at_ms);
    assert!(after.started_at_ms > started_at_ms && after.token > token, "{after:?}");
}

/// Guards against owners of which no line tells what leases they allow for when they take a worker
/// over.
#[test]
fn each_worker_is_noted_once_when_it_first_answers_an_owner() {
    let (mut cluster, _) = cluster();
    cluster.kill(0);
    assert!(cluster.claim(1));

    cluster.run_ms(2_000);

    for worker in &cluster.workers {
        let of_worker = cluster.notes.iter().filter(|(vm, note)| {
            let is_fenced = |it: &Note| matches!(it, Note::WorkerChanged { worker: changed, state: "fenced", .. } if *changed.0 == *worker.name);
            *vm == 1 && is_fenced(note)
        });
        assert_eq!(of_worker.count(), 1, "{}", worker.name);
        let view = try_view(&cluster, 1, &worker.name, "fenced").expect("counted before");
        let (clock_ms, age) = view.clock.expect("it has answered");
        assert_eq!(age, Duration::ZERO);
        assert_eq!(view.lease_end_ms, clock_ms + util::LEASE.as_millis() as u64);
        assert_eq!(Some(view.token), cluster.epoch(1));
    }
}

/// Guards against an owner that steps down without a line of the worker that rejected its call.
#[test]
fn an_owner_that_steps_down_notes_which_worker_has_seen_a_later_token() {
    let events: [fn(u64) -> Event; 3] = [
        |token| Event::RenewalFenced(WorkerKey(0), token),
        |token| {
            let reply = OrderReply::Rejected(RejectReason::Fenced { token });
            Event::StartAnswered(WorkerKey(0), task(1, 0, 0), 1, reply)
        },
        |token| {
            let reply = OrderReply::Rejected(RejectReason::Fenced { token });
            Event::StopAnswered(WorkerKey(0), task(1, 0, 0), 1, reply)
        },
    ];
    for event in events {
        let mut sim = Simulation::new(vec![FakeWorker::new("w0", 4)]);
        sim.run_ms(100);
        let token = sim.owner.worker(WorkerKey(0)).expect("the only worker").token;

        sim.owner.handle_event(sim.now, event(token));
        sim.step();

        let noted = sim.notes.iter().find_map(|it| match it {
            Note::WorkerChanged { worker, state: "taken_over", view, .. } => {
                Some((worker.0.to_string(), view.token))
            }
            _ => None,
        });
        assert_eq!(noted, Some(("w0".to_owned(), token)));
        assert!(sim.stepped_down);
    }
}
