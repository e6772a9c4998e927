//! `daisyshift demo`: runs the whole system on loopback, and checks the results in the histories
//! that callers, backend servers and workers recorded.

mod fleet;
mod summary;

use std::{process::ExitCode, time::Duration};

use anyhow::{Context, bail};
use daisy_standin::load::{self, Load};
use tokio::time::{Instant, sleep, timeout};

use self::{fleet::Fleet, summary::Summary};
use crate::{args, ctl, logging, runtime};

const SERVICE_NAME: &str = "shop";
/// Low enough for a debug build on a laptop, and high enough for the demo to end within seconds.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// The share of requests with an idempotency key, which must never run twice, in thousandths.
const KEYED_PER_MILLE: u32 = 300;
/// The number of tasks of all batch jobs in [`STATEMENTS`].
const BATCH_TASKS: usize = 30;
const STATEMENTS: &str = "\
quota team storefront cpu 64 memory 64Gi;
quota team catalogue cpu 64 memory 64Gi;
create service shop team storefront tasks 6 cpu 2 memory 1Gi priority critical;
create job renders team catalogue tasks 20 cpu 1 memory 512Mi may delay, evict;
create job price-lists team catalogue tasks 10 cpu 500m memory 256Mi may delay";

/// Time limit for the statements to be accepted, and then for the service to come up. The whole
/// demo is meant to end within 30 s.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const BATCH_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo; succeeds if nothing was lost or ran twice and every request received its own
/// complete answer.
///
/// # Errors
///
/// If a component cannot be started, the statements are not accepted in time, or the service does
/// not come up in time.
pub fn run(options: &args::Demo) -> anyhow::Result<ExitCode> {
    logging::start(options.log_level)?;
    let summary = runtime()?.block_on(run_demo(options.requests))?;
    println!("{summary}");
    Ok(if summary.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_demo(requests: u64) -> anyhow::Result<Summary> {
    let began = Instant::now();
    let print_progress = |text: &str| println!("{:5.1} s  {text}", began.elapsed().as_secs_f64());
    print_progress("starting the platform, 2 data centres, 4 entry VMs and 6 workers");
    let mut fleet = Fleet::start().await?;
    submit_statements(&fleet).await?;
    print_progress("declared the service shop and the batch jobs renders and price-lists");
    wait_for_service(&fleet).await?;
    print_progress("the service answers; callers begin");

    let load = Load::start(load_options(&fleet, requests)).await?;
    let recorder = load.recorder();
    let half_of_load = Duration::from_secs_f64(requests as f64 / REQUESTS_PER_SECOND / 2.0);
    let planned_stop = async {
        sleep(half_of_load).await;
        print_progress("planned stop of an entry VM under load");
        fleet.stop_one_entry().await
    };
    let (report, stopped) = tokio::join!(load.finish(), planned_stop);
    let report = report?;
    stopped?;
    print_progress("callers are done; waiting for the batch jobs");
    wait_for_batch(&fleet).await;
    let workers = fleet.worker_history();
    fleet.stop().await;
    print_progress("stopped");
    Ok(Summary::new(&report, &recorder.history(), &workers))
}

async fn submit_statements(fleet: &Fleet) -> anyhow::Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let body = ctl::send(fleet.operator_address(), fleet::TOKEN, STATEMENTS).await?;
        let answer = ctl::parse(&body)?;
        if answer.is_good() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            bail!("the statements were not accepted: {answer:?}");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until every entry VM is ready and answers requests to the service, as a load balancer
/// does.
async fn wait_for_service(fleet: &Fleet) -> anyhow::Result<()> {
    let all_ready = async {
        for entry in fleet.caller_addresses() {
            while !fleet::answers_requests(entry, SERVICE_NAME).await {
                sleep(POLL_INTERVAL).await;
            }
        }
    };
    timeout(START_TIMEOUT, all_ready).await.context("the service did not come up in time")
}

/// Waits until all batch tasks are done, or [`BATCH_TIMEOUT`] has passed.
async fn wait_for_batch(fleet: &Fleet) {
    let deadline = Instant::now() + BATCH_TIMEOUT;
    while Instant::now() < deadline {
        if summary::tasks_done(&fleet.worker_history()) >= BATCH_TASKS {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn load_options(fleet: &Fleet, requests: u64) -> load::Options {
    load::Options {
        entries: fleet.caller_addresses(),
        service: SERVICE_NAME.to_owned(),
        rate: REQUESTS_PER_SECOND,
        count: requests,
        keyed_per_mille: KEYED_PER_MILLE,
        deadline: Duration::from_secs(5),
        ..load::Options::default()
    }
}
