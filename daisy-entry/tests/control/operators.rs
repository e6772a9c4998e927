//! Statements over the operators' port.

use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::cluster::{PATIENCE, TOKEN, cluster, json};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_token_nothing_is_said_or_done() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;
    let near_miss = [&TOKEN[..15], "X"].concat();

    for token in ["", "0", &near_miss, &[TOKEN, "0"].concat()] {
        let answer = cluster.say_as(&entry, token, b"pause batch").await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{token}");
    }

    assert_eq!(cluster.status(&entry).await["generation"], 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_an_error_at_its_place_and_changes_nothing() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;

    let wrong = cluster.say(&entry, "pause batch;\npause nothing; drain shelf 4").await;
    let too_long = cluster.say(&entry, &"pause batch;".repeat(10_000)).await;
    let not_text = cluster.say_as(&entry, TOKEN, &[0xff, 0xfe]).await;

    assert_eq!(wrong.status, StatusCode::BAD_REQUEST);
    let findings = json(&wrong)["findings"].clone();
    assert_eq!(findings.as_array().map(Vec::len), Some(2), "{findings:#}");
    assert_eq!((&findings[0]["line"], &findings[0]["column"]), (&2.into(), &7.into()));
    assert_eq!(too_long.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(not_text.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(cluster.status(&entry).await["generation"], 0);
}

/// Two operators read the same generation and send conflicting commands to two entry VMs.
/// The log's order decides; the loser is told who came first and with what.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_loser_of_a_race_learns_who_won() {
    let cluster = cluster().await;
    let first = cluster.ready_entry(1, 0).await;
    let second = cluster.ready_entry(2, 0).await;
    let made = cluster.say(&first, "quota team shop cpu 8 memory 8Gi").await;
    let seen = json(&made)["results"][0]["generation"].as_u64().expect("accepted");
    let say = |cpu: u32| format!("quota team shop cpu {cpu} memory 8Gi if generation {seen}");

    let won = cluster.say(&first, &say(4)).await;
    let lost = cluster.say(&second, &say(2)).await;

    assert_eq!(won.status, StatusCode::OK);
    assert_eq!(lost.status, StatusCode::CONFLICT);
    let cause = json(&lost)["results"][0]["cause"].to_string();
    assert!(cause.contains("ana") && cause.contains("cpu 4"), "{cause}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn any_entry_vm_shows_what_runs() {
    let mut cluster = cluster().await;
    cluster.worker(101, 0).await;
    let holder = cluster.ready_entry(1, 0).await;
    cluster.until(&holder, |it| it["role"] == "holder").await;
    let other = cluster.ready_entry(2, 0).await;
    let create = "quota team shop cpu 8 memory 8Gi; \
        create service shop team shop cpu 1 memory 1Gi";
    assert_eq!(cluster.say(&other, create).await.status, StatusCode::OK);

    let mut shown = String::new();
    for _ in 0..200 {
        let answer = cluster.say(&other, "show tasks; show workers").await;
        shown = json(&answer)["results"].to_string();
        if shown.contains("vm-101") && shown.contains("running") {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }

    assert!(shown.contains("vm-101") && shown.contains("running"), "{shown}");
    let why = cluster.say(&other, "why task shop/0; explain cancel service shop").await;
    assert_eq!(why.status, StatusCode::OK);
    assert!(json(&why)["results"].to_string().contains("placed on vm-101"), "{:?}", why.body);
}

/// A job is declared larger than any worker. It is accepted, for a larger worker may come, but
/// its operators learn at once that nothing there holds it, and by how much.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_fits_nowhere_is_said_so_at_once() {
    let mut cluster = cluster().await;
    cluster.worker(11, 0).await;
    let entry = cluster.ready_entry(1, 0).await;
    cluster.say(&entry, "quota team shop cpu 500 memory 500Gi").await;

    let wide = cluster.say(&entry, "create job wide team shop cpu 400 memory 1Gi").await;
    let small = cluster.say(&entry, "create job small team shop cpu 1 memory 1Gi").await;

    let note = json(&wide)["results"][0]["notes"][0].to_string();
    assert_eq!(wide.status, StatusCode::OK);
    assert!(note.contains("fits on none of 1") && note.contains("lacks cpu"), "{note}");
    assert!(json(&small)["results"][0].get("notes").is_none());
}

/// Somebody opens connections to the operators' port and sends half a head on each. They must
/// not stay open for ever, or the port runs out of them in the very hour it is needed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_head_is_cut_off() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;
    let mut socket = TcpStream::connect(entry.addresses().operators).await.expect("open");
    socket.write_all(b"POST /v1/statements HTTP/1.1\r\nauthor").await.expect("sent");

    let mut rest = Vec::new();
    let ended = tokio::time::timeout(PATIENCE, socket.read_to_end(&mut rest)).await;

    assert!(ended.is_ok(), "the connection stays open");
}
