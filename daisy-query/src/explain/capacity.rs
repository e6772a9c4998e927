//! On which workers tasks of a given size fit.

use daisy_model::{Resources, Vm, VmRole};

use crate::{LiveView, LiveWorker, Table, WorkerState};

/// Adds a line with the number of workers on which a task of `size` fits, by total and by free
/// capacity, or with the smallest shortfall if it fits on none.
pub(crate) fn add_lines(table: &mut Table, live: &LiveView, size: Resources) {
    if live.workers.is_empty() {
        table.add_line("room", "no worker is known to this process");
        return;
    }
    let workers = || live.workers.iter();
    let known = workers().count();
    let by_total = workers().filter(|(_, it)| size.fits(it.capacity)).count();
    if by_total == 0 {
        let capacities = workers().map(|(&vm, it)| (live.vm(vm), it.capacity));
        table.add_line("room", misfit_text(known, capacities, size));
        return;
    }
    let is_ready = |it: &LiveWorker| it.state == WorkerState::Ready;
    let by_free = workers().filter(|(_, it)| is_ready(it) && size.fits(it.free)).count();
    table.add_line(
        "room",
        format!("a task fits on {by_total} of {known} known workers, on {by_free} now"),
    );
}

/// Returns a text that a task of `size` fits on no worker of `vms`, not even on an empty one,
/// with the smallest shortfall. Returns `None` if it fits on one, or if `vms` has no workers.
pub fn describe_misfit<'a>(
    vms: impl Iterator<Item = &'a Vm> + Clone,
    size: Resources,
) -> Option<String> {
    let workers = vms.filter(|vm| vm.role == VmRole::Worker);
    let count = workers.clone().count();
    let fits = workers.clone().any(|vm| size.fits(vm.capacity));
    let capacities = workers.map(|vm| (vm.name.to_string(), vm.capacity));
    (count > 0 && !fits).then(|| misfit_text(count, capacities, size))
}

fn misfit_text(
    count: usize,
    capacities: impl Iterator<Item = (String, Resources)>,
    size: Resources,
) -> String {
    let nearest = capacities.min_by_key(|(_, capacity)| relative_shortfall(size, *capacity));
    let shortfall =
        nearest.map_or_else(String::new, |(name, capacity)| shortfall_text(&name, capacity, size));
    format!("a task fits on none of {count} known workers; {shortfall}")
}

fn shortfall_text(name: &str, capacity: Resources, size: Resources) -> String {
    let shortfall = Resources {
        cpu_milli: size.cpu_milli.saturating_sub(capacity.cpu_milli),
        memory_mib: size.memory_mib.saturating_sub(capacity.memory_mib),
        accelerators: size.accelerators.saturating_sub(capacity.accelerators),
    };
    format!("the nearest, {name}, lacks {shortfall}")
}

/// Returns the part of `size` that `capacity` lacks, in thousandths of `size`, summed over the
/// resources.
fn relative_shortfall(size: Resources, capacity: Resources) -> u64 {
    let part = |size: u32, capacity: u32| {
        let missing = u64::from(size.saturating_sub(capacity));
        missing * 1_000 / u64::from(size.max(1))
    };
    part(size.cpu_milli, capacity.cpu_milli)
        + part(size.memory_mib, capacity.memory_mib)
        + part(size.accelerators, capacity.accelerators)
}
