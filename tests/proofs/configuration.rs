//! Guarantee 9: an accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;

use daisy_history::{ChangeOutcome, EventKind, History, configuration, generation};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{
    assert_no_violations,
    cluster::Cluster,
    cluster_config::{ClusterConfig, entry_vm},
    operators::Operator,
};

/// The time within which an accepted configuration must be in force, from the users' size plan.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// How long the cluster is observed, which is long enough to find an entry VM that exceeds the
/// limit.
const OBSERVATION_TIME: Duration = Duration::from_millis(5_500);

/// Observes the cluster for a while and checks the histories.
async fn observe_and_check(cluster: &Cluster, operators: Vec<History>) {
    sleep(OBSERVATION_TIME).await;
    let history = cluster.history(operators);
    assert_no_violations(configuration::check(
        &history,
        &configuration::Options { time_limit: TIME_LIMIT },
    ));
    assert_no_violations(generation::check(&history));
    let observed = history
        .events()
        .iter()
        .filter(|event| matches!(event.kind, EventKind::ConfigInForce { .. }));
    assert!(observed.count() > 20, "too few configurations were observed in force");
}

/// A policy is published; then the log goes down, and a new entry VM starts during the outage. Its
/// peers in the data centre have the policy. If it accepted callers without the policy, they would
/// be served by rules that were revoked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_vm_in_a_log_outage_has_what_its_data_centre_has() {
    let mut cluster = Cluster::start("fresh", ClusterConfig::default()).await;
    cluster.submit_statement("publish policy tail=900").await;
    let latest = cluster.submit_statement("publish policy tail=901").await;
    sleep(Duration::from_millis(500)).await;

    let outage = Faults { down: true, ..Faults::default() };
    cluster.set_platform_faults(outage).await;
    let new_vm = entry_vm(9, 0, cluster.addresses);
    cluster.start_vm(new_vm);
    sleep(Duration::from_secs(3)).await;
    let status = cluster.operator.status(cluster.addresses.operators(9)).await;
    cluster.set_platform_faults(Faults::default()).await;
    cluster.wait_until_ready(Duration::from_secs(15)).await;

    let status = status.expect("the new VM answers operators");
    let has_latest = status["generation"].as_u64() == Some(latest);
    assert!(has_latest || status["ready"].as_bool() == Some(false), "{status}");
    observe_and_check(&cluster, Vec::new()).await;
}

/// A data centre is cut off from the platform and the others, and policies are published meanwhile.
/// While it is cut off, it continues with the policy that it has; once reconnected, it has the
/// newest one within seconds, and no VM ever reverts to an older one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_that_was_cut_off_catches_up_and_reverts_nothing() {
    let dcs = vec![("porto", "north", 2, 1), ("lisbon", "south", 2, 1)];
    let cluster =
        Cluster::start("cut-config", ClusterConfig { dcs, ..ClusterConfig::default() }).await;
    let link = cluster.insert_link_around_dc(1).await;
    cluster.submit_statement("publish policy tail=900").await;

    cluster.isolate_dc(&link, 1).await;
    cluster.submit_statement("publish policy tail=901").await;
    cluster.submit_statement("publish policy tail=902").await;
    sleep(Duration::from_secs(2)).await;
    cluster.reconnect_dc(&link, 1).await;

    observe_and_check(&cluster, Vec::new()).await;
}

/// Two operators change the same generation through different entry VMs, while the log loses
/// answers and stores appends twice. Only one may be accepted in each round; if both were told that
/// they were accepted, they would assume different configurations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_have_one_winner_each_round() {
    let cluster = Cluster::start("racing", ClusterConfig::default()).await;
    let mut generation = cluster.submit_statement("publish policy tail=800").await;
    let faults =
        Faults { lose_per_mille: 300, double_appends: 1_000, seed: 9, ..Faults::default() };
    cluster.set_platform_faults(faults).await;
    let second_operator = Operator::new("rival");

    let (first_entry, second_entry) =
        (cluster.addresses.operators(1), cluster.addresses.operators(2));
    let mut wins = 0;
    for round in 0..12_u64 {
        let first_statement = format!("publish policy tail={}", 100 + round);
        let second_statement = format!("publish policy tail={}", 300 + round);
        let (first, second) = tokio::join!(
            cluster.operator.change(2 * round, first_entry, &first_statement, Some(generation)),
            second_operator.change(
                2 * round + 1,
                second_entry,
                &second_statement,
                Some(generation)
            ),
        );
        for outcome in [first, second] {
            if let ChangeOutcome::Accepted(new) = outcome {
                generation = generation.max(new);
                wins += 1;
            }
        }
    }

    assert!(wins >= 6, "{wins} wins");
    observe_and_check(&cluster, vec![second_operator.recorder().history()]).await;
}
