//! The results of the demo, from the histories that callers, backend servers and workers recorded.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use daisy_history::{CallOutcome, Event, EventKind, History, RunEnd};
use daisy_standin::load::Report;

/// The results of the demo.
#[derive(Debug)]
pub struct Summary {
    latency: [(&'static str, f64); 5],
    retries: u64,
    tasks_started: usize,
    evictions: usize,
    requests: usize,
    answered: usize,
    refused: usize,
    lost: usize,
    doubled: usize,
    tasks_done: usize,
}

impl Summary {
    /// Computes the results from the histories; the latencies and the retries come from the report
    /// of the load.
    pub fn new(report: &Report, callers: &History, workers: &History) -> Summary {
        let calls = CallsByOutcome::new(callers.events());
        Summary {
            latency: [
                ("p50", report.latency_ms(0.5)),
                ("p90", report.latency_ms(0.9)),
                ("p99", report.latency_ms(0.99)),
                ("p99.9", report.latency_ms(0.999)),
                ("max", report.latency_ms(1.0)),
            ],
            retries: report.retries,
            tasks_started: count(workers, |kind| matches!(kind, EventKind::TaskStarted { .. })),
            evictions: count(workers, is_eviction),
            requests: calls.sent.len(),
            answered: calls.answered.len(),
            refused: calls.refused.len(),
            lost: calls.lost(),
            doubled: keys_run_twice(workers) + tasks_done_twice(workers),
            tasks_done: tasks_done(workers),
        }
    }

    /// Returns whether nothing was lost or ran twice and every request received its own complete
    /// answer.
    pub fn is_good(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.answered == self.requests
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nlatency from the intended send time")?;
        for (quantile, millis) in self.latency {
            writeln!(f, "  {quantile:<6}{millis:9.1} ms")?;
        }
        writeln!(f, "retries       {:6}", self.retries)?;
        writeln!(f, "tasks started {:6}", self.tasks_started)?;
        writeln!(f, "evictions     {:6}\n", self.evictions)?;
        let Summary { requests, answered, refused, lost, doubled, tasks_done, .. } = self;
        write!(
            f,
            "requests={requests} answered={answered} refused={refused} lost={lost} \
             doubled={doubled} tasks_done={tasks_done}"
        )
    }
}

/// The numbers of the calls, by how the calls ended.
struct CallsByOutcome {
    sent: BTreeSet<u64>,
    /// Calls that received their own complete answer.
    answered: BTreeSet<u64>,
    /// Calls whose last outcome is "not run", and that were never answered.
    refused: BTreeSet<u64>,
}

impl CallsByOutcome {
    fn new(events: &[Event]) -> CallsByOutcome {
        let mut sent = BTreeSet::new();
        let mut answered = BTreeSet::new();
        let mut last_outcomes = BTreeMap::new();
        for event in events {
            match &event.kind {
                EventKind::CallSent { call, .. } => {
                    sent.insert(*call);
                }
                EventKind::CallEnded { call, outcome, own, .. } => {
                    last_outcomes.insert(*call, *outcome);
                    if *outcome == CallOutcome::Answered && *own {
                        answered.insert(*call);
                    }
                }
                _ => {}
            }
        }
        let refused = last_outcomes
            .into_iter()
            .filter(|(call, outcome)| *outcome == CallOutcome::NotRun && !answered.contains(call))
            .map(|(call, _)| call)
            .collect();
        CallsByOutcome { sent, answered, refused }
    }

    /// Returns the number of calls with neither their own complete answer nor a rejection.
    fn lost(&self) -> usize {
        self.sent.len() - self.answered.union(&self.refused).count()
    }
}

/// Returns the number of distinct tasks that ended as done.
pub fn tasks_done(workers: &History) -> usize {
    completions_by_task(workers).len()
}

/// Returns the number of tasks that ended as done more than once.
fn tasks_done_twice(workers: &History) -> usize {
    completions_by_task(workers).values().filter(|&&times| times > 1).count()
}

/// Returns how often each task ended as done, by job and index.
fn completions_by_task(workers: &History) -> BTreeMap<(u32, u32), usize> {
    let mut done = BTreeMap::new();
    for event in workers.events() {
        if let EventKind::TaskEnded { run, end: RunEnd::Done } = &event.kind {
            *done.entry((run.job, run.index)).or_insert(0) += 1;
        }
    }
    done
}

/// Returns the number of idempotency keys under which more than one request began to run.
fn keys_run_twice(workers: &History) -> usize {
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

fn count(history: &History, matches_kind: impl Fn(&EventKind) -> bool) -> usize {
    history.events().iter().filter(|event| matches_kind(&event.kind)).count()
}
