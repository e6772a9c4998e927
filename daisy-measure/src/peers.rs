//! `peers`: bytes and processor time a second that entry VMs spend on the exchange with one another, by
//! their number.
//!
//! The entry VMs are processes of the release binary, and the platform is a stand-in in this process.
//! Bytes are counted at the entry VMs' sockets, with HTTP/2 frames and without TCP and IP headers. At
//! the end one more change is made, and the time until it is in force at every entry VM is measured.
//! Processor time is that of the whole process, in which nothing but control runs.

mod fleet;

use std::time::Duration;

use anyhow::Context;
use tokio::time::{Instant, sleep};

use self::fleet::{EntryFleet, FleetSize, Sample};

/// Measures the exchange between 8, 16 and 48 entry VMs.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "peers")]
pub struct Args {
    /// seconds over which each figure is measured (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// operators' changes made a second meanwhile, each a log record (default 1)
    #[argh(option, default = "1")]
    changes: u64,
}

/// The sizes measured: one data centre, one data centre in each region, the users' size plan.
const FLEET_SIZES: [FleetSize; 3] = [
    FleetSize { entries: 8, dcs: 1 },
    FleetSize { entries: 16, dcs: 2 },
    FleetSize { entries: 48, dcs: 6 },
];
/// Time between readiness and the first sample.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Runs the measurement; the last line holds all figures.
///
/// # Errors
///
/// If the `daisyshift` binary is not in the folder of this one, or a process cannot be started.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> anyhow::Result<()> {
    let mut line = format!("measure=peers seconds={} changes_s={}", args.seconds, args.changes);
    for size in &FLEET_SIZES {
        let fleet = EntryFleet::start(size).await?;
        fleet.wait_until_ready().await?;
        sleep(SETTLE_TIME).await;
        let started_at = Instant::now();
        let before = fleet.samples().await?;
        fleet.make_changes(args.changes, Duration::from_secs(args.seconds)).await?;
        let after = fleet.samples().await?;
        let costs = costs_between(&before, &after, started_at.elapsed());
        let in_force = fleet.measure_time_until_in_force().await?;
        let text = format!("{} in_force_ms={}", summary(&costs), in_force.as_millis());
        println!("entries={} dcs={} {text}", size.entries, size.dcs);
        for field in text.split(' ') {
            line.push_str(&format!(" n{}_{field}", size.entries));
        }
        fleet.stop().await;
    }
    println!("{line}");
    Ok(())
}

/// What one entry VM used, in bytes a second and percent of a core.
struct Cost {
    sent_per_second: f64,
    received_per_second: f64,
    core_percent: f64,
}

/// Returns the cost of each entry VM between two samples.
fn costs_between(before: &[Sample], after: &[Sample], measured_time: Duration) -> Vec<Cost> {
    let seconds = measured_time.as_secs_f64();
    let cost = |(before, after): (&Sample, &Sample)| Cost {
        sent_per_second: (after.sent - before.sent) as f64 / seconds,
        received_per_second: (after.received - before.received) as f64 / seconds,
        core_percent: (after.processor_time - before.processor_time).as_secs_f64() / seconds
            * 100.0,
    };
    before.iter().zip(after).map(cost).collect()
}

/// Returns the mean and the highest costs as key=value pairs.
fn summary(costs: &[Cost]) -> String {
    let count = costs.len() as f64;
    let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / count;
    let highest = |of: fn(&Cost) -> f64| costs.iter().map(of).fold(0.0, f64::max);
    format!(
        "sent_bytes_s={:.0} received_bytes_s={:.0} most_sent_bytes_s={:.0} most_both_bytes_s={:.0} \
         core_percent={:.2} most_core_percent={:.2}",
        mean(|it| it.sent_per_second),
        mean(|it| it.received_per_second),
        highest(|it| it.sent_per_second),
        highest(|it| it.sent_per_second + it.received_per_second),
        mean(|it| it.core_percent),
        highest(|it| it.core_percent),
    )
}
