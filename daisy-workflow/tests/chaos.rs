//! Seeded schedules of faults against the owner. The world checks the promises at each step; in the
//! end, with all faults gone, every job is done.

mod util;

use daisy_workflow::JobState;
use util::{FakeWorker, Fault, World, after, job, long_running, step};

const JOBS: u64 = 12;

/// One schedule: jobs come, workers and the log fail and recover, owners change.
fn play(seed: u64) -> World {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new((0..5).map(|it| FakeWorker::new(&format!("w{it}"), 4)).collect());
    for round in 0..JOBS {
        let spec = match rng.u8(..4) {
            0 => vec![step(rng.u32(1..8)), after(&[0], step(rng.u32(1..6)))],
            1 => vec![long_running(rng.u32(1..3))],
            _ => vec![step(rng.u32(1..10))],
        };
        world.submit(round, job(spec));
        fault(&mut rng, &mut world);
        world.run_ms(rng.u64(100..1_500));
    }
    for worker in &mut world.workers {
        worker.fault = Fault::None;
        worker.listed = true;
        worker.ready = true;
    }
    world.log_up = true;
    world
}

fn fault(rng: &mut fastrand::Rng, world: &mut World) {
    let now = world.now;
    let at = rng.usize(..world.workers.len());
    match rng.u8(..10) {
        0 => world.workers[at].fault = Fault::Cut,
        1 => world.workers[at].fault = Fault::LosesAnswers,
        2 => world.workers[at].fault = Fault::Late(rng.u64(500..8_000)),
        3 => world.workers[at].fault = Fault::Hangs,
        4 => world.workers[at].restart(now),
        5 => world.log_up = !world.log_up,
        6 if world.log_up => world.change_owner(false),
        7 => world.workers[at].listed = !world.workers[at].listed,
        8 => world.workers[at].ready = !world.workers[at].ready,
        _ => world.workers.iter_mut().for_each(|it| it.fault = Fault::None),
    }
}

fn check(seed: u64) {
    let mut world = play(seed);
    let lasts = |world: &World, id: u64| {
        let job = world.ledger.job(daisy_workflow::JobId(id)).expect("submitted");
        job.spec.steps[0].long_running
    };
    let done = world.run_until(60_000, |it| {
        (0..JOBS).all(|id| lasts(it, id) || it.state(id) == JobState::Completed)
    });
    assert!(done, "seed {seed}: jobs are left over");
}

#[test]
fn no_schedule_breaks_a_promise() {
    for seed in 0..200 {
        check(seed);
    }
}
