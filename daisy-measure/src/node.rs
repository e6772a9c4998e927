//! `node`: processor time, memory and bytes a second that control costs one entry VM, by the number of
//! workers and tasks of its data centre.
//!
//! The entry VMs are processes of the release binary; the platform and the workers are stand-ins in
//! this process. Every connection of an entry VM goes through a relay that counts its bytes, with HTTP
//! headers and without TCP and IP headers.

mod data_centre;
pub(crate) mod proc;
mod relay;

use std::time::Duration;

use anyhow::Context;
use tokio::time::{Instant, sleep};

use self::{
    data_centre::{DataCentre, DataCentreSize},
    proc::Usage,
};

pub(crate) use self::data_centre::daisyshift_binary;

/// Measures what control costs an entry VM, by the number of workers of its data centre.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "node")]
pub struct Args {
    /// number of workers; may be repeated (default 10, 65 and 130: a trial, the current service, a sixth of 790)
    #[argh(option)]
    workers: Vec<u32>,
    /// long-running tasks on each worker (default 33: 26100 on 790)
    #[argh(option, default = "33")]
    tasks: u32,
    /// short tasks started a second (default 10: a sixth of 62)
    #[argh(option, default = "10")]
    starts: u32,
    /// seconds over which each figure is measured; several lease renewals, since all workers are renewed together (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

const DEFAULT_WORKERS: [u32; 3] = [10, 65, 130];
/// Time until the first usage of every task has been reported: a usage lag and a lease renewal.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// What one entry VM used over the measured time.
#[derive(Debug)]
struct Cost {
    core_percent: f64,
    memory_mib: f64,
    sent_per_second: f64,
    received_per_second: f64,
}

/// Runs the measurement and prints a line for each size; the last line holds all figures.
///
/// # Errors
///
/// If the `daisyshift` binary is not in the folder of this one, or a process cannot be started.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> anyhow::Result<()> {
    let worker_counts = if args.workers.is_empty() { &DEFAULT_WORKERS[..] } else { &args.workers };
    let mut results = Vec::new();
    for &workers in worker_counts {
        let size = DataCentreSize { workers, tasks: args.tasks * workers };
        let data_centre = DataCentre::start(&size).await?;
        data_centre.wait_until_running(size.tasks).await?;
        sleep(SETTLE_TIME).await;
        let holder = data_centre.holder().await?;
        let holder_cost = measure_cost(&data_centre, holder, holder, args.seconds).await?;
        let peer_cost = measure_cost(&data_centre, 1 - holder, holder, args.seconds).await?;
        data_centre.create_short_job(args.starts * args.seconds as u32).await?;
        let starting_cost = measure_cost(&data_centre, holder, holder, args.seconds).await?;
        for (role, cost) in
            [("holder", &holder_cost), ("peer", &peer_cost), ("holder_starting", &starting_cost)]
        {
            println!("workers={workers} tasks={} role={role} {}", size.tasks, format_cost(cost));
            results.push(format!("{role}_{workers}: {}", format_cost(cost)));
        }
        data_centre.stop().await;
    }
    println!("node tasks_a_worker={} {}", args.tasks, add_prefixes(&results));
    Ok(())
}

/// Measures what entry VM `entry` uses over `seconds`.
async fn measure_cost(
    data_centre: &DataCentre,
    entry: usize,
    holder: usize,
    seconds: u64,
) -> anyhow::Result<Cost> {
    let started_at = Instant::now();
    let (before, traffic) =
        (Usage::of(data_centre.pid(entry))?, data_centre.traffic(entry, holder));
    sleep(Duration::from_secs(seconds)).await;
    let (after, now) = (Usage::of(data_centre.pid(entry))?, data_centre.traffic(entry, holder));
    let elapsed_s = started_at.elapsed().as_secs_f64();
    Ok(Cost {
        core_percent: (after.processor_time - before.processor_time).as_secs_f64() / elapsed_s
            * 100.0,
        memory_mib: after.memory_bytes as f64 / f64::from(1 << 20),
        sent_per_second: (now.sent - traffic.sent) as f64 / elapsed_s,
        received_per_second: (now.received - traffic.received) as f64 / elapsed_s,
    })
}

/// Returns a cost as key=value pairs.
fn format_cost(cost: &Cost) -> String {
    let Cost { core_percent, memory_mib, sent_per_second, received_per_second } = cost;
    format!(
        "core_percent={core_percent:.2} memory_mib={memory_mib:.1} \
         sent_bytes_s={sent_per_second:.0} received_bytes_s={received_per_second:.0}"
    )
}

/// Returns all results as one line of key=value pairs, with the role and the number of workers before
/// each key.
fn add_prefixes(parts: &[String]) -> String {
    let mut fields = Vec::new();
    for part in parts {
        let Some((prefix, values)) = part.split_once(": ") else { continue };
        fields.extend(values.split(' ').map(|value| format!("{prefix}_{value}")));
    }
    fields.join(" ")
}
