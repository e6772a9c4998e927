//! Long-running jobs that arrive faster than they end, beside finite jobs.

mod util;

use std::{sync::Arc, time::Duration};

use daisy_admission::{Admission, CapacityReport, FleetCapacity, Request, Verdict};
use daisy_model::{Instant, Resources};
use daisy_workflow::{JobId, JobSpec, JobState, PlacementRules, StepSpec, Terms};

use util::{CORE, FakeWorker, LONG_RUNNING_WORK_MS, Simulation, job, long_running_step, step};

/// Ids of long-running jobs start here; finite ones have lower ids.
const FIRST_LONG_RUNNING: u64 = 10_000;

/// Returns twelve workers of eight cores; finite tasks work for half a second.
fn fleet(protected_priority: Option<i32>) -> Simulation {
    let workers = (0..12).map(|at| FakeWorker::new(&format!("w{at}"), 8)).collect();
    let rules = PlacementRules { protected_priority, ..PlacementRules::default() };
    let mut sim = Simulation::with_rules(workers, rules);
    sim.work_ms = |task| if task.job.0 < FIRST_LONG_RUNNING { 500 } else { LONG_RUNNING_WORK_MS };
    sim.run_ms(300);
    sim
}

fn cores(cores: u32) -> Resources {
    Resources { cpu_milli: cores * CORE, memory_mib: 100, accelerators: 0 }
}

/// A job of four tasks of three cores, with an objective of two seconds.
fn finite_job() -> JobSpec {
    let terms = Terms { target_latency_ms: 1_000, ..util::terms() };
    let step = StepSpec { need: cores(3), estimate_ms: 500, ..step(4) };
    JobSpec { terms, ..job(vec![step]) }
}

/// A job of three tasks of two cores that run until they are cancelled.
fn long_running_job() -> JobSpec {
    job(vec![StepSpec { need: cores(2), ..long_running_step(3) }])
}

fn report(sim: &mut Simulation) -> Option<(Instant, CapacityReport)> {
    let now = sim.now;
    sim.owner.capacity_reports(now).pop().map(|it| (now, it))
}

/// What callers got within the played time.
#[derive(Debug, Default)]
struct Service {
    finite: u64,
    finite_in_time: u64,
    long_running: u64,
    accepted: Vec<u64>,
}

/// A caller of a long-running job, which returns when it was told to.
#[derive(Debug, Clone, Copy)]
struct Caller {
    id: u64,
    comes_at: Instant,
    attempts: u32,
}

/// Plays twenty seconds in which a finite job arrives every 300 ms and a long-running one every
/// 600 ms. Long-running jobs are submitted only if they are admitted.
fn play(sim: &mut Simulation) -> Service {
    const ATTEMPTS: u32 = 5;
    let mut service = Service::default();
    let mut admission: Admission<JobId> = Admission::default();
    let mut callers: Vec<Caller> = Vec::new();
    let mut finite: Vec<(u64, Instant)> = Vec::new();
    let name: Arc<str> = "shop".into();
    let mut reported = None;
    for tick in 0..400_u64 {
        if tick % 6 == 0 {
            sim.submit(tick, finite_job());
            finite.push((tick, sim.now + Duration::from_millis(2_000)));
            service.finite += 1;
        }
        if tick % 12 == 0 {
            service.long_running += 1;
            let id = FIRST_LONG_RUNNING + tick;
            callers.push(Caller { id, comes_at: sim.now, attempts: 0 });
        }
        if tick % 8 == 0 {
            reported = report(sim);
        }
        let now = sim.now;
        for caller in callers.iter_mut().filter(|it| it.comes_at <= now) {
            caller.attempts += 1;
            let cpu_milli = long_running_job().long_running_cpu();
            let request = Request { id: JobId(caller.id), service: &name, cpu_milli };
            let reports = reported.as_ref().map(|(at, it)| (*at, it));
            let fleet = reports.and_then(|it| FleetCapacity::try_sum(now, [Some(it)].into_iter()));
            match admission.decide(now, request, fleet).verdict {
                Verdict::Accept | Verdict::AcceptUnknown => {
                    admission.accepted(now, request);
                    sim.submit(caller.id, long_running_job());
                    service.accepted.push(caller.id);
                    caller.attempts = ATTEMPTS;
                }
                Verdict::Reject(after) => {
                    admission.returning.rejected(now, request.id, &name, cpu_milli, after);
                    caller.comes_at = now + after;
                }
            }
        }
        callers.retain(|it| it.attempts < ATTEMPTS);
        sim.run_ms(50);
        let now = sim.now;
        finite.retain(|(id, due)| {
            let done = sim.state(*id) == JobState::Completed;
            service.finite_in_time += u64::from(done && now <= *due);
            !done && now <= *due
        });
    }
    service
}

/// Guards against a fleet whose free processors are all in pieces too small for a finite task.
#[test]
fn finite_jobs_keep_their_capacity_while_long_running_ones_keep_coming() {
    let protected = play(&mut fleet(Some(1)));
    let unprotected = play(&mut fleet(None));

    assert!(protected.finite_in_time * 20 >= protected.finite * 19, "{protected:?}");
    assert!(unprotected.finite_in_time * 2 < unprotected.finite, "{unprotected:?}");
}

/// The capacity that is kept is only what finite jobs use: long-running ones get most of the fleet.
#[test]
fn long_running_jobs_get_what_finite_ones_leave() {
    let service = play(&mut fleet(Some(1)));

    // Ninety-six cores, of which finite jobs use some twenty in the mean and forty at their peaks.
    let reserved = service.accepted.len() as u64 * 6;
    assert!(reserved >= 42, "{reserved} cores, {service:?}");
}

#[test]
fn all_long_running_jobs_are_accepted_without_finite_ones() {
    let mut sim = fleet(Some(1));
    for id in 0..12 {
        sim.submit(FIRST_LONG_RUNNING + id, long_running_job());
        sim.run_ms(100);
    }

    let (_, report) = report(&mut sim).expect("the owner reports");

    assert_eq!(report.offered.cpu_milli, 0);
    let fleet = FleetCapacity::try_sum(sim.now, [Some((sim.now, &report))].into_iter());
    let name: Arc<str> = "shop".into();
    let request = Request { id: JobId(1), service: &name, cpu_milli: 6_000 };
    let decision = Admission::default().decide(sim.now, request, fleet);
    assert_eq!(decision.verdict, Verdict::Accept);
}

/// A new owner knows only the jobs that have not ended. Guards against reports by which it would
/// give away at once what its predecessor kept.
#[test]
fn a_new_owner_counts_the_finite_jobs_that_it_takes_over() {
    let mut sim = fleet(Some(1));
    for id in 0..8 {
        sim.submit(id, finite_job());
        sim.run_ms(50);
    }

    sim.change_owner(true);
    sim.run_ms(50);

    let (_, report) = report(&mut sim).expect("the owner reports");
    assert!(report.offered.cpu_milli > 0, "{report:?}");
}

#[test]
fn finite_jobs_of_queues_that_come_later_are_not_protected() {
    let mut sim = fleet(Some(0));
    sim.submit(1, finite_job());
    sim.run_ms(100);

    let (_, report) = report(&mut sim).expect("the owner reports");

    assert_eq!(report.offered.cpu_milli, 0);
}

#[test]
fn an_owner_without_the_rule_reports_nothing() {
    let mut sim = fleet(None);
    sim.submit(1, finite_job());
    sim.run_ms(100);

    assert_eq!(report(&mut sim), None);
}

/// What a cancelled job frees is what callers are told to wait for.
#[test]
fn cancelled_jobs_count_as_freed() {
    let mut sim = fleet(Some(1));
    sim.submit(FIRST_LONG_RUNNING, long_running_job());
    sim.run_ms(500);

    sim.cancel(FIRST_LONG_RUNNING);
    sim.run_ms(100);

    let (_, report) = report(&mut sim).expect("the owner reports");
    assert_eq!(report.freed_cpu_per_s, 600);
}
