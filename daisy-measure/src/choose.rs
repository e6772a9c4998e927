//! `choose`: tail latency and rejections of the router against plain baselines, at several loads.
//!
//! The run uses simulated time. Several routers stand before 65 backend servers with 8 slots each.
//! Service times are heavy-tailed, reports are delayed, and one backend server is four times slower
//! than the others.

use std::time::Duration;

use crate::choose::{
    policy::Baseline,
    sim::{Run, RunOptions, Summary},
};

mod policy;
mod sim;

/// Loads in percent of capacity.
const LOAD_PERCENTS: [u32; 4] = [50, 80, 95, 120];

/// Compares the router with random, round robin, least in flight and power of two choices.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "choose")]
pub(crate) struct Args {
    /// seconds of simulated time for each run (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// seed of arrivals and service times (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// entry VMs (default 8)
    #[argh(option, default = "8")]
    routers: u32,
}

/// Runs every policy at every load and prints one line for all.
pub(crate) fn run(args: &Args) {
    let mut line = format!("measure=choose seed={} routers={}", args.seed, args.routers);
    for load_percent in LOAD_PERCENTS {
        let options = RunOptions {
            load_percent,
            routers: args.routers,
            length: Duration::from_secs(args.seconds),
            seed: args.seed,
        };
        for baseline in Baseline::ALL {
            add_result(
                &mut line,
                load_percent,
                baseline.as_str(),
                &Run::with_baseline(options, baseline),
            );
        }
        add_result(&mut line, load_percent, "daisy", &Run::with_router(options));
    }
    println!("{line}");
}

/// Prints the figures of a run and appends them to `line`.
fn add_result(line: &mut String, load_percent: u32, name: &str, summary: &Summary) {
    let Summary { p50_ms, p99_ms, p999_ms, rejected, goodput } = summary;
    println!(
        "load={load_percent} policy={name} p50_ms={p50_ms:.1} p99_ms={p99_ms:.1} p999_ms={p999_ms:.1} \
         refused={rejected:.4} goodput={goodput:.4}"
    );
    line.push_str(&format!(
        " {name}_{load_percent}_p50_ms={p50_ms:.1} {name}_{load_percent}_p99_ms={p99_ms:.1} \
         {name}_{load_percent}_p999_ms={p999_ms:.1} {name}_{load_percent}_refused={rejected:.4} \
         {name}_{load_percent}_goodput={goodput:.4}"
    ));
}
