//! The effects of a change that would be accepted.

use daisy_ledger::{Job, State, Task, TaskState};
use daisy_model::{Command, JobSpec, Name, Resources, VmId, WorkClass};

use crate::{
    LiveView, Table,
    explain::{add_last_change, add_quota, add_value_change, capacity, pluralize},
    show::work::{TaskCounts, count_tasks, policy_parts},
    text,
};

/// Adds lines with the effects of `command`, which turns the state `before` into `after`.
pub(crate) fn add_lines(
    table: &mut Table,
    before: &State,
    after: &State,
    live: &LiveView,
    command: &Command,
) {
    match command {
        Command::Create(spec) => create(table, after, live, spec),
        Command::Change { job, .. } => change(table, before, after, live, job),
        Command::Cancel { job, .. } => cancel(table, before, job),
        Command::Quota { team, .. } => quota(table, before, after, team),
        Command::Drain { vm } => drain(table, before, live, vm),
        Command::Undrain { vm } => {
            table.add_line("vm", format!("{vm} takes new work again"));
            add_last_change(
                table,
                before,
                |it| matches!(it, Command::Drain { vm: it } if it == vm),
            );
        }
        Command::Pause(class) => pause(table, before, *class),
        Command::Resume(class) => resume(table, before, *class),
        Command::Publish(_) => publish(table, before, after),
    }
}

fn create(table: &mut Table, after: &State, live: &LiveView, spec: &JobSpec) {
    table.add_line(
        "tasks",
        format!("{} would wait to start", pluralize(spec.tasks as usize, "task")),
    );
    add_quota(table, after, &spec.team);
    add_startable_count(table, after, spec);
    capacity::add_lines(table, live, spec.size);
    if after.is_paused(spec.kind, spec.priority) {
        table.add_line("tasks", "none starts while its class is paused");
    }
}

/// Adds a line with the number of tasks of a new job that fit into the team's quota now.
fn add_startable_count(table: &mut Table, state: &State, spec: &JobSpec) {
    let Some((team, _)) = state.team(&spec.team) else { return };
    let startable =
        count_that_fit(spec.size, state.quota_headroom(team, spec.kind)).min(spec.tasks);
    table.add_line("quota", format!("allows {startable} of them to start now"));
}

/// Returns how many times `size` fits into `free`.
fn count_that_fit(size: Resources, free: Resources) -> u32 {
    let part = |size: u32, free: u32| free.checked_div(size).unwrap_or(u32::MAX);
    part(size.cpu_milli, free.cpu_milli)
        .min(part(size.memory_mib, free.memory_mib))
        .min(part(size.accelerators, free.accelerators))
}

fn change(table: &mut Table, before: &State, after: &State, live: &LiveView, name: &Name) {
    let (Some((_, old)), Some((_, new))) = (before.jobs.by_name(name), after.jobs.by_name(name))
    else {
        return;
    };
    let (old_spec, new_spec) = (&old.spec, &new.spec);
    add_value_change(table, "tasks", &old_spec.tasks.to_string(), &new_spec.tasks.to_string());
    add_value_change(
        table,
        "priority",
        &old_spec.priority.to_string(),
        &new_spec.priority.to_string(),
    );
    add_value_change(table, "size", &old_spec.size.to_string(), &new_spec.size.to_string());
    let stopped = count_checked_out_from(new, new_spec.tasks as usize);
    if stopped > 0 {
        table.add_line("tasks", format!("{} would be stopped", pluralize(stopped, "running task")));
    }
    if old_spec.size != new_spec.size {
        let unchanged = count_tasks(old).checked_out;
        let line = format!("{} would keep the old size", pluralize(unchanged, "running task"));
        table.add_line("tasks", line);
        capacity::add_lines(table, live, new_spec.size);
    }
    add_quota(table, after, &new_spec.team);
    table.add_line(
        "before",
        format!("last changed in {}", text::describe_generation(before, old.generation)),
    );
}

/// Returns how many tasks with an index of at least `from` are checked out.
fn count_checked_out_from(job: &Job, from: usize) -> usize {
    let rest = job.tasks.iter().skip(from);
    rest.filter(|task| matches!(task.state, TaskState::CheckedOut(_))).count()
}

fn cancel(table: &mut Table, before: &State, name: &Name) {
    let Some((_, job)) = before.jobs.by_name(name) else { return };
    let TaskCounts { pending, checked_out, .. } = count_tasks(job);
    table.add_line("tasks", format!("{} would never start", pluralize(pending, "waiting task")));
    table.add_line("tasks", format!("{} would be stopped", pluralize(checked_out, "running task")));
    table.add_line(
        "before",
        format!("last changed in {}", text::describe_generation(before, job.generation)),
    );
}

fn quota(table: &mut Table, before: &State, after: &State, name: &Name) {
    let Some((id, new)) = after.team(name) else { return };
    match before.team(name) {
        None => table.add_line("team", format!("{name} would be created")),
        Some((_, old)) => {
            add_value_change(table, "quota", &old.limit.to_string(), &new.limit.to_string());
        }
    }
    add_quota(table, after, name);
    if !new.used.fits(new.limit) {
        table
            .add_line("tasks", "running tasks stay; none starts until the team is below its quota");
    }
    let waiting = after.jobs.iter().filter(|(_, job)| job.team == id);
    let waiting: usize = waiting.map(|(_, job)| count_tasks(job).pending).sum();
    table.add_line("tasks", format!("{} of the team", pluralize(waiting, "waiting task")));
}

fn drain(table: &mut Table, before: &State, live: &LiveView, name: &Name) {
    let Some(vm) = live.vm_by_name(name) else {
        table.add_line("vm", format!("{name} is not in the platform's list"));
        return;
    };
    let mut evicted = 0;
    let mut unaffected = 0;
    for (id, job) in before.jobs.iter() {
        for (task, index) in job.tasks.iter().zip(0..) {
            let running = live.tasks.get(&daisy_model::TaskId { job: id, index });
            if running.map(|it| it.vm).or(recorded_vm(task)) != Some(vm.id) {
                continue;
            }
            if job.spec.tolerance.evict { evicted += 1 } else { unaffected += 1 }
        }
    }
    table.add_line("vm", "nothing new would go there");
    table.add_line(
        "tasks",
        format!("{} would be evicted and resumed elsewhere", pluralize(evicted, "task")),
    );
    table.add_line("tasks", format!("{} would stay, since they may not be evicted", unaffected));
}

/// Returns the VM on which a task runs according to the ledger.
fn recorded_vm(task: &Task) -> Option<VmId> {
    let is_running =
        matches!(task.state, TaskState::CheckedOut(_)) && task.incarnation > task.ended;
    if is_running { task.vm } else { None }
}

fn count_tasks_of_class(state: &State, class: WorkClass) -> TaskCounts {
    let mut sum = TaskCounts::default();
    let jobs = state.jobs.iter().map(|(_, job)| job);
    let covered = jobs.filter(|job| match class {
        WorkClass::Batch => job.spec.kind == daisy_model::JobKind::Batch,
        WorkClass::Priority(priority) => job.spec.priority == priority,
    });
    for job in covered {
        let TaskCounts { pending, checked_out, ended } = count_tasks(job);
        sum.pending += pending;
        sum.checked_out += checked_out;
        sum.ended += ended;
    }
    sum
}

fn pause(table: &mut Table, before: &State, class: WorkClass) {
    let TaskCounts { pending, checked_out, .. } = count_tasks_of_class(before, class);
    table.add_line("tasks", format!("{} would go on waiting", pluralize(pending, "waiting task")));
    table.add_line(
        "tasks",
        format!("{} would go on running", pluralize(checked_out, "running task")),
    );
}

fn resume(table: &mut Table, before: &State, class: WorkClass) {
    let TaskCounts { pending, .. } = count_tasks_of_class(before, class);
    table.add_line("tasks", format!("{} could start", pluralize(pending, "waiting task")));
    add_last_change(table, before, |it| matches!(it, Command::Pause(it) if *it == class));
}

fn publish(table: &mut Table, before: &State, after: &State) {
    let (generation, old) = &before.policy;
    for ((key, old_value), (_, new_value)) in
        policy_parts(old).iter().zip(policy_parts(&after.policy.1))
    {
        if *old_value != new_value {
            table.add_line(key, format!("from {old_value} to {new_value}"));
        }
    }
    if generation.0 > 0 {
        table.add_line(
            "before",
            format!("published in {}", text::describe_generation(before, *generation)),
        );
    }
}
