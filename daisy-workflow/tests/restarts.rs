//! Seeded schedules of workers that restart under their ids and are cut off soon after, while calls
//! are late and owners change.

mod util;

use std::time::Duration;

use util::{Cluster, Fault, Node, check_seeds, job, long_running_step, step};

const VMS: usize = 3;
const WORKERS: usize = 5;
/// The time from a restart to the cut, in milliseconds: the owner has learned of the restart, and has
/// started tasks on the worker again.
const CUT_AFTER_MS: std::ops::Range<u64> = 1_500..3_000;

/// Restarts some workers beside late or lost calls, then cuts them off, with or without a change of
/// the owner before.
fn restart_and_cut(rng: &mut fastrand::Rng, cluster: &mut Cluster) {
    let some: Vec<usize> = (0..WORKERS).filter(|_| rng.u8(..3) == 0).collect();
    for at in &some {
        cluster.workers[*at].fault = match rng.u8(..4) {
            0 => Fault::DelaysStarts(rng.u64(300..2_500)),
            1 => Fault::DelaysCalls(rng.u64(300..2_500)),
            2 => Fault::LosesAllAnswers,
            _ => Fault::None,
        };
    }
    cluster.submit(cluster.now.0, job(vec![long_running_step(rng.u32(1..4))]));
    cluster.submit(cluster.now.0 + 1, job(vec![step(rng.u32(1..8))]));
    cluster.run_ms(rng.u64(20..400));
    for at in &some {
        cluster.crash(*at, Duration::from_millis(rng.u64(100..900)), true);
    }
    cluster.run_ms(rng.u64(CUT_AFTER_MS));
    if rng.bool() {
        cluster.kill(rng.usize(..VMS));
        cluster.run_ms(rng.u64(10..800));
    }
    let cut: Vec<Node> = some.into_iter().map(Node::Worker).collect();
    cluster.isolate(&cut);
    cluster.run_ms(rng.u64(2_000..14_000));
    cluster.heal_all();
    cluster.run_ms(rng.u64(500..4_000));
}

fn check(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cluster = Cluster::with_long_running_tasks(VMS, WORKERS as u32);
    cluster.elects_owners = true;
    for _ in 0..4 {
        restart_and_cut(&mut rng, &mut cluster);
    }
    let settled = cluster.run_until(30_000, Cluster::all_long_running_active);
    assert!(settled, "seed {seed}: a long-running task has no run");
}

/// Guards against tasks that run twice by a lease that a call for an earlier incarnation has extended.
#[test]
fn no_task_runs_twice_beside_restarts_cuts_and_late_calls() {
    check_seeds(0..150, check);
}

/// Guards against the end of a superseded run that the next owner acknowledges, once the job has ended.
#[test]
fn no_task_runs_twice_with_restart_seed_751() {
    check(751);
}

/// As [`no_task_runs_twice_with_restart_seed_751`].
#[test]
fn no_task_runs_twice_with_restart_seed_3297() {
    check(3_297);
}
