//! Data centres that operators ask to evacuate: nothing is started on their workers.

mod util;

use std::time::Duration;

use daisy_model::Resources;
use daisy_workflow::{EvacuationRequest, Evacuations, JobState, StepSpec, TaskId};
use util::{
    CORE, Cluster, FakeWorker, Fault, LONG_RUNNING_WORK_MS, Node, Simulation, check_seeds, job,
    long_running_step, step, step_after,
};

/// Offset of the operators' records in these tests.
const OFFSET: u64 = 7;
/// Time until an owner knows a request: a read of the operators' records, and calls in flight.
const KNOWN_AFTER_MS: u64 = 500;

fn worker_in(data_centre: &str, name: &str, cores: u32) -> FakeWorker {
    FakeWorker { data_centre: data_centre.to_owned(), ..FakeWorker::new(name, cores) }
}

/// Returns a simulation with a worker of `cores` in each of the data centres `north` and `south`.
fn two_data_centres(cores: u32) -> Simulation {
    Simulation::new(vec![worker_in("north", "n", cores), worker_in("south", "s", cores)])
}

fn begin(evacuations: &mut Evacuations, data_centre: &str) {
    evacuations.apply(data_centre, OFFSET, EvacuationRequest::Begin);
}

fn end(evacuations: &mut Evacuations, data_centre: &str) {
    evacuations.apply(data_centre, OFFSET, EvacuationRequest::End);
}

/// Returns how many starts were sent to a worker.
fn starts_on(sim: &Simulation, worker: &str) -> usize {
    sim.starts.iter().filter(|(_, _, name)| name == worker).count()
}

/// Guards against starts on workers that operators want to be left alone.
#[test]
fn no_task_starts_in_an_evacuated_data_centre_until_it_is_taken_back() {
    let mut sim = two_data_centres(4);
    begin(&mut sim.evacuations, "north");
    sim.submit(1, job(vec![step(8)]));
    let done = sim.run_until(4_000, |it| it.state(1) == JobState::Completed);
    assert!(done && starts_on(&sim, "n") == 0, "{:?}", sim.starts);

    end(&mut sim.evacuations, "north");
    sim.submit(2, job(vec![step(8)]));
    sim.run_ms(300);

    assert_eq!(starts_on(&sim, "n"), 4);
}

/// Guards against losing the work of runs that are there when the evacuation begins.
#[test]
fn runs_in_an_evacuated_data_centre_end_by_themselves() {
    let mut sim = two_data_centres(4);
    sim.submit(1, job(vec![step(8)]));
    sim.run_ms(300);
    begin(&mut sim.evacuations, "north");

    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done && sim.starts.len() == 8, "{:?}", sim.starts);
}

/// Guards against restarting a task where its data centre is evacuated after a failure there.
#[test]
fn a_long_running_task_that_fails_in_an_evacuated_data_centre_restarts_elsewhere() {
    let mut sim = two_data_centres(4);
    sim.work_ms = |_| LONG_RUNNING_WORK_MS;
    sim.worker("n").labels = vec!["r1".to_owned()];
    sim.worker("s").labels = vec!["r2".to_owned()];
    let near_north = StepSpec { data_rack: Some("r1".into()), ..long_running_step(8) };
    sim.submit(1, job(vec![near_north]));
    sim.run_ms(500);
    let lost = sim.worker("n").tasks();
    assert_eq!(lost.len(), 4);
    begin(&mut sim.evacuations, "north");
    sim.run_ms(KNOWN_AFTER_MS);
    sim.worker("s").capacity = Resources { cpu_milli: 8 * CORE, ..sim.worker("s").capacity };
    let now = sim.now;
    sim.worker("n").restart(now);

    sim.run_ms(8_000);

    assert_eq!(sim.worker("n").runs.len(), 0);
    assert_eq!(sim.worker("s").runs.len(), 8);
}

/// Guards against starts by what was known before a store that is silent for the operators' records
/// alone.
#[test]
fn nothing_starts_while_the_operators_requests_cannot_be_read() {
    let mut sim = two_data_centres(4);
    sim.run_ms(300);
    sim.reads_evacuations = false;
    sim.run_ms(3_500);
    sim.submit(1, job(vec![step(1)]));
    sim.run_ms(2_000);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);

    sim.reads_evacuations = true;
    let done = sim.run_until(2_000, |it| it.state(1) == JobState::Completed);

    assert!(done);
}

/// Guards against a new owner that starts a task before it has read the operators' requests.
#[test]
fn a_new_owner_starts_nothing_before_it_has_read_the_operators_requests() {
    let mut sim = two_data_centres(4);
    sim.submit(1, job(vec![step(8), step_after(&[0], step(8))]));
    sim.run_ms(800);
    begin(&mut sim.evacuations, "north");
    sim.reads_evacuations = false;
    sim.change_owner(true);
    sim.run_ms(1_500);
    assert_eq!(sim.starts.len(), 8);

    sim.reads_evacuations = true;
    let done = sim.run_until(5_000, |it| it.state(1) == JobState::Completed);

    assert!(done && starts_on(&sim, "n") == 4, "{:?}", sim.starts);
}

/// Guards against sending an unanswered start again to a worker whose data centre is evacuated
/// meanwhile, and against losing its task.
#[test]
fn an_unanswered_start_is_not_sent_again_to_an_evacuated_data_centre() {
    let mut sim = two_data_centres(4);
    sim.worker("n").fault = Fault::DelaysStarts(6_000);
    sim.worker("s").ready = false;
    sim.submit(1, job(vec![step(1)]));
    sim.run_until(1_000, |it| starts_on(it, "n") == 1);
    begin(&mut sim.evacuations, "north");
    sim.worker("s").ready = true;
    sim.run_ms(KNOWN_AFTER_MS);
    let sent = starts_on(&sim, "n");

    sim.worker("n").fault = Fault::None;
    let done = sim.run_until(20_000, |it| it.state(1) == JobState::Completed);

    assert!(done && starts_on(&sim, "n") == sent, "{:?}", sim.starts);
}

/// Guards against a job that is lost because its data is in an evacuated data centre, and against
/// running it there.
#[test]
fn a_job_whose_data_is_in_an_evacuated_data_centre_runs_elsewhere() {
    let mut sim = two_data_centres(4);
    sim.worker("n").labels = vec!["r1".to_owned()];
    sim.worker("s").labels = vec!["r2".to_owned()];
    begin(&mut sim.evacuations, "north");
    let near = StepSpec { data_rack: Some("r1".into()), ..step(2) };
    sim.submit(1, job(vec![near]));

    let done = sim.run_until(3_000, |it| it.state(1) == JobState::Completed);

    assert!(done && starts_on(&sim, "s") == 2, "{:?}", sim.starts);
}

/// Guards against losing tasks that may run on no worker while all data centres are evacuated, or
/// that need a label of an evacuated one.
#[test]
fn tasks_wait_for_the_only_data_centre_that_may_run_them() {
    let mut sim = two_data_centres(4);
    sim.worker("s").labels = vec!["r2".to_owned()];
    begin(&mut sim.evacuations, "north");
    let bound = StepSpec { required_label: Some("r1".into()), ..step(2) };
    sim.submit(1, job(vec![bound]));
    sim.run_ms(3_000);
    begin(&mut sim.evacuations, "south");
    sim.submit(2, job(vec![step(1), long_running_step(1)]));
    sim.run_ms(3_000);
    assert!(sim.starts.is_empty(), "{:?}", sim.starts);

    end(&mut sim.evacuations, "south");
    end(&mut sim.evacuations, "north");
    sim.run_ms(3_000);

    assert_eq!(sim.state(1), JobState::Completed);
    assert_eq!(sim.starts.len(), 4);
}

/// Guards against preferring workers that have become cold without a restart while their data centre
/// was evacuated.
#[test]
fn tasks_prefer_warm_workers_after_an_evacuation() {
    let mut sim = two_data_centres(4);
    sim.run_ms(500);
    begin(&mut sim.evacuations, "north");
    sim.worker("n").cold_ms = 5_000;
    sim.run_ms(KNOWN_AFTER_MS);
    end(&mut sim.evacuations, "north");
    sim.submit(1, job(vec![step(2)]));
    sim.run_ms(500);
    assert_eq!(starts_on(&sim, "s"), 2, "{:?}", sim.starts);

    sim.worker("n").cold_ms = 0;
    sim.submit(2, job(vec![step(6)]));
    sim.run_ms(500);

    assert_eq!(starts_on(&sim, "n"), 4, "{:?}", sim.starts);
}

/// Guards against gangs and copies that take another path to a worker.
#[test]
fn gangs_and_copies_start_outside_an_evacuated_data_centre() {
    let mut sim = two_data_centres(4);
    begin(&mut sim.evacuations, "north");
    let gang = StepSpec { gang: true, same_rack: true, ..step(3) };
    let copied = StepSpec { speculative: true, ..step(1) };
    sim.submit(1, job(vec![gang, copied]));

    let done = sim.run_until(6_000, |it| it.state(1) == JobState::Completed);

    assert!(done && starts_on(&sim, "n") == 0, "{:?}", sim.starts);
}

const VMS: usize = 3;
const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// Milliseconds after a request until no call that was sent before it is under way.
const MAX_START_AGE_MS: u64 = 4_500;

/// Plays random evacuations beside changes of the owner and cuts; checks that nothing is started
/// in a data centre past the bound, and that all tasks run afterwards.
fn play_evacuations(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cluster = Cluster::with_long_running_tasks(VMS, 6);
    for (at, worker) in cluster.workers.iter_mut().enumerate() {
        worker.data_centre = DATA_CENTRES[at % DATA_CENTRES.len()].to_owned();
    }
    cluster.elects_owners = true;
    cluster.run_ms(1_500);
    let mut begun: Vec<(&str, u64)> = Vec::new();
    for id in 10..rng.u64(14..20) {
        let data_centre = DATA_CENTRES[rng.usize(..DATA_CENTRES.len())];
        let now_ms = cluster.now.0 / 1_000;
        match begun.iter().position(|(it, _)| *it == data_centre) {
            Some(at) => {
                begun.remove(at);
                end(&mut cluster.evacuations, data_centre);
            }
            None => {
                begun.push((data_centre, now_ms));
                begin(&mut cluster.evacuations, data_centre);
            }
        }
        let vm = rng.usize(..VMS);
        match rng.u8(..7) {
            0 => cluster.kill(vm),
            1 => drop(cluster.isolate(&[Node::Vm(vm)])),
            2 => cluster.crash(rng.usize(..6), Duration::from_millis(rng.u64(500..2_000)), false),
            3 => cluster.freeze(vm),
            4 => cluster.cut_one_way(Node::Worker(rng.usize(..6)), Node::Vm(vm)),
            5 => cluster.cut_one_way(Node::Store, Node::Vm(vm)),
            _ => {}
        }
        cluster.submit(id, job(vec![step(3), step_after(&[0], step(2))]));
        run_and_check(&mut cluster, &begun, rng.u64(300..4_000), seed);
        cluster.wake(vm);
        cluster.heal_all();
    }
    DATA_CENTRES.iter().for_each(|it| end(&mut cluster.evacuations, it));
    let all_running = cluster.run_until(30_000, Cluster::all_long_running_active);
    assert!(all_running, "seed {seed}: a task does not run after the evacuations");
}

/// Runs the cluster for `millis`; panics if a task starts in a data centre whose evacuation was
/// requested longer ago than starts may be under way.
fn run_and_check(cluster: &mut Cluster, begun: &[(&str, u64)], millis: u64, seed: u64) {
    let end_at = cluster.now + Duration::from_millis(millis);
    while cluster.now < end_at {
        let before = running(cluster);
        cluster.step();
        let now_ms = cluster.now.0 / 1_000;
        for (worker, run) in running(cluster) {
            let data_centre = &cluster.workers[worker].data_centre;
            let requested = begun.iter().find(|(it, _)| it == data_centre);
            let is_late = requested.is_some_and(|(_, at)| now_ms > at + MAX_START_AGE_MS);
            let is_new = !before.contains(&(worker, run));
            assert!(!(is_late && is_new), "seed {seed}: {run:?} starts in {data_centre}");
        }
    }
}

fn running(cluster: &Cluster) -> Vec<(usize, (TaskId, u32))> {
    let runs = |(at, it): (usize, &FakeWorker)| {
        it.runs.iter().map(move |run| (at, (run.task, run.run))).collect::<Vec<_>>()
    };
    cluster.workers.iter().enumerate().flat_map(runs).collect()
}

/// Guards against a start past the bound by any owner of many, and against tasks that are lost
/// afterwards.
#[test]
fn no_owner_starts_a_task_in_an_evacuated_data_centre() {
    check_seeds(0..400, play_evacuations);
}
