//! Families of jobs: jobs whose names differ only in their trailing number.
//!
//! `renders-20261203` and `renders-20261204` are one family, so that the interference learned for
//! one job applies to the next. Single jobs do not run long enough to learn from each of them
//! alone.

use daisy_model::{JobKind, JobSpec, SortedMap};

/// A family of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobFamily(pub u16);

/// The families seen so far, bounded in number.
#[derive(Debug, Default)]
pub(crate) struct JobFamilies {
    by_name_stem: SortedMap<Box<str>, JobFamily>,
    services: Vec<JobFamily>,
}

impl JobFamilies {
    /// The maximum number of distinct families; all later ones share [`JobFamilies::OTHER`].
    const MAX_FAMILIES: usize = 1_000;
    const OTHER: JobFamily = JobFamily(0);

    /// Whether a family consists of services; [`JobFamilies::OTHER`] does not.
    pub(crate) fn is_service(&self, family: JobFamily) -> bool {
        self.services.binary_search(&family).is_ok()
    }

    /// Returns the family of a job and adds it if it is new.
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
