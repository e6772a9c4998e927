//! `daisyshift demo`: the whole path on loopback, checked by what callers, backend servers
//! and workers recorded.

mod fleet;
mod verdict;

use std::{process::ExitCode, time::Duration};

use anyhow::{Context, bail};
use daisy_standin::load::{self, Load};
use tokio::time::{Instant, sleep, timeout};

use self::{fleet::Fleet, verdict::Verdict};
use crate::{args, ctl, logging, runtime};

const SERVICE: &str = "shop";
/// Small enough that a laptop with debug builds keeps up, large enough to end in seconds.
const RATE: f64 = 150.0;
/// Share of calls that are orders, which must never run twice, in thousandths.
const KEYED_PER_MILLE: u32 = 300;
const BATCH_TASKS: usize = 30;
const STATEMENTS: &str = "\
quota team storefront cpu 64 memory 64Gi;
quota team catalogue cpu 64 memory 64Gi;
create service shop team storefront tasks 6 cpu 2 memory 1Gi priority critical;
create job renders team catalogue tasks 20 cpu 1 memory 512Mi may delay, evict;
create job price-lists team catalogue tasks 10 cpu 500m memory 256Mi may delay";

/// The load that is meant to pass within 30 s with everything round it.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const BATCH_TIMEOUT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);

/// Runs the demo; succeeds when nothing was lost or doubled and every request has its own
/// whole answer.
///
/// # Errors
///
/// If a part cannot be started, or the service does not come up in time.
pub fn run(options: &args::Demo) -> anyhow::Result<ExitCode> {
    logging::start(options.log_level)?;
    let verdict = runtime()?.block_on(play(options.requests))?;
    println!("{verdict}");
    Ok(if verdict.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn play(requests: u64) -> anyhow::Result<Verdict> {
    let began = Instant::now();
    let say = |text: &str| println!("{:5.1} s  {text}", began.elapsed().as_secs_f64());
    say("starting the platform, 2 data centres, 4 entry VMs and 6 workers");
    let mut fleet = Fleet::start().await?;
    declare(&fleet).await?;
    say("declared the service shop and the batch jobs renders and price-lists");
    wait_for_service(&fleet).await?;
    say("the service answers; callers begin");

    let load = Load::start(load_options(&fleet, requests)).await?;
    let callers = load.recorder();
    let half = Duration::from_secs_f64(requests as f64 / RATE / 2.0);
    let stopped_early = async {
        sleep(half).await;
        say("planned stop of an entry VM under load");
        fleet.stop_one_entry().await
    };
    let (report, stopped) = tokio::join!(load.finish(), stopped_early);
    let report = report?;
    stopped?;
    say("callers are done; waiting for the batch jobs");
    wait_for_batch(&fleet).await;
    let workers = fleet.worker_history();
    fleet.stop().await;
    say("stopped");
    Ok(Verdict::new(&report, &callers.history(), &workers))
}

async fn declare(fleet: &Fleet) -> anyhow::Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let body = ctl::send(fleet.operators(), fleet::TOKEN, STATEMENTS).await?;
        let answer = ctl::parse(&body)?;
        if answer.is_good() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            bail!("the statements were not accepted: {answer:?}");
        }
        sleep(POLL).await;
    }
}

/// Waits until every entry VM answers for the service, as the balancer would.
async fn wait_for_service(fleet: &Fleet) -> anyhow::Result<()> {
    let all = async {
        for entry in fleet.callers() {
            while !fleet::answers(entry, SERVICE).await {
                sleep(POLL).await;
            }
        }
    };
    timeout(START_TIMEOUT, all).await.context("the service did not come up in time")
}

async fn wait_for_batch(fleet: &Fleet) {
    let deadline = Instant::now() + BATCH_TIMEOUT;
    while Instant::now() < deadline {
        if verdict::tasks_done(&fleet.worker_history()) >= BATCH_TASKS {
            return;
        }
        sleep(POLL).await;
    }
}

fn load_options(fleet: &Fleet, requests: u64) -> load::Options {
    load::Options {
        entries: fleet.callers(),
        service: SERVICE.to_owned(),
        rate: RATE,
        count: requests,
        keyed_per_mille: KEYED_PER_MILLE,
        deadline: Duration::from_secs(5),
        ..load::Options::default()
    }
}
