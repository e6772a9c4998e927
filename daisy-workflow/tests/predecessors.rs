//! What an owner notes when no earlier owner can renew leases any more.

mod util;

use std::time::Duration;

use daisy_workflow::{Note, PredecessorsEnd};
use util::{Cluster, Node};

/// Longer than any wait for earlier owners, in milliseconds.
const ANY_WAIT_MS: u64 = 12_000;

/// Returns two VMs and four workers, whose owner, on the first VM, has recorded its witnesses.
fn cluster() -> Cluster {
    let mut cluster = Cluster::with_long_running_tasks(2, 4);
    cluster.run_ms(2_000);
    cluster
}

/// Returns the notes of the owner on the second VM that no earlier owner can renew leases.
fn ended_notes(cluster: &Cluster) -> Vec<&Note> {
    let notes = cluster.notes.iter().filter(|(vm, _)| *vm == 1).map(|(_, note)| note);
    notes.filter(|it| matches!(it, Note::PredecessorsEnded { .. })).collect()
}

/// Guards against owners of which no line tells why they count the earlier ones as ended.
#[test]
fn an_owner_notes_once_what_ended_the_earlier_owners() {
    let released = {
        let mut cluster = cluster();
        assert!(cluster.release(0));
        cluster
    };
    let killed = {
        let mut cluster = cluster();
        cluster.kill(0);
        cluster
    };
    let isolated_with_three_workers = {
        let mut cluster = cluster();
        cluster.isolate(&[Node::Vm(0), Node::Worker(0), Node::Worker(1), Node::Worker(2)]);
        cluster
    };
    for (mut cluster, expected, answered_min) in [
        (released, PredecessorsEnd::Claim, 0),
        (killed, PredecessorsEnd::Witnesses, 2),
        (isolated_with_three_workers, PredecessorsEnd::Time, 1),
    ] {
        assert!(cluster.claim(1));

        cluster.run_ms(ANY_WAIT_MS);

        let notes = ended_notes(&cluster);
        let [
            Note::PredecessorsEnded {
                epoch,
                end,
                held_for,
                confirmed_for,
                witnesses,
                answered,
                ..
            },
        ] = notes[..]
        else {
            panic!("{expected:?}: {notes:?}");
        };
        assert_eq!((*end, Some(*epoch)), (expected, cluster.epoch(1)));
        assert_eq!(*witnesses, 4);
        assert!(*answered >= answered_min, "{expected:?}: {answered} answered");
        assert!(*held_for < Duration::from_millis(100), "{expected:?}: {held_for:?}");
        let confirmed_min = match expected {
            PredecessorsEnd::Claim => None,
            PredecessorsEnd::Witnesses => Some(Duration::from_millis(900)),
            PredecessorsEnd::Time => Some(Duration::from_secs(10)),
        };
        assert!(*confirmed_for >= confirmed_min, "{expected:?}: {confirmed_for:?}");
    }
}
