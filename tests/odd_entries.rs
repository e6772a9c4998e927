//! `daisyshift node` beside entries of another writer among those of the workers.

#[path = "node/fleet.rs"]
mod fleet;
#[path = "node/process.rs"]
mod process;

use std::time::Duration;

use fleet::{Fleet, JOB_ID, job_body};

/// Returns entries that resemble a worker's, but for one field.
fn odd_entries() -> impl Iterator<Item = (&'static str, String, Vec<u8>)> {
    let good = r#"{"service":"shop","zone":"z1","address":"127.0.0.1:1","state":"ready",
        "cold-ms":0,"born":7,"capacity":{"cpu":4000,"mem-mb":64,"gpu":0},"labels":["a"]}"#;
    let with = |from: &str, to: &str| good.replace(from, to);
    let nested = "[".repeat(100_000);
    let entries = [
        nested.clone(),
        with("\"zone\"", &format!("\"more\":{nested}{},\"zone\"", "]".repeat(100_000))),
        with("\"labels\":[", &format!("\"labels\":[{nested}")),
        with("127.0.0.1:1", "127.0.0.1:99999"),
        with("127.0.0.1:1", "127.0.0.1:-1"),
        with("\"cold-ms\":0", "\"cold-ms\":1e999"),
        with("\"cold-ms\":0", "\"cold-ms\":1e300"),
        with("\"cold-ms\":0", "\"cold-ms\":-1e300"),
        with("\"state\":\"ready\"", "\"state\":\"draining\",\"remaining-ms\":1e300"),
        with("\"born\":7", "\"born\":18446744073709551615"),
        with("\"born\":7", "\"born\":99999999999999999999999"),
        with("4000", "4294967295"),
        with("4000", "99999999999999999999999"),
        with("\"mem-mb\":64", "\"mem-mb\":4294967295"),
        with("127.0.0.1", "0.0.0.0"),
        with("127.0.0.1:1", "[::1]:1"),
    ];
    let number = 0..;
    number.zip(entries).map(|(number, it): (u32, String)| {
        ("keyed.servers", format!("odd-{number}"), it.into_bytes())
    })
}

/// Guards against processes that end, or stop reading the list, by one odd entry.
#[tokio::test]
async fn odd_entries_of_another_writer_keep_no_owner_from_its_workers() {
    let work = Duration::from_millis(100);
    let mut fleet = Fleet::start_with_records(odd_entries(), 2, 2, work).await;
    fleet.kill(0);

    let submitted = fleet.submit(1, JOB_ID, job_body(4)).await;
    fleet.wait_for_state(1, JOB_ID, "completed").await;

    assert_eq!(submitted, 200);
    assert_eq!(fleet.exit_code(1), None, "the process lives");
    assert!(!fleet.log_text_of(1).contains("panicked"), "{}", fleet.log_text_of(1));
}
