//! Memory, snapshot and cold start at one size.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use daisy_ledger::{Intents, Record, State};
use daisy_query::LiveView;
use daisy_wire::snapshot::{self, Restore};

use crate::ledger::{
    PEAK_STARTS,
    fleet::{self, Fleet},
    memory,
};

/// The most bytes of a snapshot's part.
const PART_BYTES: usize = 64 << 10;
/// Seconds at the peak rate that stand after the snapshot.
const TAIL_SECONDS: u64 = 600;

/// What one size came to.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) tasks: usize,
    pub(crate) jobs: usize,
    pub(crate) memory_bytes: u64,
    pub(crate) snapshot_bytes: usize,
    /// The part of a snapshot that the audit trail takes.
    pub(crate) audit_bytes: usize,
    /// The part of a snapshot that announced requests take.
    pub(crate) intents_bytes: usize,
    pub(crate) parts: usize,
    pub(crate) encode_ms: f64,
    pub(crate) restore_ms: f64,
    pub(crate) tail_entries: usize,
    pub(crate) clone_ms: f64,
    /// Time to count tasks by a filter.
    pub(crate) count_ms: f64,
    /// Time to explain a change.
    pub(crate) explain_ms: f64,
    /// Bytes in the log of one operator's change.
    pub(crate) change_bytes: f64,
}

impl Figures {
    pub(crate) fn memory_mib(&self) -> f64 {
        self.memory_bytes as f64 / f64::from(1 << 20)
    }

    pub(crate) fn print_header() {
        println!(
            "  tasks   jobs  memory MiB  snapshot KiB  parts  encode ms  clone ms  restore ms  \
             count ms  explain ms"
        );
    }

    pub(crate) fn print(&self) {
        println!(
            "{:>7} {:>6} {:>11.1} {:>13} {:>6} {:>10.1} {:>9.2} {:>11.1} {:>9.1} {:>11.1}",
            self.tasks,
            self.jobs,
            self.memory_mib(),
            self.snapshot_bytes / 1024,
            self.parts,
            self.encode_ms,
            self.clone_ms,
            self.restore_ms,
            self.count_ms,
            self.explain_ms,
        );
    }
}

/// Measures `percent` of the design size, with all that is kept to a bound full.
pub(crate) fn measure(percent: u32, seed: u64) -> anyhow::Result<Figures> {
    let mut fleet = Fleet::new(percent, seed, Duration::from_millis(250), usize::MAX);
    fleet.warm_up();
    let change_bytes = fleet.fill();
    let tasks = fleet::out(fleet.state());
    let began = Instant::now();
    let records = snapshot::write(fleet.state(), PART_BYTES)?;
    let encode_ms = millis(began);
    let first = fleet.state().next;
    let parts = records.len();
    let snapshot_bytes = records.iter().map(Record::approximate_bytes).sum();
    fleet.append_all(records);
    fleet.run(TAIL_SECONDS, PEAK_STARTS * percent / 100);
    let (log, _) = fleet.into_traffic();

    let began = Instant::now();
    let mut restore = Restore::new(first);
    for (offset, bytes) in &log.entries {
        restore.push(*offset, bytes)?;
    }
    let state = restore.finish()?;
    let restore_ms = millis(began);
    anyhow::ensure!(state == log.state, "the cold start differs from the fold");

    let began = Instant::now();
    black_box(state.clone());
    let clone_ms = millis(began);
    let memory_bytes = memory_of(&state)?;
    let no_audit = State { audit: Vec::new(), ..state.clone() };
    let no_intents = State { intents: Intents::default(), ..state.clone() };
    let whole = snapshot::encode(&state)?.len();
    let audit_bytes = whole - snapshot::encode(&no_audit)?.len();
    let intents_bytes = whole - snapshot::encode(&no_intents)?.len();
    let count_ms = ask(&state, "show tasks where state = starting and cpu < 1 count")?;
    let explain_ms = ask(&state, "explain pause batch")?;
    Ok(Figures {
        tasks,
        jobs: state.jobs.len(),
        memory_bytes,
        snapshot_bytes,
        audit_bytes,
        intents_bytes,
        parts,
        encode_ms,
        restore_ms,
        tail_entries: log.entries.len() - parts,
        clone_ms,
        count_ms,
        explain_ms,
        change_bytes,
    })
}

/// Milliseconds to answer the one statement of `source`.
fn ask(state: &State, source: &str) -> anyhow::Result<f64> {
    let statements = daisy_language::parse(source)?;
    let live = LiveView::default();
    let began = Instant::now();
    for statement in &statements {
        black_box(daisy_query::run(state, &live, statement)?);
    }
    Ok(millis(began))
}

/// Bytes of a copy of `state`: the growth of resident memory over several copies, since memory
/// that was freed earlier and is used again counts less the more copies there are.
fn memory_of(state: &State) -> anyhow::Result<u64> {
    const COPIES: u64 = 40;
    let before = memory::resident()?;
    let copies: Vec<State> = (0..COPIES).map(|_| state.clone()).collect();
    let after = memory::resident()?;
    drop(black_box(copies));
    Ok(after.saturating_sub(before) / COPIES)
}

fn millis(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e3
}
