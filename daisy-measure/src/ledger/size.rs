//! Measures memory, snapshot and cold start at one size.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use daisy_ledger::{Intents, Record, State};
use daisy_query::LiveView;
use daisy_wire::snapshot::{self, Restore};

use crate::ledger::{
    PEAK_STARTS_PER_SECOND,
    holder_fleet::{self, HolderFleet},
    memory,
};

/// Maximum bytes of one part of a snapshot.
const MAX_PART_BYTES: usize = 64 << 10;
/// Seconds of log at the peak rate that follow the snapshot.
const TAIL_SECONDS: u64 = 600;

/// Results of one size.
#[derive(Debug)]
pub(crate) struct SizeResult {
    pub(crate) tasks: usize,
    pub(crate) jobs: usize,
    pub(crate) memory_bytes: u64,
    pub(crate) snapshot_bytes: usize,
    /// Bytes of the audit trail in a snapshot.
    pub(crate) audit_bytes: usize,
    /// Bytes of announced requests in a snapshot.
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
    /// Mean bytes of one operator's change in the log.
    pub(crate) change_bytes: f64,
}

impl SizeResult {
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

/// Measures `percent` of the design size, with everything that is retained up to a bound full.
pub(crate) fn measure(percent: u32, seed: u64) -> anyhow::Result<SizeResult> {
    let mut fleet = HolderFleet::new(percent, seed, Duration::from_millis(250), usize::MAX);
    fleet.warm_up();
    let change_bytes = fleet.fill_bounded_history();
    let tasks = holder_fleet::checked_out_tasks(fleet.state());
    let started_at = Instant::now();
    let records = snapshot::write(fleet.state(), MAX_PART_BYTES)?;
    let encode_ms = millis(started_at);
    let first_offset = fleet.state().next;
    let parts = records.len();
    let snapshot_bytes = records.iter().map(Record::approximate_bytes).sum();
    fleet.append_all(records);
    fleet.run(TAIL_SECONDS, PEAK_STARTS_PER_SECOND * percent / 100);
    let (log, _) = fleet.into_log();

    let started_at = Instant::now();
    let mut restore = Restore::new(first_offset);
    for (offset, bytes) in &log.entries {
        restore.push(*offset, bytes)?;
    }
    let state = restore.finish()?;
    let restore_ms = millis(started_at);
    anyhow::ensure!(
        state == log.state,
        "the state after the cold start differs from the folded state"
    );

    let started_at = Instant::now();
    black_box(state.clone());
    let clone_ms = millis(started_at);
    let memory_bytes = memory_of(&state)?;
    let no_audit = State { audit: Vec::new(), ..state.clone() };
    let no_intents = State { intents: Intents::default(), ..state.clone() };
    let total_bytes = snapshot::encode(&state)?.len();
    let audit_bytes = total_bytes - snapshot::encode(&no_audit)?.len();
    let intents_bytes = total_bytes - snapshot::encode(&no_intents)?.len();
    let count_ms = time_statement(&state, "show tasks where state = starting and cpu < 1 count")?;
    let explain_ms = time_statement(&state, "explain pause batch")?;
    Ok(SizeResult {
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

/// Returns the milliseconds it takes to answer the statements of `source`.
fn time_statement(state: &State, source: &str) -> anyhow::Result<f64> {
    let statements = daisy_language::parse(source)?;
    let live = LiveView::default();
    let started_at = Instant::now();
    for statement in &statements {
        black_box(daisy_query::run(state, &live, statement)?);
    }
    Ok(millis(started_at))
}

/// Returns the bytes of a copy of `state`: the growth of resident memory over several copies, divided
/// by their number. Memory that was freed earlier and is reused lowers the result; the more copies,
/// the less.
fn memory_of(state: &State) -> anyhow::Result<u64> {
    const COPIES: u64 = 40;
    let before = memory::resident()?;
    let copies: Vec<State> = (0..COPIES).map(|_| state.clone()).collect();
    let after = memory::resident()?;
    drop(black_box(copies));
    Ok(after.saturating_sub(before) / COPIES)
}

fn millis(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e3
}
