//! Rows of the tables `tasks`, `jobs`, `services`, `teams`, `config` and `changes`.

use daisy_ledger::{
    AuditEntry, ChangeOutcome, Job, Owner, State, Subject as ChangeSubject, Task, TaskState,
};
use daisy_model::{JobId, JobKind, Policy, Resources, SortedMap, TaskId, VmId};

use crate::{LiveTask, LiveView, Subject, show::Sink, table::NONE, text};

pub(crate) fn is_service(job: &Job) -> bool {
    job.spec.kind == JobKind::Service
}

pub(crate) fn tasks(state: &State, live: &LiveView, sink: Sink<'_>) {
    let reasons = newest_reasons(live);
    for (id, job) in state.jobs.iter() {
        let job_reason = live.reasons_of(&Subject::Job(id)).next_back().map(|it| &*it.text);
        for (index, task) in job.tasks.iter().enumerate() {
            let id = TaskId { job: id, index: index as u32 };
            let running = live.tasks.get(&id);
            // No data centre has checked out a pending task: it waits for what its job waits for.
            let job_reason = job_reason.filter(|_| task.state == TaskState::Pending);
            let reason = job_reason.or(reasons.get(&id).copied());
            let view = TaskView { id, job, task, running, reason };
            sink(&|column| view.cell(state, live, column));
        }
    }
}

/// Returns the newest decision about each task. Finds all of them in one pass, because there are
/// many decisions and many tasks.
fn newest_reasons(live: &LiveView) -> SortedMap<TaskId, &str> {
    let mut reasons: Vec<(TaskId, usize)> = Vec::new();
    for (position, reason) in live.reasons.iter().enumerate() {
        if let Subject::Task(task) = reason.subject {
            reasons.push((task, position));
        }
    }
    reasons.sort_unstable();
    reasons.into_iter().map(|(task, position)| (task, &*live.reasons[position].text)).collect()
}

/// A task with its job and what runs of it now.
struct TaskView<'a> {
    id: TaskId,
    job: &'a Job,
    task: &'a Task,
    running: Option<&'a LiveTask>,
    reason: Option<&'a str>,
}

impl TaskView<'_> {
    fn cell(&self, state: &State, live: &LiveView, column: &str) -> String {
        let spec = &self.job.spec;
        match column {
            "task" => format!("{}/{}", spec.name, self.id.index),
            "job" => spec.name.to_string(),
            "number" => self.id.job.to_string(),
            "team" => spec.team.to_string(),
            "kind" => text::kind(spec.kind).to_owned(),
            "priority" => spec.priority.to_string(),
            "state" => self.state(state, live).to_owned(),
            "dc" => self.owner().map_or_else(none, |owner| live.dc(owner.dc)),
            "vm" => self.vm().map_or_else(none, |vm| live.vm(vm)),
            "incarnation" => {
                self.running.map_or(self.task.incarnation, |it| it.incarnation).to_string()
            }
            "share" => self.running.map_or_else(none, |it| it.share.to_string()),
            "since" => self.running.map_or_else(none, |it| text::duration(it.run_time)),
            "cpu" => text::cpu(self.size()),
            "memory" => text::memory(self.size()),
            "accelerators" => self.size().accelerators.to_string(),
            "reason" => self.reason.map_or_else(none, str::to_owned),
            _ => none(),
        }
    }

    /// Returns the task's state in one word.
    fn state(&self, state: &State, live: &LiveView) -> &'static str {
        let spec = &self.job.spec;
        match (self.task.state, self.vm()) {
            (TaskState::Pending, _) if state.is_paused(spec.kind, spec.priority) => "paused",
            (TaskState::Pending, _) => "pending",
            (TaskState::CheckedOut(_), Some(vm)) if live.is_unresponsive(vm) => "blocked",
            (TaskState::CheckedOut(_), Some(_)) => "running",
            (TaskState::CheckedOut(_), None) => "starting",
            (TaskState::Ended(exit), _) => text::exit(exit),
        }
    }

    /// Returns the data centre and the epoch that have checked the task out.
    fn owner(&self) -> Option<Owner> {
        match self.task.state {
            TaskState::CheckedOut(owner) => Some(owner),
            _ => None,
        }
    }

    /// Returns the VM on which the task runs, as reported by a worker or else as recorded in the
    /// ledger.
    fn vm(&self) -> Option<VmId> {
        let is_running = self.task.incarnation > self.task.ended;
        let recorded = if is_running { self.task.vm } else { None };
        self.running.map(|it| it.vm).or(recorded)
    }

    /// Returns the task's size, or its job's current size if the task is not checked out.
    fn size(&self) -> Resources {
        if self.owner().is_some() { self.task.size } else { self.job.spec.size }
    }
}

fn none() -> String {
    NONE.to_owned()
}

pub(crate) fn jobs(state: &State, is_included: impl Fn(&Job) -> bool, sink: Sink<'_>) {
    for (id, job) in state.jobs.iter().filter(|(_, job)| is_included(job)) {
        sink(&|column| job_cell(id, job, column));
    }
}

fn job_cell(id: JobId, job: &Job, column: &str) -> String {
    let spec = &job.spec;
    match column {
        "job" => spec.name.to_string(),
        "number" => id.to_string(),
        "team" => spec.team.to_string(),
        "kind" => text::kind(spec.kind).to_owned(),
        "priority" => spec.priority.to_string(),
        "state" => job_state(job).to_owned(),
        "tasks" => spec.tasks.to_string(),
        "pending" => count_tasks(job).pending.to_string(),
        "out" => count_tasks(job).checked_out.to_string(),
        "ended" => count_tasks(job).ended.to_string(),
        "cpu" => text::cpu(spec.size),
        "memory" => text::memory(spec.size),
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

/// The number of a job's tasks in each state.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TaskCounts {
    pub(crate) pending: usize,
    pub(crate) checked_out: usize,
    pub(crate) ended: usize,
}

pub(crate) fn count_tasks(job: &Job) -> TaskCounts {
    let mut counts = TaskCounts::default();
    for task in &job.tasks {
        match task.state {
            TaskState::Pending => counts.pending += 1,
            TaskState::CheckedOut(_) => counts.checked_out += 1,
            TaskState::Ended(_) => counts.ended += 1,
        }
    }
    counts
}

pub(crate) fn teams(state: &State, sink: Sink<'_>) {
    for (id, team) in state.teams.iter() {
        let open_jobs =
            || state.jobs.iter().filter(|(_, job)| job.team == id && job.open > 0).count();
        sink(&|column| match column {
            "team" => team.name.to_string(),
            "cpu" => text::cpu(team.limit),
            "cpu-used" => text::cpu(team.used),
            "memory" => text::memory(team.limit),
            "memory-used" => text::memory(team.used),
            "accelerators" => team.limit.accelerators.to_string(),
            "accelerators-used" => team.used.accelerators.to_string(),
            "jobs" => open_jobs().to_string(),
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

/// Returns the fields of a policy with their keys in `publish policy`.
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
    match (column, &entry.outcome) {
        ("generation", ChangeOutcome::Accepted(generation)) => generation.to_string(),
        ("result", ChangeOutcome::Accepted(_)) => "accepted".to_owned(),
        ("result", ChangeOutcome::Refused(_)) => "refused".to_owned(),
        ("cause", ChangeOutcome::Refused(cause)) => cause.to_string(),
        ("offset", _) => entry.offset.to_string(),
        ("time", _) => text::time(change.at),
        ("who", _) => change.who.to_string(),
        ("subject", _) => ChangeSubject::of(&change.command).to_string(),
        ("statement", _) => change.text.to_string(),
        _ => none(),
    }
}
