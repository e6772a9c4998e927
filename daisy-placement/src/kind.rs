//! Kinds of jobs: jobs whose names differ in their trailing number only.
//!
//! `renders-20261203` and `renders-20261204` are one kind, so that what was learnt of one
//! holds for the next; jobs come and go too fast to learn from each alone.

use daisy_model::{JobKind, JobSpec, SortedMap};

/// A kind of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind(pub u16);

/// The kinds seen so far, to a bound.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    by_stem: SortedMap<Box<str>, Kind>,
    services: Vec<Kind>,
}

impl Kinds {
    /// Kinds told apart; all later ones share [`Kinds::OTHER`].
    const MOST: usize = 1_000;
    const OTHER: Kind = Kind(0);

    /// Whether a kind is of services; kinds that are not told apart are not.
    pub(crate) fn is_service(&self, kind: Kind) -> bool {
        self.services.binary_search(&kind).is_ok()
    }

    /// The kind of a job.
    pub(crate) fn of(&mut self, spec: &JobSpec) -> Kind {
        let stem = spec.name.as_str().trim_end_matches(|c: char| c.is_ascii_digit() || c == '-');
        let sort = if spec.kind == JobKind::Service { "service" } else { "batch" };
        let key: Box<str> = format!("{sort} {} {stem}", spec.team).into();
        if let Some(kind) = self.by_stem.get(&key) {
            return *kind;
        }
        if self.by_stem.len() >= Kinds::MOST {
            return Kinds::OTHER;
        }
        let kind = Kind(self.by_stem.len() as u16 + 1);
        self.by_stem.insert(key, kind);
        if spec.kind == JobKind::Service {
            self.services.push(kind);
        }
        kind
    }
}
