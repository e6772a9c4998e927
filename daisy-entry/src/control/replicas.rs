//! Replicas of services: holders learn them from their workers and publish them to all other entry
//! VMs.

use std::sync::Arc;

use daisy_model::{DcId, Epoch, VmId};
use daisy_placement::{Holder, WorkerStatus};
use daisy_wire::peer::Replica;

/// The backend servers of all services of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Replicas {
    pub dc: DcId,
    /// The epoch of the holder that published them.
    pub epoch: Epoch,
    /// The number of changes, counted across epochs.
    pub version: u64,
    /// The backend servers, sorted.
    pub all: Vec<Replica>,
}

impl Replicas {
    /// Returns whether `other` has the same epoch and version.
    pub fn is_same(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Returns whether `other` is newer.
    ///
    /// Guard: updates about one data centre may arrive on two paths, a former holder may still send
    /// after a new one has taken over, and a late message must not bring a stopped backend server
    /// back. The epoch decides first, then the version.
    pub fn is_before(&self, other: &Replicas) -> bool {
        (self.epoch, self.version) < (other.epoch, other.version)
    }
}

/// Returns the replicas that `holder` knows, and those in `before` on workers that have not
/// answered it yet.
///
/// Guard: a new holder has no answers from workers yet. Without `before` its routes would be empty,
/// and every request would be rejected, until the workers have answered; until then the replicas
/// published by the last holder apply.
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
    // Of two entries for a backend server, the one that is not leaving sorts first and remains: the
    // backend server still serves the service.
    all.dedup_by_key(|it| (it.job, it.vm));
    all
}
