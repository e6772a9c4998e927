//! Callers who name ever new images.

mod util;

use daisy_workflow::{JobState, Record, StepSpec, encode};
use util::{FakeWorker, Simulation, best_effort, job, long_running_step, step};

/// Number of images of either kind in the tests: more than twice as many as are remembered.
const IMAGES: u64 = 150;
/// The most bytes of the record of learned interference for images with short names.
const RECORD_BYTES_MAX: usize = 64_000;

/// Returns an image's name as registries write it, with the digest of the image.
fn image(kind: &str, number: u64) -> String {
    format!("images.example/{kind}@sha256:{number:064x}")
}

/// Returns one worker on which a task of each of many serving and best-effort images has run, a few
/// at a time.
fn after_many_images(gap_ms: u64) -> Simulation {
    let mut sim = Simulation::new(vec![FakeWorker::new("w1", 16)]);
    sim.work_ms = |task| if task.job.0 % 2 == 0 { util::LONG_RUNNING_WORK_MS } else { 200 };
    for number in 0..IMAGES {
        let serving = StepSpec {
            image: Some(image("serve", number).as_str().into()),
            ..long_running_step(1)
        };
        sim.submit(2 * number + 2, job(vec![serving]));
        sim.submit(2 * number + 1, job(vec![best_effort(1, &image("fill", number))]));
        sim.run_ms(gap_ms);
        if number >= 4 {
            sim.cancel(2 * (number - 4) + 2);
        }
    }
    sim
}

/// Guards against a record that grows with each image until the log cannot store it.
#[test]
fn the_record_of_interference_is_bounded_however_many_images_there_are() {
    let mut sim = after_many_images(300);
    sim.submit(10_001, job(vec![step(1)]));
    let completed = sim.run_until(10_000, |it| it.state(10_001) == JobState::Completed);

    let pairs = sim.ledger.learned_interference().to_vec();

    let bytes = encode(&Record::LearnedInterference(pairs.clone())).1.len();
    assert!(completed);
    assert!(!pairs.is_empty());
    assert!(bytes < RECORD_BYTES_MAX, "{} pairs, {bytes} bytes", pairs.len());
}

/// Guards against images that are remembered for ever, so that nothing is learned of new ones.
#[test]
fn images_that_are_no_longer_used_give_way_to_new_ones() {
    let sim = after_many_images(1_000);

    let pairs = sim.ledger.learned_interference();

    let newest = image("serve", IMAGES - 5);
    assert!(pairs.iter().any(|it| *it.serving == *newest), "{} pairs", pairs.len());
}
