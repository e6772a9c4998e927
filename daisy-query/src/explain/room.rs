//! Where tasks of a size fit.

use daisy_model::{Resources, Vm, VmRole};

use crate::{LiveView, LiveWorker, Table, WorkerState};

/// Adds on how many workers a task of `size` fits, now and ever, or the nearest miss.
pub(crate) fn say(table: &mut Table, live: &LiveView, size: Resources) {
    if live.workers.is_empty() {
        table.say("room", "no worker is known to this process");
        return;
    }
    let workers = || live.workers.iter();
    let known = workers().count();
    let ever = workers().filter(|(_, it)| size.fits(it.capacity)).count();
    if ever == 0 {
        let rooms = workers().map(|(&vm, it)| (live.vm(vm), it.capacity));
        table.say("room", misfit(known, rooms, size));
        return;
    }
    let ready = |it: &LiveWorker| it.state == WorkerState::Ready;
    let now = workers().filter(|(_, it)| ready(it) && size.fits(it.free)).count();
    table.say("room", format!("a task fits on {ever} of {known} known workers, on {now} now"));
}

/// Says that a task of `size` fits on no worker of `vms`, whatever else runs there, with the
/// nearest miss; `None` if it fits on one, or if there is no worker.
pub fn describe_misfit<'a>(
    vms: impl Iterator<Item = &'a Vm> + Clone,
    size: Resources,
) -> Option<String> {
    let workers = vms.filter(|vm| vm.role == VmRole::Worker);
    let count = workers.clone().count();
    let fits = workers.clone().any(|vm| size.fits(vm.capacity));
    let rooms = workers.map(|vm| (vm.name.to_string(), vm.capacity));
    (count > 0 && !fits).then(|| misfit(count, rooms, size))
}

fn misfit(
    count: usize,
    rooms: impl Iterator<Item = (String, Resources)>,
    size: Resources,
) -> String {
    let nearest = rooms.min_by_key(|(_, room)| missing(size, *room));
    let miss = nearest.map_or_else(String::new, |(name, room)| nearest_miss(&name, room, size));
    format!("a task fits on none of {count} known workers; {miss}")
}

fn nearest_miss(name: &str, room: Resources, size: Resources) -> String {
    let lacks = Resources {
        cpu_milli: size.cpu_milli.saturating_sub(room.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(room.memory_mib),
        accelerators: size.accelerators.saturating_sub(room.accelerators),
    };
    format!("the nearest, {name}, lacks {lacks}")
}

/// How much of `size` is missing from `room`, in thousandths of the size, summed over its parts.
fn missing(size: Resources, room: Resources) -> u64 {
    let part = |size: u32, room: u32| {
        let lacking = u64::from(size.saturating_sub(room));
        lacking * 1_000 / u64::from(size.max(1))
    };
    part(size.cpu_milli, room.cpu_milli)
        + part(size.memory_mib, room.memory_mib)
        + part(size.accelerators, room.accelerators)
}
