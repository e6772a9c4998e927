//! The log: lost answers, outages, records that have expired.

use std::time::Duration;

use daisy_standin::{
    Faults,
    platform::{LogOptions, Options},
};
use daisy_wire::platform::RoleJson;
use http::StatusCode;

use crate::cluster::{cluster, cluster_with, json};

/// The platform takes an append and its answer is lost, again and again. The operator must see
/// one change, not one for each try.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_whose_answers_are_lost_is_made_once() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;
    cluster.until(&entry, |it| it["role"] == "holder").await;
    let faults = Faults { lose_answers: 4, ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");

    let answer = cluster.say(&entry, "quota team shop cpu 8 memory 8Gi").await;

    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let changes = cluster.say(&entry, "show changes count").await;
    assert_eq!(json(&changes)["results"][0]["rows"][0][0], "1", "{:?}", changes.body);
}

/// An answer is lost after its change was seen in the log: the next change must not be refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_loss_noticed_late_refuses_nothing() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;
    cluster.until(&entry, |it| it["role"] == "holder").await;
    let faults = Faults { lose_answers: 1, late_ms: 300, ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");
    let lost = cluster.say(&entry, "quota team shop cpu 8 memory 8Gi").await;
    tokio::time::sleep(Duration::from_millis(600)).await;

    let next = cluster.say(&entry, "pause batch").await;

    assert_eq!(lost.status, StatusCode::OK, "{:?}", lost.body);
    assert_eq!(next.status, StatusCode::OK, "{:?}", next.body);
}

/// The log is down. Operators are refused for sure, the entry VM goes on serving under the
/// configuration that it has, and its data centre is not claimed anew. A change that was
/// refused must not turn up when the log is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_refuses_changes_and_deposes_nobody() {
    let cluster = cluster().await;
    let entry = cluster.ready_entry(1, 0).await;
    let before = cluster.until(&entry, |it| it["role"] == "holder").await;
    cluster.say(&entry, "quota team shop cpu 8 memory 8Gi").await;
    let down = Faults { down: true, ..Faults::default() };
    cluster.platform.set_faults(down).expect("a known switch");
    let first = cluster.say(&entry, "pause priority low").await;
    let second = cluster.say(&entry, "pause batch").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let during = cluster.status(&entry).await;
    cluster.platform.set_faults(Faults::default()).expect("a known switch");
    let after = cluster.until(&entry, |it| it["log_answers"] == true && it["unsent"] == 0).await;

    // The first was on its way when the log went down: nobody can tell.
    assert_eq!(first.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(second.status, StatusCode::CONFLICT, "{:?}", second.body);
    assert_eq!((&during["ready"], &during["epoch"]), (&true.into(), &before["epoch"]));
    assert_eq!(after["epoch"], before["epoch"]);
    let shown = cluster.say(&entry, "show changes").await;
    assert!(!json(&shown).to_string().contains("pause batch"), "{:?}", shown.body);
}

/// The log keeps a limited number of records. A VM that starts when the first ones are gone
/// must come to the same state, by a snapshot that was written in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_vm_starts_from_a_snapshot() {
    let log = LogOptions { keep_records: 60, ..LogOptions::default() };
    let cluster = cluster_with(Options { log, ..Options::default() }).await;
    let entry = cluster.ready_entry(1, 0).await;
    cluster.until(&entry, |it| it["role"] == "holder").await;
    for cpu in 1..=90 {
        let answer = cluster.say(&entry, &format!("quota team shop cpu {cpu} memory 8Gi")).await;
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    }
    let wanted = cluster.status(&entry).await["generation"].clone();
    // The only one that knows the state is gone: nothing but the log is left.
    entry.stop().await;

    let fresh = cluster.ready_entry(2, 0).await;

    assert_eq!(cluster.status(&fresh).await["generation"], wanted);
    let shown = cluster.say(&fresh, "show teams").await;
    assert!(json(&shown).to_string().contains("90"), "{:?}", shown.body);
}

/// A change is accepted at one entry VM of one data centre. It is in force at all entry VMs of
/// both, though only one of each data centre reads the log; `daisy-measure peers` tells how fast.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_is_in_force_everywhere() {
    let cluster = cluster().await;
    let mut entries = Vec::new();
    for (vm, dc) in [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1), (6, 1)] {
        entries.push(cluster.ready_entry(vm, dc).await);
    }
    for entry in &entries {
        cluster.until(entry, |it| it["holder"].is_u64()).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut readers = 0;
    for entry in &entries {
        readers += usize::from(cluster.status(entry).await["source"] == "log");
    }

    let answer = cluster.say(&entries[5], "publish policy tail=900").await;
    let generation = json(&answer)["results"][0]["generation"].clone();
    for entry in &entries {
        cluster.until(entry, |it| it["generation"] == generation).await;
    }

    assert_eq!(readers, 2, "one reader a data centre");
}

/// One entry VM is cut off from the platform, its peer is not. A new VM is listed: the one that
/// is cut off learns of it from its peer, and records come by the same way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_off_from_the_platform_a_peer_tells_all() {
    let cluster = cluster().await;
    let cut = cluster.ready_entry(1, 0).await;
    let other = cluster.ready_entry(2, 0).await;
    for entry in [&cut, &other] {
        cluster.until(entry, |it| it["peers"][0]["alive"] == true && it["holder"].is_u64()).await;
    }
    let faults = Faults { cut: vec!["entry-1".to_owned()], ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");
    let address = other.addresses().peers;
    cluster.list(3, 0, RoleJson::Entry, address, None);

    let changed = cluster.say(&other, "pause batch").await;

    assert_eq!(changed.status, StatusCode::OK, "{:?}", changed.body);
    let generation = json(&changed)["results"][0]["generation"].clone();
    let told = |it: &serde_json::Value| {
        it["generation"] == generation && it["peers"].as_array().is_some_and(|it| it.len() == 2)
    };
    cluster.until(&cut, told).await;
}
