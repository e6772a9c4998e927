//! The resources that teams' quotas leave for further tasks.

use daisy_model::{JobId, JobKind, Resources, SortedMap, TeamId};

use crate::State;

/// Computes the headroom of teams' quotas; valid as long as no job is declared or changed.
#[derive(Debug, Default)]
pub(crate) struct QuotaHeadroom {
    /// The resources that the declared services of each team use; cached because computing them
    /// for each task is costly.
    services: SortedMap<TeamId, Resources>,
}

impl QuotaHeadroom {
    /// Returns the resources that further tasks of a kind may use; `None` if any part of the quota
    /// is exceeded.
    ///
    /// Batch work cannot use the share that the team's services need when all their tasks run. A
    /// service task whose VM failed does not run for a short time. If batch work could use its
    /// share meanwhile, the service would lack capacity until the batch work ends.
    pub(crate) fn headroom(
        &mut self,
        state: &State,
        id: TeamId,
        kind: JobKind,
    ) -> Option<Resources> {
        let team = state.teams.get(id)?;
        let left = team.limit.try_sub(team.used)?;
        if kind == JobKind::Service {
            return Some(left);
        }
        let services =
            self.services.get_or_insert_with(id, || state.declared_service_use(id, None));
        let used_by_batch = team.used.try_sub(team.used_by_services)?;
        let left_by_services = team.limit.try_sub(*services)?.try_sub(used_by_batch)?;
        Some(smaller(left, left_by_services))
    }
}

/// Returns the smaller value of each part.
fn smaller(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.min(b.cpu_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl State {
    /// Returns the resources that further tasks of a kind may use within the quota of `team`; zero
    /// if any part of the quota is exceeded.
    pub fn quota_headroom(&self, team: TeamId, kind: JobKind) -> Resources {
        QuotaHeadroom::default().headroom(self, team, kind).unwrap_or_default()
    }

    /// Returns the resources that all services of `team`, apart from `except`, use when all their
    /// tasks run.
    pub(crate) fn declared_service_use(&self, team: TeamId, except: Option<JobId>) -> Resources {
        let services = self.jobs.iter().filter(|(id, job)| {
            let running = !job.cancelled && job.open > 0;
            running && job.team == team && job.spec.kind == JobKind::Service && Some(*id) != except
        });
        let sizes = services.filter_map(|(_, job)| job.spec.size.try_mul(job.spec.tasks));
        sizes.fold(Resources::ZERO, |sum, size| sum.try_add(size).unwrap_or(sum))
    }
}
