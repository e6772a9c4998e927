//! Ordinary jobs come, each with an image of its own: the record of what was learnt of the images
//! has more bytes than the store takes in a record.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{
    Site, Verdict,
    large_job::{Accepted, CORES, NODES, WORKERS, number, quick_jobs_and_verdict},
    worker::Work,
};

/// How many jobs that serve come, and as many that fill beside them.
const PAIRS: u64 = 36;
/// The images of a site without the trouble, as in the users' site file.
const FEW_SERVING: u64 = 5;
const FEW_FILLING: u64 = 9;
const SERVING_CPU: u32 = 13_000;
const FILLING_CPU: u32 = 7_000;
const TARGET_MS: u32 = 50;
const TAIL_MS: u32 = 10;
const FILLING_TIME: Duration = Duration::from_millis(2_200);

/// Returns the name of an image: the place that it is loaded from, and the digest of its content.
fn image(name: &str, number: u64) -> String {
    let digest: String = (0..4)
        .map(|part| format!("{:016x}", (number * 4 + part + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    format!("images.cartonnages-beaulac.example/devis/{name}@sha256:{digest}")
}

pub async fn play(site: &mut Site, trouble: bool) -> Verdict {
    let pairs = number("PAIRS", PAIRS);
    site.configure();
    for _ in 0..WORKERS {
        site.add_worker(CORES, 16).await;
    }
    site.start_nodes(NODES);
    if !site.wait_ready(Duration::from_secs(15)).await {
        return Verdict::CouldNotRun("the processes were not ready in 15 s".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    site.recorder.line(&format!("an image's name is such as {}", image("price-list", 0)));
    let mut jobs = Vec::new();
    for pair in 0..pairs {
        let (serving, filling) =
            if trouble { (pair, pair) } else { (pair % FEW_SERVING, pair % FEW_FILLING) };
        let id = format!("1a{pair:014x}");
        let step = json!({ "count": 2, "cpu": SERVING_CPU, "mem-mb": 26_000,
            "est-runtime-ms": 400, "long-running": true, "target-ms": TARGET_MS,
            "image": image("price-list", serving) });
        let work = Work { cpu: SERVING_CPU, time: None, saves: false, tail_ms: TAIL_MS };
        if site.submit(pair as usize, "lasting", &id, step, work).await {
            jobs.push(Accepted { queue: "lasting", id, tasks: 2, lasts: true });
        }
        sleep(Duration::from_millis(200)).await;
        let id = format!("2a{pair:014x}");
        let step = json!({ "count": 2, "cpu": FILLING_CPU, "mem-mb": 13_000,
            "est-runtime-ms": 2_200, "fills": true,
            "image": image("board-ink-est", 1_000 + filling) });
        let work = Work { cpu: FILLING_CPU, time: Some(FILLING_TIME), saves: false, tail_ms: 0 };
        if site.submit(pair as usize + 1, "full", &id, step, work).await {
            jobs.push(Accepted { queue: "full", id, tasks: 2, lasts: false });
        }
        sleep(Duration::from_millis(200)).await;
    }
    quick_jobs_and_verdict(site, jobs).await
}
