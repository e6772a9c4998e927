//! Point 9: an accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;

use daisy_history::{ChangeOutcome, EventKind, History, configuration, generation};
use daisy_standin::Faults;
use tokio::time::sleep;

use crate::{
    assert_none,
    cluster::Cluster,
    operators::Operator,
    shape::{Shape, entry_vm},
};

/// The bound of the users' size plan.
const WITHIN: Duration = Duration::from_secs(5);
/// Long enough for every entry VM to show that it is late.
const SETTLE: Duration = Duration::from_millis(5_500);

async fn check(cluster: &Cluster, operators: Vec<History>) {
    sleep(SETTLE).await;
    let history = cluster.history(operators);
    assert_none(configuration::check(&history, &configuration::Options { time_limit: WITHIN }));
    assert_none(generation::check(&history));
    let shown = history
        .events()
        .iter()
        .filter(|event| matches!(event.kind, EventKind::ConfigInForce { .. }));
    assert!(shown.count() > 20, "the entry VMs showed nothing");
}

/// A policy is published; then the log goes down, and a fresh entry VM starts in the outage.
/// Its data centre's peers have the policy. Were it to take callers without it, its callers
/// would be served by rules that were taken back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_vm_in_a_log_outage_has_what_its_data_centre_has() {
    let mut cluster = Cluster::start("fresh", Shape::default()).await;
    cluster.accept("publish policy tail=900").await;
    let latest = cluster.accept("publish policy tail=901").await;
    sleep(Duration::from_millis(500)).await;

    let log_only = Faults { down: true, ..Faults::default() };
    cluster.platform_faults(log_only).await;
    let fresh = entry_vm(9, 0, cluster.at);
    cluster.start_vm(fresh);
    sleep(Duration::from_secs(3)).await;
    let status = cluster.operator.status(cluster.at.operators(9)).await;
    cluster.platform_faults(Faults::default()).await;
    cluster.ready(Duration::from_secs(15)).await;

    let status = status.expect("the fresh VM answers operators");
    let may_serve = status["generation"].as_u64() == Some(latest);
    assert!(may_serve || status["ready"].as_bool() == Some(false), "{status}");
    check(&cluster, Vec::new()).await;
}

/// A data centre is cut off from the platform and the others, and a policy is published in the
/// meantime. Cut off, it goes on with what it has; healed, it has the new one within seconds,
/// and nobody ever goes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_that_was_cut_off_catches_up_and_reverts_nothing() {
    let dcs = vec![("porto", "north", 2, 1), ("lisbon", "south", 2, 1)];
    let cluster = Cluster::start("cut-config", Shape { dcs, ..Shape::default() }).await;
    let link = cluster.link_off(1).await;
    cluster.accept("publish policy tail=900").await;

    cluster.cut(&link, 1).await;
    cluster.accept("publish policy tail=901").await;
    cluster.accept("publish policy tail=902").await;
    sleep(Duration::from_secs(2)).await;
    cluster.heal(&link, 1).await;

    check(&cluster, Vec::new()).await;
}

/// Two operators race on the same generation through different entry VMs, while the log loses
/// answers and takes appends twice. Just one wins each round; told that both did, they would
/// believe in two configurations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_have_one_winner_each_round() {
    let cluster = Cluster::start("racing", Shape::default()).await;
    let mut generation = cluster.accept("publish policy tail=800").await;
    let faults =
        Faults { lose_per_mille: 300, double_appends: 1_000, seed: 9, ..Faults::default() };
    cluster.platform_faults(faults).await;
    let rival = Operator::new("rival");

    let (one, two) = (cluster.at.operators(1), cluster.at.operators(2));
    let mut wins = 0;
    for round in 0..12_u64 {
        let own = format!("publish policy tail={}", 100 + round);
        let other = format!("publish policy tail={}", 300 + round);
        let (first, second) = tokio::join!(
            cluster.operator.change(2 * round, one, &own, Some(generation)),
            rival.change(2 * round + 1, two, &other, Some(generation)),
        );
        for verdict in [first, second] {
            if let ChangeOutcome::Accepted(new) = verdict {
                generation = generation.max(new);
                wins += 1;
            }
        }
    }

    assert!(wins >= 6, "{wins} wins");
    check(&cluster, vec![rival.recorder().history()]).await;
}
