//! Kinds of jobs: jobs whose names differ in their trailing number only.
//!
//! `renders-20261203` and `renders-20261204` are one kind, so that what was learnt of one
//! holds for the next; jobs come and go too fast to learn from each alone.

use daisy_model::{JobKind, JobSpec, SortedMap};

/// A kind of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobFamily(pub u16);

/// The kinds seen so far, to a bound.
#[derive(Debug, Default)]
pub(crate) struct JobFamilies {
    by_name_stem: SortedMap<Box<str>, JobFamily>,
    services: Vec<JobFamily>,
}

impl JobFamilies {
    /// Kinds told apart; all later ones share [`JobFamilies::OTHER`].
    const MAX_FAMILIES: usize = 1_000;
    const OTHER: JobFamily = JobFamily(0);

    /// Whether a kind is of services; kinds that are not told apart are not.
    pub(crate) fn is_service(&self, family: JobFamily) -> bool {
        self.services.binary_search(&family).is_ok()
    }

    /// The kind of a job.
    pub(crate) fn of(&mut self, spec: &JobSpec) -> JobFamily {
        let stem = spec.name.as_str().trim_end_matches(|c: char| c.is_ascii_digit() || c == '-');
        let job_type = if spec.kind == JobKind::Service { "service" } else { "batch" };
        let key: Box<str> = format!("{job_type} {} {stem}", spec.team).into();
        if let Some(family) = self.by_name_stem.get(&key) {
            return *family;
        }
        if self.by_name_stem.len() >= JobFamilies::MAX_FAMILIES {
            return JobFamilies::OTHER;
        }
        let family = JobFamily(self.by_name_stem.len() as u16 + 1);
        self.by_name_stem.insert(key, family);
        if spec.kind == JobKind::Service {
            self.services.push(family);
        }
        family
    }
}
