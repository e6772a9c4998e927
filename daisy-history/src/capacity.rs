//! Checks guarantee 1: the tasks on a VM never need more processors, memory or accelerators than it
//! has.

use std::collections::BTreeMap;

use crate::{Event, EventKind, Guarantee, History, Run, Size, Violation};

/// One worker and the tasks that run on it.
#[derive(Debug, Default)]
struct Worker<'a> {
    capacity: Option<Size>,
    running: Vec<(Run, Size, &'a Event)>,
}

/// Finds workers whose running tasks exceed the worker's capacity at any instant.
pub fn check(history: &History) -> Vec<Violation> {
    let mut workers: BTreeMap<&str, Worker<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let worker = || event.who.as_str();
        match &event.kind {
            EventKind::WorkerBegan { capacity } => {
                // A worker that restarts has lost all tasks that ran before.
                let restarted = Worker { capacity: Some(*capacity), running: Vec::new() };
                workers.insert(worker(), restarted);
            }
            EventKind::TaskStarted { run, size, .. } => {
                let worker = workers.entry(worker()).or_default();
                worker.running.push((*run, *size, event));
                violations.extend(worker.check_capacity());
            }
            EventKind::TaskEnded { run, .. } => {
                let worker = workers.entry(worker()).or_default();
                worker.running.retain(|(it, ..)| it != run);
            }
            _ => {}
        }
    }
    violations
}

impl Worker<'_> {
    fn check_capacity(&self) -> Option<Violation> {
        let what = match self.capacity {
            None => "a task runs on a worker that did not report its capacity".to_owned(),
            Some(capacity) => {
                let resource =
                    exceeded_resource(self.running.iter().map(|(_, size, _)| *size), capacity)?;
                format!("running tasks use more {resource} than the worker has")
            }
        };
        let events = self.running.iter().map(|(.., event)| (*event).clone()).collect();
        Some(Violation { guarantee: Guarantee::Capacity, what, events })
    }
}

/// Returns a resource of which `sizes` need more than `capacity` has, if there is one.
fn exceeded_resource(
    sizes: impl Iterator<Item = Size> + Clone,
    capacity: Size,
) -> Option<&'static str> {
    let sum =
        |amount_of: fn(&Size) -> u32| sizes.clone().map(|size| u64::from(amount_of(&size))).sum();
    let exceeds = |amount_of: fn(&Size) -> u32| {
        let used: u64 = sum(amount_of);
        used > u64::from(amount_of(&capacity))
    };
    if exceeds(|size| size.cpu_milli) {
        Some("processors")
    } else if exceeds(|size| size.memory_mib) {
        Some("memory")
    } else if exceeds(|size| size.accelerators) {
        Some("accelerators")
    } else {
        None
    }
}
