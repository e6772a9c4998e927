//! The metrics of `docs/OPERATING.md` against the program.

use std::{collections::BTreeSet, time::Duration};

use crate::cluster::cluster;

const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);
const PAGE: &str = include_str!("../../../docs/OPERATING.md");

/// Names in the page's table.
fn documented() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `daisy_"));
    let names = rows.filter_map(|row| row.split_once('`')).map(|(name, _)| name);
    names.map(|name| format!("daisy_{name}")).collect()
}

/// Names in the text that the collector reads; counters end in `_total` there.
fn rendered(text: &str) -> BTreeSet<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let typed = types.filter_map(|line| line.split_once(' '));
    let name = |(name, kind): (&str, &str)| match kind {
        "counter" => format!("{name}_total"),
        _ => name.to_owned(),
    };
    typed.map(name).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_page_names_every_metric_and_no_other() {
    let mut cluster = cluster().await;
    cluster.worker(11, 0).await;
    let entry = cluster.ready_entry(1, 0).await;
    cluster.say(&entry, "pause batch").await;
    cluster.ask(&entry, "stock").await;

    // A metric by result shows once there is a result: the first call to the worker is awaited.
    let mut names = BTreeSet::new();
    for _ in 0..TRIES {
        let callers = entry.addresses().callers;
        let answer = cluster.client.get(callers, "/metrics", PAUSE * TRIES).await;
        let body = answer.expect("an answer").body;
        names = rendered(std::str::from_utf8(&body).expect("text"));
        if names == documented() {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }

    assert_eq!(names, documented());
}
