//! Rows of declared work: tasks, jobs, teams, policy, changes.

use daisy_ledger::{
    AuditEntry, ChangeOutcome, Job, Owner, State, Subject as ChangeSubject, Task, TaskState,
};
use daisy_model::{JobId, JobKind, Policy, Resources, SortedMap, TaskId, VmId};

use crate::{Live, LiveTask, Subject, show::Sink, table::NONE, words};

pub(crate) fn is_service(job: &Job) -> bool {
    job.spec.kind == JobKind::Service
}

pub(crate) fn tasks(state: &State, live: &Live, sink: Sink<'_>) {
    let reasons = newest_reasons(live);
    for (id, job) in state.jobs.iter() {
        let of_job = live.reasons_of(&Subject::Job(id)).next_back().map(|it| &*it.text);
        for (index, task) in job.tasks.iter().enumerate() {
            let id = TaskId { job: id, index: index as u32 };
            let running = live.tasks.get(&id);
            // Nobody has a pending task; what its job waits for is then what it waits for.
            let of_job = of_job.filter(|_| task.state == TaskState::Pending);
            let reason = of_job.or(reasons.get(&id).copied());
            let view = TaskView { id, job, task, running, reason };
            sink(&|column| view.cell(state, live, column));
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

/// A task and what is known of it.
struct TaskView<'a> {
    id: TaskId,
    job: &'a Job,
    task: &'a Task,
    running: Option<&'a LiveTask>,
    reason: Option<&'a str>,
}

impl TaskView<'_> {
    fn cell(&self, state: &State, live: &Live, column: &str) -> String {
        let spec = &self.job.spec;
        match column {
            "task" => format!("{}/{}", spec.name, self.id.index),
            "job" => spec.name.to_string(),
            "number" => self.id.job.to_string(),
            "team" => spec.team.to_string(),
            "kind" => words::kind(spec.kind).to_owned(),
            "priority" => spec.priority.to_string(),
            "state" => self.state(state, live).to_owned(),
            "dc" => self.owner().map_or_else(none, |owner| live.dc(owner.dc)),
            "vm" => self.vm().map_or_else(none, |vm| live.vm(vm)),
            "incarnation" => {
                self.running.map_or(self.task.incarnation, |it| it.incarnation).to_string()
            }
            "share" => self.running.map_or_else(none, |it| it.share.to_string()),
            "since" => self.running.map_or_else(none, |it| words::duration(it.since)),
            "cpu" => words::cpu(self.size()),
            "memory" => words::memory(self.size()),
            "accelerators" => self.size().accelerators.to_string(),
            "reason" => self.reason.map_or_else(none, str::to_owned),
            _ => none(),
        }
    }

    /// The task's state in one word.
    fn state(&self, state: &State, live: &Live) -> &'static str {
        let spec = &self.job.spec;
        match (self.task.state, self.vm()) {
            (TaskState::Pending, _) if state.is_paused(spec.kind, spec.priority) => "paused",
            (TaskState::Pending, _) => "pending",
            (TaskState::CheckedOut(_), Some(vm)) if live.is_silent(vm) => "blocked",
            (TaskState::CheckedOut(_), Some(_)) => "running",
            (TaskState::CheckedOut(_), None) => "starting",
            (TaskState::Ended(exit), _) => words::exit(exit),
        }
    }

    fn owner(&self) -> Option<Owner> {
        match self.task.state {
            TaskState::CheckedOut(owner) => Some(owner),
            _ => None,
        }
    }

    /// Where it runs: as a worker reports it, or else as the ledger has it.
    fn vm(&self) -> Option<VmId> {
        let open = self.task.incarnation > self.task.ended;
        let recorded = if open { self.task.vm } else { None };
        self.running.map(|it| it.vm).or(recorded)
    }

    /// What it takes or, while nobody has it, would take.
    fn size(&self) -> Resources {
        if self.owner().is_some() { self.task.size } else { self.job.spec.size }
    }
}

fn none() -> String {
    NONE.to_owned()
}

pub(crate) fn jobs(state: &State, wanted: impl Fn(&Job) -> bool, sink: Sink<'_>) {
    for (id, job) in state.jobs.iter().filter(|(_, job)| wanted(job)) {
        sink(&|column| job_cell(id, job, column));
    }
}

fn job_cell(id: JobId, job: &Job, column: &str) -> String {
    let spec = &job.spec;
    match column {
        "job" => spec.name.to_string(),
        "number" => id.to_string(),
        "team" => spec.team.to_string(),
        "kind" => words::kind(spec.kind).to_owned(),
        "priority" => spec.priority.to_string(),
        "state" => job_state(job).to_owned(),
        "tasks" => spec.tasks.to_string(),
        "pending" => tally(job).pending.to_string(),
        "out" => tally(job).out.to_string(),
        "ended" => tally(job).ended.to_string(),
        "cpu" => words::cpu(spec.size),
        "memory" => words::memory(spec.size),
        "accelerators" => spec.size.accelerators.to_string(),
        "generation" => job.generation.to_string(),
        _ => none(),
    }
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
            TaskState::CheckedOut(_) => tally.out += 1,
            TaskState::Ended(_) => tally.ended += 1,
        }
    }
    tally
}

pub(crate) fn teams(state: &State, sink: Sink<'_>) {
    for (id, team) in state.teams.iter() {
        let jobs = || state.jobs.iter().filter(|(_, job)| job.team == id && job.open > 0).count();
        sink(&|column| match column {
            "team" => team.name.to_string(),
            "cpu" => words::cpu(team.limit),
            "cpu-used" => words::cpu(team.used),
            "memory" => words::memory(team.limit),
            "memory-used" => words::memory(team.used),
            "accelerators" => team.limit.accelerators.to_string(),
            "accelerators-used" => team.used.accelerators.to_string(),
            "jobs" => jobs().to_string(),
            _ => none(),
        });
    }
}

pub(crate) fn config(state: &State, sink: Sink<'_>) {
    let (generation, policy) = &state.policy;
    for (key, value) in policy_parts(policy) {
        sink(&|column| config_cell(key, &value, &generation.to_string(), column));
    }
    for class in &state.paused {
        let class = ChangeSubject::Class(*class).to_string();
        sink(&|column| config_cell("paused", &class, NONE, column));
    }
    for vm in &state.drained {
        sink(&|column| config_cell("drained", vm.as_str(), NONE, column));
    }
}

fn config_cell(key: &str, value: &str, generation: &str, column: &str) -> String {
    let cell = match column {
        "key" => key,
        "value" => value,
        "generation" => generation,
        _ => NONE,
    };
    cell.to_owned()
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
        sink(&|column| change_cell(entry, column));
    }
}

fn change_cell(entry: &AuditEntry, column: &str) -> String {
    let change = &entry.change;
    match (column, &entry.verdict) {
        ("generation", ChangeOutcome::Accepted(generation)) => generation.to_string(),
        ("result", ChangeOutcome::Accepted(_)) => "accepted".to_owned(),
        ("result", ChangeOutcome::Refused(_)) => "refused".to_owned(),
        ("cause", ChangeOutcome::Refused(cause)) => cause.to_string(),
        ("offset", _) => entry.offset.to_string(),
        ("time", _) => words::time(change.at),
        ("who", _) => change.who.to_string(),
        ("subject", _) => ChangeSubject::of(&change.command).to_string(),
        ("statement", _) => change.text.to_string(),
        _ => none(),
    }
}
