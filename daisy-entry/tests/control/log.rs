//! The log: lost answers, outages and expired records.

use std::time::Duration;

use daisy_standin::{
    Faults,
    platform::{LogOptions, Options},
};
use daisy_wire::platform::RoleJson;
use http::StatusCode;

use crate::cluster::{cluster, cluster_with_options, json};

/// The platform accepts an append and its answer is lost, several times. The operator must see one
/// change, not one per attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_applied_once_when_append_answers_are_lost() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    cluster.wait_for_status(&entry, |it| it["role"] == "holder").await;
    let faults = Faults { lose_answers: 4, ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");

    let answer = cluster.run_statements(&entry, "quota team shop cpu 8 memory 8Gi").await;

    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let changes = cluster.run_statements(&entry, "show changes count").await;
    assert_eq!(json(&changes)["results"][0]["rows"][0][0], "1", "{:?}", changes.body);
}

/// An answer is lost after its change was seen in the log: the next change must not be rejected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_noticed_after_the_fold_rejects_no_later_change() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    cluster.wait_for_status(&entry, |it| it["role"] == "holder").await;
    let faults = Faults { lose_answers: 1, late_ms: 300, ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");
    let lost = cluster.run_statements(&entry, "quota team shop cpu 8 memory 8Gi").await;
    tokio::time::sleep(Duration::from_millis(600)).await;

    let next = cluster.run_statements(&entry, "pause batch").await;

    assert_eq!(lost.status, StatusCode::OK, "{:?}", lost.body);
    assert_eq!(next.status, StatusCode::OK, "{:?}", next.body);
}

/// The log is down. Operators' changes are rejected, the entry VM keeps serving under its current
/// configuration, and its data centre is not claimed again. A rejected change must not appear when
/// the log is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_outage_rejects_changes_but_keeps_the_holder() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let before = cluster.wait_for_status(&entry, |it| it["role"] == "holder").await;
    cluster.run_statements(&entry, "quota team shop cpu 8 memory 8Gi").await;
    let down = Faults { down: true, ..Faults::default() };
    cluster.platform.set_faults(down).expect("a known switch");
    let first = cluster.run_statements(&entry, "pause priority low").await;
    let second = cluster.run_statements(&entry, "pause batch").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let during = cluster.status(&entry).await;
    cluster.platform.set_faults(Faults::default()).expect("a known switch");
    let after =
        cluster.wait_for_status(&entry, |it| it["log_answers"] == true && it["unsent"] == 0).await;

    // The first change was being sent when the log went down: its outcome is unknown.
    assert_eq!(first.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(second.status, StatusCode::CONFLICT, "{:?}", second.body);
    assert_eq!((&during["ready"], &during["epoch"]), (&true.into(), &before["epoch"]));
    assert_eq!(after["epoch"], before["epoch"]);
    let shown = cluster.run_statements(&entry, "show changes").await;
    assert!(!json(&shown).to_string().contains("pause batch"), "{:?}", shown.body);
}

/// The log retains a limited number of records. A VM that starts after the first ones have expired
/// must reach the same state, from a snapshot that was written in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_entry_vm_starts_from_a_snapshot_when_records_have_expired() {
    let log = LogOptions { keep_records: 60, ..LogOptions::default() };
    let cluster = cluster_with_options(Options { log, ..Options::default() }).await;
    let entry = cluster.start_ready_entry(1, 0).await;
    cluster.wait_for_status(&entry, |it| it["role"] == "holder").await;
    for cpu in 1..=90 {
        let answer =
            cluster.run_statements(&entry, &format!("quota team shop cpu {cpu} memory 8Gi")).await;
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    }
    let wanted = cluster.status(&entry).await["generation"].clone();
    // The only entry VM with the state has stopped: nothing but the log is left.
    entry.stop().await;

    let new_entry = cluster.start_ready_entry(2, 0).await;

    assert_eq!(cluster.status(&new_entry).await["generation"], wanted);
    let shown = cluster.run_statements(&new_entry, "show teams").await;
    assert!(json(&shown).to_string().contains("90"), "{:?}", shown.body);
}

/// A change is accepted by one entry VM of one data centre. It takes effect on all entry VMs of
/// both, though only one of each data centre reads the log; `daisy-measure peers` measures how
/// fast.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_takes_effect_on_every_entry_vm_of_all_data_centres() {
    let cluster = cluster().await;
    let mut entries = Vec::new();
    for (vm, dc) in [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1), (6, 1)] {
        entries.push(cluster.start_ready_entry(vm, dc).await);
    }
    for entry in &entries {
        cluster.wait_for_status(entry, |it| it["holder"].is_u64()).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut readers = 0;
    for entry in &entries {
        readers += usize::from(cluster.status(entry).await["source"] == "log");
    }

    let answer = cluster.run_statements(&entries[5], "publish policy tail=900").await;
    let generation = json(&answer)["results"][0]["generation"].clone();
    for entry in &entries {
        cluster.wait_for_status(entry, |it| it["generation"] == generation).await;
    }

    assert_eq!(readers, 2, "one reader per data centre");
}

/// One entry VM is cut off from the platform, its peer is not. A new VM is listed: the entry VM
/// that is cut off learns of it from its peer, and receives log records from the peer as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_vm_cut_off_from_the_platform_is_updated_by_its_peer() {
    let cluster = cluster().await;
    let isolated = cluster.start_ready_entry(1, 0).await;
    let other = cluster.start_ready_entry(2, 0).await;
    for entry in [&isolated, &other] {
        cluster
            .wait_for_status(entry, |it| it["peers"][0]["alive"] == true && it["holder"].is_u64())
            .await;
    }
    let faults = Faults { cut: vec!["entry-1".to_owned()], ..Faults::default() };
    cluster.platform.set_faults(faults).expect("a known switch");
    let address = other.addresses().peers;
    cluster.list_vm(3, 0, RoleJson::Entry, address, None);

    let changed = cluster.run_statements(&other, "pause batch").await;

    assert_eq!(changed.status, StatusCode::OK, "{:?}", changed.body);
    let generation = json(&changed)["results"][0]["generation"].clone();
    let is_up_to_date = |it: &serde_json::Value| {
        it["generation"] == generation && it["peers"].as_array().is_some_and(|it| it.len() == 2)
    };
    cluster.wait_for_status(&isolated, is_up_to_date).await;
}
