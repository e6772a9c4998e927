//! What teams' quotas leave for more tasks.

use daisy_model::{JobId, JobKind, Resources, SortedMap, TeamId};

use crate::State;

/// What teams' quotas leave, while nothing is declared or changed in between.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    /// What the declared services of a team take; costly to work out for each task.
    services: SortedMap<TeamId, Resources>,
}

impl Rooms {
    /// What more tasks of a kind may take.
    ///
    /// Batch work has no part in what the team's services take when all their tasks run. A
    /// service's task whose VM failed waits for its next start for a moment: if batch work could
    /// take its room meanwhile, the service would run short until that work ends.
    pub(crate) fn room(&mut self, state: &State, id: TeamId, kind: JobKind) -> Option<Resources> {
        let team = state.teams.get(id)?;
        let left = team.limit.try_sub(team.used)?;
        if kind == JobKind::Service {
            return Some(left);
        }
        let services = self.services.get_or_insert_with(id, || state.services_of(id, None));
        let used_by_batch = team.used.try_sub(team.used_by_services)?;
        let left_by_services = team.limit.try_sub(*services)?.try_sub(used_by_batch)?;
        Some(smaller(left, left_by_services))
    }
}

/// The smaller of each part.
fn smaller(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.min(b.cpu_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl State {
    /// What more tasks of a kind may take within the quota of `team`; zero when any part of the
    /// quota is overdrawn.
    pub fn quota_headroom(&self, team: TeamId, kind: JobKind) -> Resources {
        Rooms::default().room(self, team, kind).unwrap_or_default()
    }

    /// What the services of `team` take together when all their tasks run, `except` one.
    pub(crate) fn services_of(&self, team: TeamId, except: Option<JobId>) -> Resources {
        let services = self.jobs.iter().filter(|(id, job)| {
            let running = !job.cancelled && job.open > 0;
            running && job.team == team && job.spec.kind == JobKind::Service && Some(*id) != except
        });
        let sizes = services.filter_map(|(_, job)| job.spec.size.try_mul(job.spec.tasks));
        sizes.fold(Resources::ZERO, |sum, size| sum.try_add(size).unwrap_or(sum))
    }
}
