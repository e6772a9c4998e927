//! The ledger at design size: appends and bytes, processor time of the fold, memory, cold start.
//!
//! Six holders start, place and end tasks at the peak rate on a simulated clock, each through
//! its own queue of appends. Real time is taken only of encoding, decoding and folding.

mod fleet;
mod memory;
mod size;

use std::time::{Duration, Instant};

use self::{
    fleet::{Fleet, Traffic},
    size::Figures,
};

/// Starts a second at the peak (the users' size plan).
const PEAK_STARTS: u32 = 62;
/// Configuration changes a day (the users' size plan).
const CHANGES_A_DAY: u64 = 360;
/// Batch jobs a day (the users' size plan).
const JOBS_A_DAY: u64 = 8_600;
const SECONDS_A_DAY: u64 = 86_400;

/// Measures the ledger: appends and bytes a second, fold, memory, snapshot and cold start.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "ledger")]
pub(crate) struct Args {
    /// seed of every random choice
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds at the peak rate
    #[argh(option, default = "300")]
    seconds: u64,
    /// least milliseconds between two appends of one process; entry VMs take 150
    #[argh(option, default = "50")]
    interval_ms: u64,
}

pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    println!("at the peak of {PEAK_STARTS} starts/s for {} s, 6 holders", args.seconds);
    let batched = peak(args, Duration::from_millis(args.interval_ms), usize::MAX)?;
    batched.print(&format!("batched, one append in {} ms at most", args.interval_ms));
    // The plain baseline: each record is an append of its own, as soon as the last is answered.
    let single = peak(args, Duration::ZERO, 1)?;
    single.print("one record an append");

    println!("by size, as a share of 3,100 service and 23,000 batch tasks");
    Figures::print_header();
    let mut sizes = Vec::new();
    for percent in [25, 50, 100, 200] {
        let figures = size::measure(percent, args.seed)?;
        figures.print();
        sizes.push(figures);
    }
    print_line(args.interval_ms, &batched, &single, &sizes);
    Ok(())
}

/// What a run at the peak rate came to.
#[derive(Debug)]
struct Peak {
    traffic: Traffic,
    seconds: u64,
    starts: u64,
    decode_micros: f64,
    fold_micros: f64,
    /// Time from the wish to start tasks to their grant, in milliseconds.
    grant_p50: u64,
    grant_p99: u64,
}

impl Peak {
    fn appends(&self) -> f64 {
        self.traffic.entries.len() as f64 / self.seconds as f64
    }

    fn bytes(&self) -> f64 {
        self.traffic.bytes() as f64 / self.seconds as f64
    }

    /// Processor time of decoding and folding, in percent of a core.
    fn core_percent(&self) -> f64 {
        (self.decode_micros + self.fold_micros) / (self.seconds as f64 * 10_000.0)
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: appends/s={:.1} bytes/s={:.0} bytes/start={:.0} decode us/start={:.2} \
             fold us/start={:.2} core={:.3}% grant p50={} ms p99={} ms",
            self.appends(),
            self.bytes(),
            self.traffic.bytes() as f64 / self.starts as f64,
            self.decode_micros / self.starts as f64,
            self.fold_micros / self.starts as f64,
            self.core_percent(),
            self.grant_p50,
            self.grant_p99,
        );
    }
}

/// Runs the design size at the peak rate.
fn peak(args: &Args, interval: Duration, max_records: usize) -> anyhow::Result<Peak> {
    let mut fleet = Fleet::new(100, args.seed, interval, max_records);
    fleet.warm_up();
    let before = fleet.state().clone();
    fleet.run(args.seconds, PEAK_STARTS);
    let (traffic, grants) = fleet.into_traffic();

    let began = Instant::now();
    let mut batches = Vec::new();
    for (_, bytes) in &traffic.entries {
        batches.push(daisy_wire::log::decode(bytes)?);
    }
    let decode_micros = began.elapsed().as_secs_f64() * 1e6;
    let mut state = before;
    let began = Instant::now();
    for ((offset, _), batch) in traffic.entries.iter().zip(&batches) {
        state.apply(*offset, batch);
    }
    let fold_micros = began.elapsed().as_secs_f64() * 1e6;
    anyhow::ensure!(state == traffic.state, "the second fold differs from the first");
    Ok(Peak {
        seconds: args.seconds,
        starts: grants.len(),
        decode_micros,
        fold_micros,
        grant_p50: grants.value_at_quantile(0.5),
        grant_p99: grants.value_at_quantile(0.99),
        traffic,
    })
}

fn print_line(interval_ms: u64, batched: &Peak, single: &Peak, sizes: &[Figures]) {
    let design = &sizes[2];
    let changes = (JOBS_A_DAY + CHANGES_A_DAY) as f64;
    let change_bytes = changes * design.change_bytes / SECONDS_A_DAY as f64;
    println!(
        "measure=ledger starts_s={PEAK_STARTS} interval_ms={interval_ms} appends_s={:.1} bytes_s={:.0} \
         single_appends_s={:.1} single_bytes_s={:.0} changes_bytes_s={change_bytes:.1} \
         core_percent={:.3} grant_p50_ms={} grant_p99_ms={} single_grant_p99_ms={} tasks={} \
         memory_mib={:.1} snapshot_kib={} audit_kib={} intents_kib={} snapshot_parts={} encode_ms={:.1} restore_ms={:.1} \
         tail_entries={} clone_ms={:.2} count_ms={:.1} explain_ms={:.1} memory_slope_bytes_a_task={:.0} \
         restore_slope_us_a_task={:.3}",
        batched.appends(),
        batched.bytes(),
        single.appends(),
        single.bytes(),
        batched.core_percent(),
        batched.grant_p50,
        batched.grant_p99,
        single.grant_p99,
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

/// The increase of a figure for each further task, between the smallest and the largest size.
fn slope(sizes: &[Figures], figure: impl Fn(&Figures) -> f64) -> f64 {
    let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else { return 0.0 };
    (figure(last) - figure(first)) / (last.tasks - first.tasks) as f64
}
