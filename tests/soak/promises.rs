//! What must hold of all that callers and workers saw.

use std::time::{Duration, Instant};

use daisy_platform_standin::StartedRun;

use crate::{
    callers::{Call, Told},
    fleet::CORES,
};

/// Tasks of half a core that a worker holds.
const TASKS_MAX: usize = CORES as usize * 2;
/// How long after its acceptance a job may be unknown to a VM, and how far a VM may be behind others
/// in what it tells: it says that it does not know once it has not read for 2.6 s.
const VISIBLE: Duration = Duration::from_secs(3);

/// All promises that were broken, in words.
pub fn broken(calls: &[Call], runs: &[(usize, StartedRun)]) -> Vec<String> {
    let mut broken = Vec::new();
    for call in calls {
        broken.extend(told_truly(call));
        let of_job: Vec<_> = runs.iter().filter(|(_, it)| it.task.starts_with(&call.id)).collect();
        broken.extend(of_one_job(call, &of_job));
    }
    let known = |it: &StartedRun| calls.iter().any(|call| it.task.starts_with(&call.id));
    let foreign = runs.iter().filter(|(_, it)| !known(it));
    broken.extend(foreign.map(|(_, it)| format!("{} runs and nobody submitted it", it.task)));
    broken.extend(over_capacity(runs));
    broken
}

/// A job that was accepted is never unknown later on, and an ended one is not told to run: by the
/// same VM never, by another one not after the time that it may be behind.
fn told_truly(call: &Call) -> Vec<String> {
    let mut broken = Vec::new();
    for (at, told) in call.told.iter().enumerate() {
        let late = call.accepted.is_some_and(|it| told.at > it + VISIBLE);
        if told.status == 410 && late && call.cancel_sent.is_none() {
            broken.push(format!("{} was accepted and is said not to exist", call.id));
        }
        let open = told.state.contains("running") || told.state.contains("queued");
        for before in call.told[..at].iter().filter(|it| it.state.contains("completed")) {
            let behind = before.vm != told.vm && told.at < before.at + VISIBLE;
            if open && !behind {
                let Told { vm, state, .. } = told;
                let was = before.vm;
                broken.push(format!("{} ended at VM {was} and is {state} at VM {vm}", call.id));
            }
        }
    }
    broken
}

fn of_one_job(call: &Call, runs: &[&(usize, StartedRun)]) -> Vec<String> {
    let mut broken = Vec::new();
    let refused = call.submitted.iter().all(|it| *it == 503) && !call.submitted.is_empty();
    if refused && !runs.is_empty() {
        broken.push(format!("{} was refused and runs", call.id));
    }
    let mut done: Vec<_> = runs.iter().filter(|(_, it)| it.done).map(|(_, it)| &it.task).collect();
    done.sort_unstable();
    done.dedup();
    if call.accepted.is_some() && call.cancel_sent.is_none() && done.len() != call.tasks {
        broken.push(format!(
            "{} was accepted; {} of {} tasks ran",
            call.id,
            done.len(),
            call.tasks
        ));
    }
    if call.cancelled.is_some() && runs.iter().any(|(_, it)| it.ended.is_none()) {
        broken.push(format!("{} was cancelled and runs on", call.id));
    }
    for (at, (first, a)) in runs.iter().enumerate() {
        for (second, b) in &runs[at + 1..] {
            if a.task != b.task {
                continue;
            }
            if overlap(a, b) {
                broken.push(format!(
                    "{} runs {} on {first} and {} on {second} at one time",
                    a.task, a.run, b.run
                ));
            }
            let (one, next) = if a.began <= b.began { (a, b) } else { (b, a) };
            if one.done && one.acknowledged {
                broken.push(format!("{} run {} starts after its end", one.task, next.run));
            }
        }
    }
    broken
}

/// Whether two runs were there at one time.
fn overlap(a: &StartedRun, b: &StartedRun) -> bool {
    let ends = |it: &StartedRun| it.ended.unwrap_or_else(|| it.began + Duration::from_secs(3_600));
    a.began < ends(b) && b.began < ends(a)
}

/// Workers that held more at one time than they have room for.
fn over_capacity(runs: &[(usize, StartedRun)]) -> Vec<String> {
    let mut broken = Vec::new();
    let workers = runs.iter().map(|(worker, _)| *worker).max().map_or(0, |it| it + 1);
    for worker in 0..workers {
        let mut changes: Vec<(Instant, i32)> = Vec::new();
        for (_, it) in runs.iter().filter(|(at, _)| *at == worker) {
            changes.push((it.began, 1));
            changes.extend(it.ended.map(|at| (at, -1)));
        }
        // Where one ends as another begins, the end counts first.
        changes.sort_by_key(|(at, change)| (*at, *change));
        let mut held = 0;
        let most = changes
            .iter()
            .map(|(_, it)| {
                held += it;
                held
            })
            .max()
            .unwrap_or_default();
        if most > TASKS_MAX as i32 {
            broken.push(format!("worker {worker} held {most} tasks; {TASKS_MAX} fit"));
        }
    }
    broken
}
