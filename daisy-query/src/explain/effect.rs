//! What an accepted change would do.

use daisy_ledger::{Job, State, Task, TaskState};
use daisy_model::{Command, JobSpec, Name, Resources, VmId, WorkClass};

use crate::{
    Live, Table,
    explain::{count, room, say_before, say_changed, say_quota},
    show::work::{Tally, policy_parts, tally},
    words,
};

/// Adds what `command` makes of `before`, which is `after`.
pub(crate) fn say(
    table: &mut Table,
    before: &State,
    after: &State,
    live: &Live,
    command: &Command,
) {
    match command {
        Command::Create(spec) => create(table, after, live, spec),
        Command::Change { job, .. } => change(table, before, after, live, job),
        Command::Cancel { job, .. } => cancel(table, before, job),
        Command::Quota { team, .. } => quota(table, before, after, team),
        Command::Drain { vm } => drain(table, before, live, vm),
        Command::Undrain { vm } => {
            table.say("vm", format!("{vm} takes new work again"));
            say_before(table, before, |it| matches!(it, Command::Drain { vm: it } if it == vm));
        }
        Command::Pause(class) => pause(table, before, *class),
        Command::Resume(class) => resume(table, before, *class),
        Command::Publish(_) => publish(table, before, after),
    }
}

fn create(table: &mut Table, after: &State, live: &Live, spec: &JobSpec) {
    table.say("tasks", format!("{} would wait to start", count(spec.tasks as usize, "task")));
    say_quota(table, after, &spec.team);
    say_startable(table, after, spec);
    room::say(table, live, spec.size);
    if after.is_paused(spec.kind, spec.priority) {
        table.say("tasks", "none starts while its class is paused");
    }
}

/// Adds how many tasks of a new job the team's quota has room for now.
fn say_startable(table: &mut Table, state: &State, spec: &JobSpec) {
    let Some((team, _)) = state.team(&spec.team) else { return };
    let room = fitting(spec.size, state.quota_headroom(team, spec.kind)).min(spec.tasks);
    table.say("quota", format!("leaves room for {room} of them now"));
}

/// How many times `size` fits into `room`.
fn fitting(size: Resources, room: Resources) -> u32 {
    let part = |size: u32, room: u32| room.checked_div(size).unwrap_or(u32::MAX);
    part(size.cpu_milli, room.cpu_milli)
        .min(part(size.memory_mib, room.memory_mib))
        .min(part(size.accelerators, room.accelerators))
}

fn change(table: &mut Table, before: &State, after: &State, live: &Live, name: &Name) {
    let (Some((_, old)), Some((_, new))) = (before.jobs.by_name(name), after.jobs.by_name(name))
    else {
        return;
    };
    let (was, is) = (&old.spec, &new.spec);
    say_changed(table, "tasks", &was.tasks.to_string(), &is.tasks.to_string());
    say_changed(table, "priority", &was.priority.to_string(), &is.priority.to_string());
    say_changed(table, "size", &was.size.to_string(), &is.size.to_string());
    let going = out_from(new, is.tasks as usize);
    if going > 0 {
        table.say("tasks", format!("{} would be stopped", count(going, "running task")));
    }
    if was.size != is.size {
        let staying = tally(old).out;
        let words = format!("{} would keep the old size", count(staying, "running task"));
        table.say("tasks", words);
        room::say(table, live, is.size);
    }
    say_quota(table, after, &is.team);
    table.say("before", format!("last changed in {}", words::author(before, old.generation)));
}

/// How many tasks from `from` on are out.
fn out_from(job: &Job, from: usize) -> usize {
    let rest = job.tasks.iter().skip(from);
    rest.filter(|task| matches!(task.state, TaskState::CheckedOut(_))).count()
}

fn cancel(table: &mut Table, before: &State, name: &Name) {
    let Some((_, job)) = before.jobs.by_name(name) else { return };
    let Tally { pending, out, .. } = tally(job);
    table.say("tasks", format!("{} would never start", count(pending, "waiting task")));
    table.say("tasks", format!("{} would be stopped", count(out, "running task")));
    table.say("before", format!("last changed in {}", words::author(before, job.generation)));
}

fn quota(table: &mut Table, before: &State, after: &State, name: &Name) {
    let Some((id, new)) = after.team(name) else { return };
    match before.team(name) {
        None => table.say("team", format!("{name} would be created")),
        Some((_, old)) => {
            say_changed(table, "quota", &old.limit.to_string(), &new.limit.to_string());
        }
    }
    say_quota(table, after, name);
    if !new.used.fits(new.limit) {
        table.say("tasks", "running tasks stay; none starts until the team is below its quota");
    }
    let waiting = after.jobs.iter().filter(|(_, job)| job.team == id);
    let waiting: usize = waiting.map(|(_, job)| tally(job).pending).sum();
    table.say("tasks", format!("{} of the team", count(waiting, "waiting task")));
}

fn drain(table: &mut Table, before: &State, live: &Live, name: &Name) {
    let Some(vm) = live.vm_by_name(name) else {
        table.say("vm", format!("{name} is not in the platform's list"));
        return;
    };
    let mut going = 0;
    let mut staying = 0;
    for (id, job) in before.jobs.iter() {
        for (task, index) in job.tasks.iter().zip(0..) {
            let running = live.tasks.get(&daisy_model::TaskId { job: id, index });
            if running.map(|it| it.vm).or(recorded(task)) != Some(vm.id) {
                continue;
            }
            if job.spec.tolerance.evict { going += 1 } else { staying += 1 }
        }
    }
    table.say("vm", "nothing new would go there");
    table.say("tasks", format!("{} would be evicted and resumed elsewhere", count(going, "task")));
    table.say("tasks", format!("{} would stay, since they may not be evicted", staying));
}

/// The VM on which a task is recorded to run.
fn recorded(task: &Task) -> Option<VmId> {
    let open = matches!(task.state, TaskState::CheckedOut(_)) && task.incarnation > task.ended;
    if open { task.vm } else { None }
}

fn of_class(state: &State, class: WorkClass) -> Tally {
    let mut sum = Tally::default();
    let jobs = state.jobs.iter().map(|(_, job)| job);
    let covered = jobs.filter(|job| match class {
        WorkClass::Batch => job.spec.kind == daisy_model::JobKind::Batch,
        WorkClass::Priority(priority) => job.spec.priority == priority,
    });
    for job in covered {
        let Tally { pending, out, ended } = tally(job);
        sum.pending += pending;
        sum.out += out;
        sum.ended += ended;
    }
    sum
}

fn pause(table: &mut Table, before: &State, class: WorkClass) {
    let Tally { pending, out, .. } = of_class(before, class);
    table.say("tasks", format!("{} would go on waiting", count(pending, "waiting task")));
    table.say("tasks", format!("{} would go on running", count(out, "running task")));
}

fn resume(table: &mut Table, before: &State, class: WorkClass) {
    let Tally { pending, .. } = of_class(before, class);
    table.say("tasks", format!("{} could start", count(pending, "waiting task")));
    say_before(table, before, |it| matches!(it, Command::Pause(it) if *it == class));
}

fn publish(table: &mut Table, before: &State, after: &State) {
    let (generation, old) = &before.policy;
    for ((key, was), (_, is)) in policy_parts(old).iter().zip(policy_parts(&after.policy.1)) {
        if *was != is {
            table.say(key, format!("from {was} to {is}"));
        }
    }
    if generation.0 > 0 {
        table.say("before", format!("published in {}", words::author(before, *generation)));
    }
}
