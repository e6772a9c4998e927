//! Rows of declared work: tasks, jobs, teams, policy, changes.

use daisy_ledger::{Job, State, Subject as ChangeSubject, Task, TaskState, Verdict};
use daisy_model::{JobId, JobKind, Policy, SortedMap, TaskId};

use crate::{Live, Subject, show::Sink, table::NONE, words};

pub(crate) fn is_service(job: &Job) -> bool {
    job.spec.kind == JobKind::Service
}

pub(crate) fn tasks(state: &State, live: &Live, sink: Sink<'_>) {
    let reasons = newest_reasons(live);
    for (id, job) in state.jobs.iter() {
        for (index, task) in job.tasks.iter().enumerate() {
            let id = TaskId { job: id, index: index as u32 };
            sink(task_row(state, live, id, job, task, reasons.get(&id)));
        }
    }
}

/// The newest decision about each task, found in one pass: there are many of both.
fn newest_reasons(live: &Live) -> SortedMap<TaskId, &str> {
    let mut reasons: Vec<(TaskId, usize)> = Vec::new();
    for (at, reason) in live.reasons.iter().enumerate() {
        if let Subject::Task(task) = reason.subject {
            reasons.push((task, at));
        }
    }
    reasons.sort_unstable();
    reasons.into_iter().map(|(task, at)| (task, &*live.reasons[at].text)).collect()
}

fn task_row(
    state: &State,
    live: &Live,
    id: TaskId,
    job: &Job,
    task: &Task,
    reason: Option<&&str>,
) -> Vec<String> {
    let spec = &job.spec;
    let running = live.tasks.get(&id);
    let dc = match task.state {
        TaskState::Out(owner) => live.dc(owner.dc),
        _ => NONE.to_owned(),
    };
    let recorded = if task.incarnation > task.ended { task.vm } else { None };
    let vm = running.map(|it| it.vm).or(recorded);
    let incarnation = running.map_or(task.incarnation, |it| it.incarnation);
    let size = if matches!(task.state, TaskState::Out(_)) { task.size } else { spec.size };
    vec![
        format!("{}/{}", spec.name, id.index),
        id.job.to_string(),
        spec.team.to_string(),
        words::kind(spec.kind).to_owned(),
        spec.priority.to_string(),
        task_state(state, job, task, running.is_some() || recorded.is_some()).to_owned(),
        dc,
        vm.map_or_else(none, |vm| live.vm(vm)),
        incarnation.to_string(),
        running.map_or_else(none, |it| it.share.to_string()),
        running.map_or_else(none, |it| words::duration(it.since)),
        words::cpu(size),
        words::memory(size),
        size.accelerators.to_string(),
        reason.map_or_else(none, |it| (*it).to_owned()),
    ]
}

/// A task's state in one word.
pub(crate) fn task_state(state: &State, job: &Job, task: &Task, started: bool) -> &'static str {
    match task.state {
        TaskState::Pending if state.is_paused(job.spec.kind, job.spec.priority) => "paused",
        TaskState::Pending => "pending",
        TaskState::Out(_) if started => "running",
        TaskState::Out(_) => "starting",
        TaskState::Ended(exit) => words::exit(exit),
    }
}

fn none() -> String {
    NONE.to_owned()
}

pub(crate) fn jobs(state: &State, wanted: impl Fn(&Job) -> bool, sink: Sink<'_>) {
    for (id, job) in state.jobs.iter().filter(|(_, job)| wanted(job)) {
        sink(job_row(id, job));
    }
}

fn job_row(id: JobId, job: &Job) -> Vec<String> {
    let spec = &job.spec;
    let Tally { pending, out, ended } = tally(job);
    vec![
        spec.name.to_string(),
        id.to_string(),
        spec.team.to_string(),
        words::kind(spec.kind).to_owned(),
        spec.priority.to_string(),
        job_state(job).to_owned(),
        spec.tasks.to_string(),
        pending.to_string(),
        out.to_string(),
        ended.to_string(),
        words::cpu(spec.size),
        words::memory(spec.size),
        spec.size.accelerators.to_string(),
        job.generation.to_string(),
    ]
}

fn job_state(job: &Job) -> &'static str {
    match (job.cancelled, job.open) {
        (true, 0) => "cancelled",
        (true, _) => "stopping",
        (false, 0) => "finished",
        (false, _) => "open",
    }
}

/// How many tasks of a job are in which state.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) pending: usize,
    pub(crate) out: usize,
    pub(crate) ended: usize,
}

pub(crate) fn tally(job: &Job) -> Tally {
    let mut tally = Tally::default();
    for task in &job.tasks {
        match task.state {
            TaskState::Pending => tally.pending += 1,
            TaskState::Out(_) => tally.out += 1,
            TaskState::Ended(_) => tally.ended += 1,
        }
    }
    tally
}

pub(crate) fn teams(state: &State, sink: Sink<'_>) {
    for (id, team) in state.teams.iter() {
        let jobs = state.jobs.iter().filter(|(_, job)| job.team == id && job.open > 0).count();
        sink(vec![
            team.name.to_string(),
            words::cpu(team.limit),
            words::cpu(team.used),
            words::memory(team.limit),
            words::memory(team.used),
            team.limit.accelerators.to_string(),
            team.used.accelerators.to_string(),
            jobs.to_string(),
        ]);
    }
}

pub(crate) fn config(state: &State, sink: Sink<'_>) {
    let (generation, policy) = &state.policy;
    for (key, value) in policy_parts(policy) {
        sink(vec![key.to_owned(), value, generation.to_string()]);
    }
    for class in &state.paused {
        sink(vec!["paused".to_owned(), ChangeSubject::Class(*class).to_string(), none()]);
    }
    for vm in &state.drained {
        sink(vec!["drained".to_owned(), vm.to_string(), none()]);
    }
}

/// The parts of a policy under the names that `publish` gives them.
pub(crate) fn policy_parts(policy: &Policy) -> [(&'static str, String); 7] {
    [
        ("tail", policy.objective.tail.to_string()),
        ("throughput", policy.objective.throughput.to_string()),
        ("evictions", policy.objective.evictions.to_string()),
        ("retry-budget", policy.retry_budget.to_string()),
        ("retry-window", format!("{}ms", policy.retry_window.as_millis())),
        ("region-bytes", policy.region_bytes.to_string()),
        ("throttle-above", policy.throttle_above.to_string()),
    ]
}

pub(crate) fn changes(state: &State, sink: Sink<'_>) {
    for entry in &state.audit {
        let change = &entry.change;
        let (generation, result, cause) = match &entry.verdict {
            Verdict::Accepted(generation) => (generation.to_string(), "accepted", none()),
            Verdict::Refused(cause) => (none(), "refused", cause.to_string()),
        };
        sink(vec![
            generation,
            entry.offset.to_string(),
            words::time(change.at),
            change.who.to_string(),
            ChangeSubject::of(&change.command).to_string(),
            result.to_owned(),
            change.text.to_string(),
            cause,
        ]);
    }
}
