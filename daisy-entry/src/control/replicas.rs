//! Where services run: learnt by a holder from its workers, told to everybody else.

use std::sync::Arc;

use daisy_model::{DcId, Epoch, VmId};
use daisy_placement::{Holder, WorkerStatus};
use daisy_wire::peer::Replica;

/// The backend servers of all services of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Replicas {
    pub dc: DcId,
    /// The epoch of the holder that says so.
    pub epoch: Epoch,
    /// Counts the changes, across epochs.
    pub version: u64,
    /// The backend servers, sorted.
    pub all: Vec<Replica>,
}

impl Replicas {
    /// Whether `other` says the same at the same version.
    pub fn is_same(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Whether `other` is later.
    ///
    /// Guard: two paths may tell of the same data centre, an old holder may still speak after
    /// a new one, and a late message must not bring a stopped backend server back. The epoch
    /// decides, then the number of the change.
    pub fn is_before(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) < (other.epoch, other.version)
    }
}

/// What the holder `holder` knows, with `before` for workers that have not answered it yet.
///
/// Guard: a new holder has heard no worker. Its routes would go empty, and every request be
/// refused, until the workers have answered; what the last holder told stands until then.
pub(crate) fn of_holder(holder: &Holder, before: Option<&Arc<Replicas>>) -> Vec<Replica> {
    let workers = holder.workers();
    let never_answered = workers.iter().filter(|it| it.status == WorkerStatus::NeverAnswered);
    let mut never_answered: Vec<VmId> = never_answered.map(|it| it.vm).collect();
    never_answered.sort_unstable();
    let mut all: Vec<Replica> = holder
        .replicas()
        .iter()
        .map(|it| Replica { job: it.job, vm: it.vm, leaving: it.leaving })
        .collect();
    let old = before.iter().flat_map(|it| it.all.iter());
    all.extend(old.filter(|it| never_answered.binary_search(&it.vm).is_ok()).copied());
    all.sort_unstable();
    // One that stays sorts before one that leaves: the server goes on for the service.
    all.dedup_by_key(|it| (it.job, it.vm));
    all
}
