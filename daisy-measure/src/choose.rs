//! Tail latency and refusals of the router against plain baselines, at several loads.
//!
//! Explicit time: several routers in front of 65 backend servers with 8 slots, service times from
//! a heavy tail, reports that are late, one backend server four times slower than the rest.

use std::time::Duration;

use crate::choose::{
    policy::Baseline,
    sim::{Load, Run, Summary},
};

mod policy;
mod sim;

/// Loads in hundredths of capacity.
const LOADS: [u32; 4] = [50, 80, 95, 120];

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
    for percent in LOADS {
        let load = Load {
            percent,
            routers: args.routers,
            length: Duration::from_secs(args.seconds),
            seed: args.seed,
        };
        for baseline in Baseline::ALL {
            note(&mut line, percent, baseline.as_str(), &Run::with_baseline(load, baseline));
        }
        note(&mut line, percent, "daisy", &Run::with_router(load));
    }
    println!("{line}");
}

fn note(line: &mut String, percent: u32, name: &str, summary: &Summary) {
    let Summary { p50_ms, p99_ms, p999_ms, refused, goodput } = summary;
    println!(
        "load={percent} policy={name} p50_ms={p50_ms:.1} p99_ms={p99_ms:.1} p999_ms={p999_ms:.1} \
         refused={refused:.4} goodput={goodput:.4}"
    );
    line.push_str(&format!(
        " {name}_{percent}_p50_ms={p50_ms:.1} {name}_{percent}_p99_ms={p99_ms:.1} \
         {name}_{percent}_p999_ms={p999_ms:.1} {name}_{percent}_refused={refused:.4} \
         {name}_{percent}_goodput={goodput:.4}"
    ));
}
