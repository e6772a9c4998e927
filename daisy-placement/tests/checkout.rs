//! Which data centre checks a task out.

mod util;

use std::time::Duration;

use daisy_ledger::{Record, TaskState};
use daisy_model::{DcId, Exit, JobSpec, Tolerance};
use daisy_placement::{DataCentre, Options};
use util::{World, batch, name, service, size, task};

fn three_data_centres(options: &mut Options) {
    let dc = |text: &str, region| DataCentre { name: name(text), region };
    options.data_centres = vec![dc("braga", 1), dc("lisbon", 2), dc("porto", 1)];
}

fn checked_out_here(world: &World, job: u32, tasks: u32) -> usize {
    let dc = DcId(0);
    let is_out = |index: &u32| {
        let state = world.state.task(task(job, *index)).unwrap().state;
        matches!(state, TaskState::CheckedOut(owner) if owner.dc == dc)
    };
    (0..tasks).filter(is_out).count()
}

#[test]
fn replicas_are_distributed_over_data_centres_and_fall_back_to_others() {
    let mut world = World::new(2, size(16, 64));
    world.hold_with(three_data_centres);
    world.create(service("shop", 6, size(1, 1)));

    world.run(Duration::from_millis(700));
    let at_first = checked_out_here(&world, 0, 6);
    world.run(Duration::from_secs(4));

    assert_eq!(at_first, 2, "a third of the replicas is this data centre's");
    assert_eq!(checked_out_here(&world, 0, 6), 6, "the others did not take theirs in time");
}

/// A batch job reads much data of the other region. Users pay for every byte on the link, so its
/// own region has priority.
#[test]
fn a_job_with_much_data_in_another_region_is_left_to_that_region_first() {
    let mut world = World::new(2, size(16, 64));
    world.hold_with(three_data_centres);
    let data_centres = vec![name("lisbon"), name("braga")];
    let region_bytes = 60 * world.state.policy.1.region_bytes;
    world.create(JobSpec { data_centres, region_bytes, ..batch("lists", 1, size(1, 1)) });

    world.run(Duration::from_secs(60));
    let early = checked_out_here(&world, 0, 1);
    world.run(Duration::from_secs(10));

    assert_eq!((early, checked_out_here(&world, 0, 1)), (0, 1));
}

#[test]
fn a_job_that_names_only_other_data_centres_is_not_checked_out_here() {
    let mut world = World::new(2, size(16, 64));
    world.hold_with(three_data_centres);
    world.create(JobSpec { data_centres: vec![name("porto")], ..batch("lists", 1, size(1, 1)) });
    world.create(JobSpec { data_centres: vec![name("faro")], ..batch("renders", 1, size(1, 1)) });

    world.run(Duration::from_secs(60));

    assert_eq!(checked_out_here(&world, 0, 1), 0);
    assert_eq!(checked_out_here(&world, 1, 1), 0, "no data centre has that name");
}

#[test]
fn tasks_that_find_no_capacity_are_returned() {
    let mut world = World::new(1, size(4, 16));
    world.hold_with(three_data_centres);
    world.create(JobSpec { data_centres: vec![name("braga")], ..batch("lists", 3, size(4, 4)) });

    world.run(Duration::from_secs(20));

    let returned = world.records.iter().any(|record| matches!(record, Record::Return { .. }));
    assert!(returned);
    assert_eq!(checked_out_here(&world, 0, 3), 1);
}

/// A job needs more of a worker than any worker has, and its team's quota is not used up. Its
/// operators must see at once why it does not start.
#[test]
fn the_job_reason_names_the_smallest_shortfall_when_no_worker_can_fit_it() {
    let mut world = World::new(2, size(16, 64));
    world.create(batch("wide", 1, size(20, 1)));

    world.run(Duration::from_secs(1));

    let waiting = world.holder.waiting_jobs();
    let texts: Vec<String> = waiting.iter().map(|(_, it)| it.reason.to_string()).collect();
    assert_eq!(texts.len(), 1);
    assert!(texts[0].contains("short of 4000m of processor"), "{texts:?}");
}

/// A job that may be refused finds no capacity for ten minutes, since other work fills the
/// workers. Its operators prefer a refusal to waiting; a job beside it goes on waiting.
#[test]
fn a_refusable_task_is_refused_when_it_finds_no_capacity_for_ten_minutes() {
    let mut world = World::new(1, size(4, 16));
    world.create(batch("full", 1, size(4, 1)));
    world.run(Duration::from_secs(1));
    let spec = batch("refusable", 2, size(2, 1));
    let tolerance = Tolerance { refuse: true, ..spec.tolerance };
    world.create(JobSpec { tolerance, ..spec });
    world.create(batch("patient", 1, size(2, 1)));

    world.run(Duration::from_secs(590));
    let before = world.state.task(task(1, 0)).unwrap().state;
    world.run(Duration::from_secs(30));

    let state = |job, index| world.state.task(task(job, index)).unwrap().state;
    assert!(matches!(before, TaskState::CheckedOut(_) | TaskState::Pending), "{before:?}");
    assert_eq!(state(1, 0), TaskState::Ended(Exit::Refused));
    assert_eq!(state(1, 1), TaskState::Ended(Exit::Refused));
    assert!(!matches!(state(2, 0), TaskState::Ended(_)));
}
