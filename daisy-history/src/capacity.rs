//! Point 1: no VM is ever given more work than its processors, memory and accelerators hold.

use std::collections::BTreeMap;

use crate::{Event, EventKind, History, Point, Run, Size, Violation};

/// What runs on one worker.
#[derive(Debug, Default)]
struct Worker<'a> {
    capacity: Option<Size>,
    running: Vec<(Run, Size, &'a Event)>,
}

/// Finds workers whose running tasks take more than they hold at any instant.
pub fn check(history: &History) -> Vec<Violation> {
    let mut workers: BTreeMap<&str, Worker<'_>> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in history.events() {
        let worker = || event.who.as_str();
        match &event.kind {
            EventKind::WorkerBegan { capacity } => {
                // A worker that begins anew holds nothing of what ran before.
                let fresh = Worker { capacity: Some(*capacity), running: Vec::new() };
                workers.insert(worker(), fresh);
            }
            EventKind::TaskStarted { run, size, .. } => {
                let worker = workers.entry(worker()).or_default();
                worker.running.push((*run, *size, event));
                violations.extend(worker.overfull());
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
    fn overfull(&self) -> Option<Violation> {
        let what = match self.capacity {
            None => "a task runs on a worker that never said what it holds".to_owned(),
            Some(capacity) => {
                let part = over(self.running.iter().map(|(_, size, _)| *size), capacity)?;
                format!("running tasks take more {part} than the worker holds")
            }
        };
        let events = self.running.iter().map(|(.., event)| (*event).clone()).collect();
        Some(Violation { point: Point::Capacity, what, events })
    }
}

fn over(sizes: impl Iterator<Item = Size> + Clone, capacity: Size) -> Option<&'static str> {
    let sum = |part: fn(&Size) -> u32| sizes.clone().map(|size| u64::from(part(&size))).sum();
    let beyond = |part: fn(&Size) -> u32| {
        let taken: u64 = sum(part);
        taken > u64::from(part(&capacity))
    };
    if beyond(|size| size.cpu_milli) {
        Some("processors")
    } else if beyond(|size| size.memory_mib) {
        Some("memory")
    } else if beyond(|size| size.accelerators) {
        Some("accelerators")
    } else {
        None
    }
}
