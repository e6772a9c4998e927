//! Where tasks of a size fit.

use daisy_model::Resources;

use crate::{Live, LiveWorker, Table, WorkerState};

/// Adds on how many workers a task of `size` fits, now and ever, or the nearest miss.
pub(crate) fn say(table: &mut Table, live: &Live, size: Resources) {
    if live.workers.is_empty() {
        table.say("room", "no worker is known to this process");
        return;
    }
    let workers = || live.workers.iter();
    let known = workers().count();
    let ever = workers().filter(|(_, it)| size.fits(it.capacity)).count();
    if ever == 0 {
        let nearest = workers().min_by_key(|(_, it)| missing(size, it.capacity));
        let words = nearest.map_or_else(String::new, |(&vm, it)| nearest_miss(live, vm, it, size));
        table.say("room", format!("a task fits on none of {known} known workers; {words}"));
        return;
    }
    let ready = |it: &LiveWorker| it.state == WorkerState::Ready;
    let now = workers().filter(|(_, it)| ready(it) && size.fits(it.free)).count();
    table.say("room", format!("a task fits on {ever} of {known} known workers, on {now} now"));
}

fn nearest_miss(live: &Live, vm: daisy_model::VmId, it: &LiveWorker, size: Resources) -> String {
    let lacks = Resources {
        cpu_milli: size.cpu_milli.saturating_sub(it.capacity.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(it.capacity.memory_mib),
        accelerators: size.accelerators.saturating_sub(it.capacity.accelerators),
    };
    format!("the nearest, {}, lacks {lacks}", live.vm(vm))
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
