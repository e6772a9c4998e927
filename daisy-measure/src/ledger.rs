//! `ledger`: appends and bytes, time of the fold, memory and cold start of the ledger at design size.
//!
//! Six holders start, place and end tasks at the peak rate on a simulated clock, each through its own
//! queue of appends. Only encoding, decoding, folding, copying and queries are measured in real time.

mod holder_fleet;
mod memory;
mod size;

use std::time::{Duration, Instant};

use self::{
    holder_fleet::{HolderFleet, RunLog},
    size::SizeResult,
};

/// Starts a second at the peak (the users' size plan).
const PEAK_STARTS_PER_SECOND: u32 = 62;
/// Configuration changes a day (the users' size plan).
const CHANGES_PER_DAY: u64 = 360;
/// Batch jobs a day (the users' size plan).
const JOBS_PER_DAY: u64 = 8_600;
const SECONDS_PER_DAY: u64 = 86_400;

/// Measures the ledger: appends and bytes a second, fold, memory, snapshot and cold start.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "ledger")]
pub(crate) struct Args {
    /// seed of all random choices (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds at the peak rate (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// minimum milliseconds between two appends of one process (default 50); entry VMs use 150
    #[argh(option, default = "50")]
    interval_ms: u64,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    println!("at the peak of {PEAK_STARTS_PER_SECOND} starts/s for {} s, 6 holders", args.seconds);
    let batched = measure_peak(args, Duration::from_millis(args.interval_ms), usize::MAX)?;
    batched.print(&format!("batched, one append in {} ms at most", args.interval_ms));
    // The baseline appends each record by itself, as soon as the last append is answered.
    let single = measure_peak(args, Duration::ZERO, 1)?;
    single.print("one record an append");

    println!("by size, as a share of 3,100 service and 23,000 batch tasks");
    SizeResult::print_header();
    let mut sizes = Vec::new();
    for percent in [25, 50, 100, 200] {
        let figures = size::measure(percent, args.seed)?;
        figures.print();
        sizes.push(figures);
    }
    print_summary(args.interval_ms, &batched, &single, &sizes);
    Ok(())
}

/// Results of a run at the peak rate.
#[derive(Debug)]
struct PeakResult {
    run_log: RunLog,
    seconds: u64,
    starts: u64,
    decode_micros: f64,
    fold_micros: f64,
    /// Median time from a holder's request for a task to its grant, in milliseconds.
    grant_p50_ms: u64,
    /// The 99th percentile of that time.
    grant_p99_ms: u64,
}

impl PeakResult {
    fn appends_per_second(&self) -> f64 {
        self.run_log.entries.len() as f64 / self.seconds as f64
    }

    fn bytes_per_second(&self) -> f64 {
        self.run_log.bytes() as f64 / self.seconds as f64
    }

    /// Returns the time of decoding and folding, in percent of a core.
    fn core_percent(&self) -> f64 {
        (self.decode_micros + self.fold_micros) / (self.seconds as f64 * 10_000.0)
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: appends/s={:.1} bytes/s={:.0} bytes/start={:.0} decode us/start={:.2} \
             fold us/start={:.2} core={:.3}% grant p50={} ms p99={} ms",
            self.appends_per_second(),
            self.bytes_per_second(),
            self.run_log.bytes() as f64 / self.starts as f64,
            self.decode_micros / self.starts as f64,
            self.fold_micros / self.starts as f64,
            self.core_percent(),
            self.grant_p50_ms,
            self.grant_p99_ms,
        );
    }
}

/// Runs a fleet of design size at the peak rate.
fn measure_peak(args: &Args, interval: Duration, max_records: usize) -> anyhow::Result<PeakResult> {
    let mut fleet = HolderFleet::new(100, args.seed, interval, max_records);
    fleet.warm_up();
    let before = fleet.state().clone();
    fleet.run(args.seconds, PEAK_STARTS_PER_SECOND);
    let (run_log, grant_times) = fleet.into_log();

    let started_at = Instant::now();
    let mut batches = Vec::new();
    for (_, bytes) in &run_log.entries {
        batches.push(daisy_wire::log::decode(bytes)?);
    }
    let decode_micros = started_at.elapsed().as_secs_f64() * 1e6;
    let mut state = before;
    let started_at = Instant::now();
    for ((offset, _), batch) in run_log.entries.iter().zip(&batches) {
        state.apply(*offset, batch);
    }
    let fold_micros = started_at.elapsed().as_secs_f64() * 1e6;
    anyhow::ensure!(
        state == run_log.state,
        "the state of the second fold differs from that of the first"
    );
    Ok(PeakResult {
        seconds: args.seconds,
        starts: grant_times.len(),
        decode_micros,
        fold_micros,
        grant_p50_ms: grant_times.value_at_quantile(0.5),
        grant_p99_ms: grant_times.value_at_quantile(0.99),
        run_log,
    })
}

/// Prints the line that holds all figures.
fn print_summary(
    interval_ms: u64,
    batched: &PeakResult,
    single: &PeakResult,
    sizes: &[SizeResult],
) {
    let design = &sizes[2];
    let changes = (JOBS_PER_DAY + CHANGES_PER_DAY) as f64;
    let change_bytes = changes * design.change_bytes / SECONDS_PER_DAY as f64;
    println!(
        "measure=ledger starts_s={PEAK_STARTS_PER_SECOND} interval_ms={interval_ms} appends_s={:.1} bytes_s={:.0} \
         single_appends_s={:.1} single_bytes_s={:.0} changes_bytes_s={change_bytes:.1} \
         core_percent={:.3} grant_p50_ms={} grant_p99_ms={} single_grant_p99_ms={} tasks={} \
         memory_mib={:.1} snapshot_kib={} audit_kib={} intents_kib={} snapshot_parts={} encode_ms={:.1} restore_ms={:.1} \
         tail_entries={} clone_ms={:.2} count_ms={:.1} explain_ms={:.1} memory_slope_bytes_a_task={:.0} \
         restore_slope_us_a_task={:.3}",
        batched.appends_per_second(),
        batched.bytes_per_second(),
        single.appends_per_second(),
        single.bytes_per_second(),
        batched.core_percent(),
        batched.grant_p50_ms,
        batched.grant_p99_ms,
        single.grant_p99_ms,
        design.tasks,
        design.memory_mib(),
        design.snapshot_bytes / 1024,
        design.audit_bytes / 1024,
        design.intents_bytes / 1024,
        design.parts,
        design.encode_ms,
        design.restore_ms,
        design.tail_entries,
        design.clone_ms,
        design.count_ms,
        design.explain_ms,
        slope(sizes, |it| it.memory_bytes as f64),
        slope(sizes, |it| it.restore_ms * 1e3),
    );
}

/// Returns the increase of a figure for each additional task, between the smallest and the largest
/// size.
fn slope(sizes: &[SizeResult], figure: impl Fn(&SizeResult) -> f64) -> f64 {
    let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else { return 0.0 };
    (figure(last) - figure(first)) / (last.tasks - first.tasks) as f64
}
