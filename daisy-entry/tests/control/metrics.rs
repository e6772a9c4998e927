//! Compares the metrics in `docs/OPERATING.md` with those that the program exports.

use std::{collections::BTreeSet, time::Duration};

use crate::cluster::cluster;

const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);
const PAGE: &str = include_str!("../../../docs/OPERATING.md");

/// Returns the names in the table of the page.
fn documented() -> BTreeSet<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `daisy_"));
    let names = rows.filter_map(|row| row.split_once('`')).map(|(name, _)| name);
    names.map(|name| format!("daisy_{name}")).collect()
}

/// Returns the names in the text that the collector reads, where counters end in `_total`.
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
async fn the_documentation_lists_exactly_the_exported_metrics() {
    let mut cluster = cluster().await;
    cluster.start_worker(11, 0).await;
    let entry = cluster.start_ready_entry(1, 0).await;
    cluster.run_statements(&entry, "pause batch").await;
    cluster.call_service(&entry, "stock").await;

    // A metric with a result label appears once there is a result: wait for the first call to the
    // worker.
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
