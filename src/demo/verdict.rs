//! What came of the demo, from what callers, backend servers and workers recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use daisy_history::{CallOutcome, Event, EventKind, History, RunEnd};
use daisy_standin::load::Report;

/// The demo's result.
#[derive(Debug)]
pub struct Verdict {
    latency: [(&'static str, f64); 5],
    retries: u64,
    tasks_run: usize,
    evictions: usize,
    requests: usize,
    answered: usize,
    refused: usize,
    lost: usize,
    doubled: usize,
    tasks_done: usize,
}

impl Verdict {
    /// Counts what the histories show; only the latencies come from the load's own report.
    pub fn new(report: &Report, callers: &History, workers: &History) -> Verdict {
        let calls = Calls::new(callers.events());
        Verdict {
            latency: [
                ("p50", report.latency_ms(0.5)),
                ("p90", report.latency_ms(0.9)),
                ("p99", report.latency_ms(0.99)),
                ("p99.9", report.latency_ms(0.999)),
                ("max", report.latency_ms(1.0)),
            ],
            retries: report.retries,
            tasks_run: count(workers, |kind| matches!(kind, EventKind::TaskStarted { .. })),
            evictions: count(workers, is_eviction),
            requests: calls.sent.len(),
            answered: calls.answered.len(),
            refused: calls.refused.len(),
            lost: calls.lost(),
            doubled: doubled_keys(workers) + doubled_tasks(workers),
            tasks_done: tasks_done(workers),
        }
    }

    /// Whether nothing was lost or doubled and every request has its own whole answer.
    pub fn is_good(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.answered == self.requests
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nlatency from the intended send time")?;
        for (quantile, millis) in self.latency {
            writeln!(f, "  {quantile:<6}{millis:9.1} ms")?;
        }
        writeln!(f, "retries       {:6}", self.retries)?;
        writeln!(f, "tasks started {:6}", self.tasks_run)?;
        writeln!(f, "evictions     {:6}\n", self.evictions)?;
        let Verdict { requests, answered, refused, lost, doubled, tasks_done, .. } = self;
        write!(
            f,
            "requests={requests} answered={answered} refused={refused} lost={lost} \
             doubled={doubled} tasks_done={tasks_done}"
        )
    }
}

/// Calls by how they ended.
struct Calls {
    sent: BTreeSet<u64>,
    /// With the call's own whole answer.
    answered: BTreeSet<u64>,
    /// Refused as not run, and never answered.
    refused: BTreeSet<u64>,
}

impl Calls {
    fn new(events: &[Event]) -> Calls {
        let mut sent = BTreeSet::new();
        let mut answered = BTreeSet::new();
        let mut last = BTreeMap::new();
        for event in events {
            match &event.kind {
                EventKind::CallSent { call, .. } => {
                    sent.insert(*call);
                }
                EventKind::CallEnded { call, outcome, own, .. } => {
                    last.insert(*call, *outcome);
                    if *outcome == CallOutcome::Answered && *own {
                        answered.insert(*call);
                    }
                }
                _ => {}
            }
        }
        let refused = last
            .into_iter()
            .filter(|(call, outcome)| *outcome == CallOutcome::NotRun && !answered.contains(call))
            .map(|(call, _)| call)
            .collect();
        Calls { sent, answered, refused }
    }

    /// Calls that have neither their own whole answer nor a refusal.
    fn lost(&self) -> usize {
        self.sent.len() - self.answered.union(&self.refused).count()
    }
}

/// Distinct tasks that ended as done.
pub fn tasks_done(workers: &History) -> usize {
    done_by_task(workers).len()
}

/// Tasks that did their work more than once.
fn doubled_tasks(workers: &History) -> usize {
    done_by_task(workers).values().filter(|&&times| times > 1).count()
}

fn done_by_task(workers: &History) -> BTreeMap<(u32, u32), usize> {
    let mut done = BTreeMap::new();
    for event in workers.events() {
        if let EventKind::TaskEnded { run, end: RunEnd::Done } = &event.kind {
            *done.entry((run.job, run.index)).or_insert(0) += 1;
        }
    }
    done
}

/// Keys under which more than one run began.
fn doubled_keys(workers: &History) -> usize {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for event in workers.events() {
        if let EventKind::RequestBegan { key: Some(key), .. } = &event.kind {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs.values().filter(|&&times| times > 1).count()
}

fn is_eviction(kind: &EventKind) -> bool {
    matches!(kind, EventKind::TaskEnded { end: RunEnd::Checkpointed(_), .. })
}

fn count(history: &History, is: impl Fn(&EventKind) -> bool) -> usize {
    history.events().iter().filter(|event| is(&event.kind)).count()
}
