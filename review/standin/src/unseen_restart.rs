//! The entry of KNOWN-RED.txt on late orders: a start order is left unanswered, and carried out late by
//! the next incarnation, under the same id, of a worker that is cut off from the processes and from
//! the store. With CLOUD_DOWN=1 the list of machines is down meanwhile.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    Site, Verdict,
    late_start::{self, CUT, FIRST_ID, ORDER_DELAY, step, verdict, wait_running, work},
};

const TASK_ID: &str = "7a00000000000005";
/// When the worker is cut off and crashes, after the order was sent.
const CUT_AT: Duration = Duration::from_millis(5_700);

pub async fn play(site: &mut Site, trouble: bool) -> Verdict {
    let sick = match late_start::begin(site).await {
        Ok((sick, _)) => sick,
        Err(why) => return Verdict::CouldNotRun(why),
    };
    if trouble {
        site.workers[sick].delay_next_start(ORDER_DELAY);
    }
    let mut accepted = false;
    for _ in 0..4 {
        accepted =
            accepted || site.submit(1, "lasting", TASK_ID, step(400, true), work(None)).await;
    }
    if !accepted {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let sent_at = Instant::now();
    if wait_running(site, TASK_ID, Duration::from_secs(8)).await != Some(sick) {
        return Verdict::CouldNotRun("the job does not run on the worker in question".to_owned());
    }
    sleep(Duration::from_millis(600)).await;
    let Some(owner) = site.nodes.iter().position(|it| it.has_owned()) else {
        return Verdict::CouldNotRun("no process owns the workers".to_owned());
    };
    // KEEP_OWNER=1 leaves this disruption out, to tell which of them matters.
    if trouble && std::env::var("KEEP_OWNER").is_err() {
        site.nodes[owner].kill();
        site.recorder.line(&format!("kill {}, which owns the workers", site.nodes[owner].name));
    }
    if trouble && std::env::var("CLOUD_DOWN").is_ok() {
        site.store.set_machines_down();
    }
    // The next owner takes over, and the first job is cancelled, which makes room elsewhere.
    sleep(Duration::from_secs(4)).await;
    let another = (owner + 1) % site.nodes.len();
    site.ask(another, "DELETE", &format!("/lasting/{FIRST_ID}"), "").await;
    sleep(CUT_AT.saturating_sub(sent_at.elapsed())).await;
    if trouble {
        site.workers[sick].set_cut(true);
        site.workers[sick].set_unlisted(true);
        site.workers[sick].crash();
    }
    sleep(CUT).await;
    if trouble {
        site.workers[sick].set_cut(false);
        site.workers[sick].set_unlisted(false);
    }
    sleep(Duration::from_secs(4)).await;
    verdict(site, TASK_ID)
}
