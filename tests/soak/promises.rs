//! Checks the promises of the system against what callers and workers observed.

use std::time::{Duration, Instant};

use daisy_platform_standin::StartedRun;

use crate::{
    callers::{Constraint, INTERVAL, StateAnswer, SubmittedJob},
    fleet::{CORES, is_of_kind_a},
};

/// The number of tasks of half a core that fit on a worker.
const TASKS_PER_WORKER_MAX: usize = CORES as usize * 2;
/// How long a job may be unknown to a VM after its acceptance, and how old a VM's answer may be in
/// comparison with others: a VM that has not read the log for 2.6 s answers that it does not know.
const STALENESS_MAX: Duration = Duration::from_secs(3);

/// Returns descriptions of all violations of the promises.
pub fn violations(jobs: &[SubmittedJob], runs: &[(usize, StartedRun)]) -> Vec<String> {
    let mut violations = Vec::new();
    for job in jobs {
        violations.extend(state_violations(job));
        let of_job: Vec<_> = runs.iter().filter(|(_, it)| it.task.starts_with(&job.id)).collect();
        violations.extend(run_violations(job, &of_job));
        violations.extend(constraint_violations(job, &of_job));
    }
    let was_submitted = |it: &StartedRun| jobs.iter().any(|job| it.task.starts_with(&job.id));
    let foreign = runs.iter().filter(|(_, it)| !was_submitted(it));
    violations
        .extend(foreign.map(|(_, it)| format!("task {} ran but no caller submitted it", it.task)));
    violations.extend(capacity_violations(runs));
    violations
}

/// Checks the reported states: an accepted job is not reported as unknown after [`STALENESS_MAX`],
/// and a job that was reported as completed is not reported as queued or running later, by the same
/// VM at any time and by another VM after [`STALENESS_MAX`].
fn state_violations(job: &SubmittedJob) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, answer) in job.answers.iter().enumerate() {
        let must_be_known =
            job.accepted_at.is_some_and(|it| answer.received_at > it + STALENESS_MAX);
        if answer.status == 410 && must_be_known && job.cancel_sent_at.is_none() {
            violations.push(format!("job {} was accepted but is reported as unknown", job.id));
        }
        let is_unfinished = answer.body.contains("running") || answer.body.contains("queued");
        for earlier in job.answers[..index].iter().filter(|it| it.body.contains("completed")) {
            let may_be_stale =
                earlier.vm != answer.vm && answer.received_at < earlier.received_at + STALENESS_MAX;
            if is_unfinished && !may_be_stale {
                let StateAnswer { vm, body, .. } = answer;
                let earlier_vm = earlier.vm;
                violations.push(format!(
                    "job {} was completed at VM {earlier_vm} but is {body} at VM {vm}",
                    job.id
                ));
            }
        }
    }
    violations
}

/// Checks the runs of one job's tasks: no task of a rejected job runs, all tasks of an accepted job
/// are done unless it is cancelled, no task of a cancelled job still runs, and no task runs twice at
/// one time or again after its acknowledged end.
fn run_violations(job: &SubmittedJob, runs: &[&(usize, StartedRun)]) -> Vec<String> {
    let mut violations = Vec::new();
    let was_rejected =
        job.submit_statuses.iter().all(|it| *it == 503) && !job.submit_statuses.is_empty();
    if was_rejected && !runs.is_empty() {
        violations.push(format!("job {} was rejected but ran", job.id));
    }
    let mut done: Vec<_> = runs.iter().filter(|(_, it)| it.done).map(|(_, it)| &it.task).collect();
    done.sort_unstable();
    done.dedup();
    let is_done = match job.constraint {
        Constraint::Gang => !done.is_empty(),
        _ => done.len() == job.task_count,
    };
    if job.accepted_at.is_some() && job.cancel_sent_at.is_none() && !is_done {
        violations.push(format!(
            "job {} was accepted, but {} of {} tasks were done",
            job.id,
            done.len(),
            job.task_count
        ));
    }
    if job.cancelled_at.is_some() && runs.iter().any(|(_, it)| it.ended.is_none()) {
        violations.push(format!("job {} was cancelled but still runs", job.id));
    }
    for (index, (worker_a, a)) in runs.iter().enumerate() {
        for (worker_b, b) in &runs[index + 1..] {
            if a.task != b.task {
                continue;
            }
            if overlaps(a, b) {
                violations.push(format!(
                    "task {}: run {} on worker {worker_a} and run {} on worker {worker_b} overlap",
                    a.task, a.run, b.run
                ));
            }
            let (earlier, later) = if a.began <= b.began { (a, b) } else { (b, a) };
            if earlier.done && earlier.acknowledged {
                violations.push(format!(
                    "task {}: run {} starts after the task's acknowledged end",
                    earlier.task, later.run
                ));
            }
        }
    }
    violations
}

/// Checks that tasks ran where and when their job's constraint allows.
fn constraint_violations(job: &SubmittedJob, runs: &[&(usize, StartedRun)]) -> Vec<String> {
    /// How long before its time the platform lets a task start.
    const EARLY_MAX: Duration = Duration::from_millis(250);
    let is_violated = |(worker, run): &(usize, StartedRun)| match job.constraint {
        Constraint::None => false,
        Constraint::Label => !is_of_kind_a(*worker),
        Constraint::Gang => runs
            .iter()
            .any(|(_, it)| it.done && it.acknowledged && it.run < run.run && it.began <= run.began),
        Constraint::OnePerWorker => runs.iter().any(|(other, it)| {
            other == worker && it.task != run.task && it.began <= run.began && overlaps(it, run)
        }),
        Constraint::Order => {
            let earlier = runs.iter().filter(|(_, it)| it.done && step_of(&it.task) == 0);
            let done_before = earlier.filter(|(_, it)| it.ended.is_some_and(|at| at <= run.began));
            step_of(&run.task) == 1 && done_before.count() + 1 < job.task_count
        }
        Constraint::Timed(first) => {
            run.began + EARLY_MAX < first + INTERVAL * occurrence_of(&run.task)
        }
    };
    let violating = runs.iter().filter(|it| is_violated(it));
    let describe = |(worker, run): &&&(usize, StartedRun)| {
        format!("task {} on worker {worker}: {:?}", run.task, job.constraint)
    };
    violating.map(|it| describe(&it)).collect()
}

/// Returns the number of a task's step: `ID.K.STEP.INDEX`.
fn step_of(task: &str) -> u32 {
    part_of(task, 2)
}

fn occurrence_of(task: &str) -> u32 {
    part_of(task, 1)
}

fn part_of(task: &str, at: usize) -> u32 {
    task.split('.').nth(at).and_then(|it| it.parse().ok()).expect("a task's name")
}

/// Returns whether two runs overlap in time; a run without an end is treated as still running.
fn overlaps(a: &StartedRun, b: &StartedRun) -> bool {
    let end_of =
        |it: &StartedRun| it.ended.unwrap_or_else(|| it.began + Duration::from_secs(3_600));
    a.began < end_of(b) && b.began < end_of(a)
}

/// Checks that no worker ever held more tasks at one time than fit on it.
fn capacity_violations(runs: &[(usize, StartedRun)]) -> Vec<String> {
    let mut violations = Vec::new();
    let workers = runs.iter().map(|(worker, _)| *worker).max().map_or(0, |it| it + 1);
    for worker in 0..workers {
        let mut changes: Vec<(Instant, i32)> = Vec::new();
        for (_, it) in runs.iter().filter(|(index, _)| *index == worker) {
            changes.push((it.began, 1));
            changes.extend(it.ended.map(|at| (at, -1)));
        }
        // If one run ends when another begins, the end is applied first.
        changes.sort_by_key(|(at, change)| (*at, *change));
        let mut held = 0;
        let held_max = changes
            .iter()
            .map(|(_, it)| {
                held += it;
                held
            })
            .max()
            .unwrap_or_default();
        if held_max > TASKS_PER_WORKER_MAX as i32 {
            violations
                .push(format!("worker {worker} held {held_max} tasks; {TASKS_PER_WORKER_MAX} fit"));
        }
    }
    violations
}
