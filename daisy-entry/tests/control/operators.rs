//! Statements over the operators' port.

use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::cluster::{TEST_TIMEOUT, TOKEN, cluster, json};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_without_a_valid_token_are_rejected() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let near_miss = [&TOKEN[..15], "X"].concat();

    for token in ["", "0", &near_miss, &[TOKEN, "0"].concat()] {
        let answer = cluster.post_statements_as(&entry, token, b"pause batch").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{token}");
    }

    assert_eq!(cluster.status(&entry).await["generation"], 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_statements_report_the_error_position_and_change_nothing() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;

    let wrong = cluster.run_statements(&entry, "pause batch;\npause nothing; drain shelf 4").await;
    let too_long = cluster.run_statements(&entry, &"pause batch;".repeat(10_000)).await;
    let not_text = cluster.post_statements_as(&entry, TOKEN, &[0xff, 0xfe]).await;

    assert_eq!(wrong.status, StatusCode::BAD_REQUEST);
    let findings = json(&wrong)["findings"].clone();
    assert_eq!(findings.as_array().map(Vec::len), Some(2), "{findings:#}");
    assert_eq!((&findings[0]["line"], &findings[0]["column"]), (&2.into(), &7.into()));
    assert_eq!(too_long.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(not_text.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(cluster.status(&entry).await["generation"], 0);
}

/// Two operators read the same generation and send conflicting commands to two entry VMs. The order
/// in the log decides; the operator who loses is told who came first and with which command.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_loser_of_a_conditional_change_is_told_who_won() {
    let cluster = cluster().await;
    let first = cluster.start_ready_entry(1, 0).await;
    let second = cluster.start_ready_entry(2, 0).await;
    let created = cluster.run_statements(&first, "quota team shop cpu 8 memory 8Gi").await;
    let seen = json(&created)["results"][0]["generation"].as_u64().expect("accepted");
    let run_statements =
        |cpu: u32| format!("quota team shop cpu {cpu} memory 8Gi if generation {seen}");

    let winner = cluster.run_statements(&first, &run_statements(4)).await;
    let loser = cluster.run_statements(&second, &run_statements(2)).await;

    assert_eq!(winner.status, StatusCode::OK);
    assert_eq!(loser.status, StatusCode::CONFLICT);
    let cause = json(&loser)["results"][0]["cause"].to_string();
    assert!(cause.contains("ana") && cause.contains("cpu 4"), "{cause}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_entry_vm_shows_running_tasks() {
    let mut cluster = cluster().await;
    cluster.start_worker(101, 0).await;
    let holder = cluster.start_ready_entry(1, 0).await;
    cluster.wait_for_status(&holder, |it| it["role"] == "holder").await;
    let other = cluster.start_ready_entry(2, 0).await;
    let create = "quota team shop cpu 8 memory 8Gi; \
        create service shop team shop cpu 1 memory 1Gi";
    assert_eq!(cluster.run_statements(&other, create).await.status, StatusCode::OK);

    let mut shown = String::new();
    for _ in 0..200 {
        let answer = cluster.run_statements(&other, "show tasks; show workers").await;
        shown = json(&answer)["results"].to_string();
        if shown.contains("vm-101") && shown.contains("running") {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }

    assert!(shown.contains("vm-101") && shown.contains("running"), "{shown}");
    let why = cluster.run_statements(&other, "why task shop/0; explain cancel service shop").await;
    assert_eq!(why.status, StatusCode::OK);
    assert!(json(&why)["results"].to_string().contains("placed on vm-101"), "{:?}", why.body);
}

/// A job is declared that is larger than any worker. It is accepted, as a larger worker may be
/// added, but its operators learn at once that it fits on no present worker, and how much is
/// missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn creating_a_job_that_fits_on_no_worker_returns_a_note() {
    let mut cluster = cluster().await;
    cluster.start_worker(11, 0).await;
    let entry = cluster.start_ready_entry(1, 0).await;
    cluster.run_statements(&entry, "quota team shop cpu 500 memory 500Gi").await;

    let wide = cluster.run_statements(&entry, "create job wide team shop cpu 400 memory 1Gi").await;
    let small = cluster.run_statements(&entry, "create job small team shop cpu 1 memory 1Gi").await;

    let note = json(&wide)["results"][0]["notes"][0].to_string();
    assert_eq!(wide.status, StatusCode::OK);
    assert!(note.contains("fits on none of 1") && note.contains("lacks cpu"), "{note}");
    assert!(json(&small)["results"][0].get("notes").is_none());
}

/// A client opens connections to the operators' port and sends half a head on each. They must not
/// stay open for ever, or the port has none left when it is needed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_request_head_times_out() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let mut socket = TcpStream::connect(entry.addresses().operators).await.expect("open");
    socket.write_all(b"POST /v1/statements HTTP/1.1\r\nauthor").await.expect("sent");

    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, socket.read_to_end(&mut rest)).await;

    assert!(ended.is_ok(), "the connection stays open");
}
