//! What entry VMs spend on one another: bytes and processor time a second, by their number.
//!
//! The entry VMs are processes of the release binary, the platform is a stand-in in this one.
//! Bytes are counted at the entry VMs' sockets, HTTP/2 frames included, TCP and IP heads not.
//! Last, one more change is made, and timed until it is in force at every entry VM.
//! Processor time is all that the process uses: nothing but control runs in it.

mod fleet;

use std::time::Duration;

use anyhow::Context;
use tokio::time::{Instant, sleep};

use self::fleet::{Fleet, Plan, Sample};

/// Exchange among 8, 16 and 48 entry VMs.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "peers")]
pub struct Args {
    /// seconds that each figure is taken over (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// log records a second that holders append meanwhile, as operators' changes (default 1)
    #[argh(option, default = "1")]
    changes: u64,
}

/// Entry VMs and data centres: one data centre, one of each region, the users' size plan.
const PLANS: [Plan; 3] =
    [Plan { entries: 8, dcs: 1 }, Plan { entries: 16, dcs: 2 }, Plan { entries: 48, dcs: 6 }];
const SETTLE: Duration = Duration::from_secs(8);

/// Runs the measurement; the last line holds all figures.
///
/// # Errors
///
/// If the `daisyshift` binary does not stand beside this one, or a part cannot be started.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> anyhow::Result<()> {
    let mut line = format!("measure=peers seconds={} changes_s={}", args.seconds, args.changes);
    for plan in &PLANS {
        let fleet = Fleet::start(plan).await?;
        fleet.wait_until_ready().await?;
        sleep(SETTLE).await;
        let began = Instant::now();
        let before = fleet.samples().await?;
        fleet.change(args.changes, Duration::from_secs(args.seconds)).await?;
        let after = fleet.samples().await?;
        let costs = costs(&before, &after, began.elapsed());
        let in_force = fleet.time_until_in_force().await?;
        let text = format!("{} in_force_ms={}", summary(&costs), in_force.as_millis());
        println!("entries={} dcs={} {text}", plan.entries, plan.dcs);
        for field in text.split(' ') {
            line.push_str(&format!(" n{}_{field}", plan.entries));
        }
        fleet.stop().await;
    }
    println!("{line}");
    Ok(())
}

/// What one entry VM used a second.
struct Cost {
    sent: f64,
    received: f64,
    core_percent: f64,
}

fn costs(before: &[Sample], after: &[Sample], passed: Duration) -> Vec<Cost> {
    let seconds = passed.as_secs_f64();
    let cost = |(before, after): (&Sample, &Sample)| Cost {
        sent: (after.sent - before.sent) as f64 / seconds,
        received: (after.received - before.received) as f64 / seconds,
        core_percent: (after.processor - before.processor).as_secs_f64() / seconds * 100.0,
    };
    before.iter().zip(after).map(cost).collect()
}

fn summary(costs: &[Cost]) -> String {
    let count = costs.len() as f64;
    let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / count;
    let most = |of: fn(&Cost) -> f64| costs.iter().map(of).fold(0.0, f64::max);
    format!(
        "sent_bytes_s={:.0} received_bytes_s={:.0} most_sent_bytes_s={:.0} most_both_bytes_s={:.0} \
         core_percent={:.2} most_core_percent={:.2}",
        mean(|it| it.sent),
        mean(|it| it.received),
        most(|it| it.sent),
        most(|it| it.sent + it.received),
        mean(|it| it.core_percent),
        most(|it| it.core_percent),
    )
}
