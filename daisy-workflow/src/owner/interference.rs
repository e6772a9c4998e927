//! How much best-effort tasks of one image slow serving tasks of another, learnt from what
//! workers report.
//!
//! A serving task is a queue: its tail latency grows as 1 / (1 - load - disturbance). So its
//! *headroom*, the target divided by the tail, falls in proportion to the processor time that
//! best-effort tasks use beside it. For each pair of images the factor is fitted to reports by
//! least squares, none below zero. A serving task's own load swings over many seconds; it is taken
//! out by comparing each report with the running means of the same worker's reports before.

use std::sync::Arc;

use daisy_model::{Instant, SortedMap};

use crate::{Disturbance, Observations};

/// Reports older than this count for half: the amounts change within seconds, and a worker
/// reports about twice a second.
const HALF_LIFE_S: f64 = 10.0;
/// The factor that a pair begins with: a task on a tenth of a worker then takes 0.25 of headroom,
/// so that unknown images are tried a few to a worker. Pairs that disturb each other were seen at
/// 5 to 9, the others, about three of four, below 1.
const PRIOR_WEIGHT: f64 = 2.5;
/// How firmly it is held to, in squared shares of a worker: some five reports of a start or an
/// end of a task on a twentieth of a worker outweigh it.
const PRIOR_STRENGTH: f64 = 0.006;
/// The same for what an earlier owner had learnt.
const INHERITED_STRENGTH: f64 = 0.03;
/// Passes of the fit; the next report goes on from where the last fit ended.
const PASSES: usize = 4;

/// What was learnt of all pairs of images.
#[derive(Debug, Clone, Default)]
pub(crate) struct Interference {
    /// Numbers of the images of best-effort tasks.
    images: SortedMap<Arc<str>, usize>,
    serving: SortedMap<Arc<str>, Fit>,
}

/// Weighted sums of one serving image's reports, and the weights fitted to them. Positions are
/// images of best-effort tasks.
#[derive(Debug, Clone)]
struct Fit {
    products: Vec<Vec<f64>>,
    answers: Vec<f64>,
    weights: Vec<f64>,
    /// What each weight is drawn to, and how firmly.
    priors: Vec<(f64, f64)>,
    /// Sums of this owner's reports that were not given to other owners yet.
    fresh: Sums,
    at: Instant,
}

/// Sums of reports: for each pair of images products of what they used, for each image the products
/// with the headroom lost.
#[derive(Debug, Clone, Default)]
struct Sums {
    products: SortedMap<(usize, usize), f64>,
    answers: SortedMap<usize, f64>,
}

impl Sums {
    fn add(&mut self, x: &[(usize, f64)], y: f64) {
        for (at, (i, a)) in x.iter().enumerate() {
            *self.answers.get_or_insert_with(*i, || 0.0) += a * y;
            for (j, b) in &x[at..] {
                *self.products.get_or_insert_with((*i.min(j), *i.max(j)), || 0.0) += a * b;
            }
        }
    }
}

impl Fit {
    fn new(now: Instant) -> Fit {
        Fit {
            products: Vec::new(),
            answers: Vec::new(),
            weights: Vec::new(),
            priors: Vec::new(),
            fresh: Sums::default(),
            at: now,
        }
    }

    fn grow(&mut self, len: usize) {
        if self.weights.len() >= len {
            return;
        }
        for row in &mut self.products {
            row.resize(len, 0.0);
        }
        self.products.resize(len, vec![0.0; len]);
        self.answers.resize(len, 0.0);
        self.weights.resize(len, PRIOR_WEIGHT);
        self.priors.resize(len, (PRIOR_WEIGHT, PRIOR_STRENGTH));
    }

    fn forget(&mut self, now: Instant) {
        let keep = 0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE_S);
        self.at = now;
        self.answers.iter_mut().for_each(|it| *it *= keep);
        self.products.iter_mut().flatten().for_each(|it| *it *= keep);
    }

    fn add(&mut self, x: &[(usize, f64)], y: f64) {
        for (i, a) in x {
            self.answers[*i] += a * y;
            for (j, b) in x {
                self.products[*i][*j] += a * b;
            }
        }
    }

    /// Adds another owner's sums; images by their numbers here.
    fn add_sums(&mut self, sums: &Sums) {
        for (i, it) in sums.answers.iter() {
            self.answers[*i] += it;
        }
        for ((i, j), it) in sums.products.iter() {
            self.products[*i][*j] += it;
            if i != j {
                self.products[*j][*i] += it;
            }
        }
    }

    /// Coordinate descent: each weight in turn takes its best value at or above zero.
    fn solve(&mut self) {
        for _ in 0..PASSES {
            for i in 0..self.weights.len() {
                let row = &self.products[i];
                let others: f64 = row.iter().zip(&self.weights).map(|(a, w)| a * w).sum();
                let rest = self.answers[i] - others + row[i] * self.weights[i];
                let (prior, strength) = self.priors[i];
                self.weights[i] = ((rest + strength * prior) / (row[i] + strength)).max(0.0);
            }
        }
    }
}

impl Interference {
    /// How many images of best-effort tasks take less than `most` headroom from each serving task of
    /// `images`, if they use all of a worker's processors.
    pub fn harmless(&self, images: &[Arc<str>], most: f64) -> u32 {
        let harmless = |other: &str| images.iter().all(|it| self.weight(it, other) < most);
        self.images.iter().filter(|(it, _)| harmless(it)).count() as u32
    }

    /// What an earlier owner had learnt, to go on from.
    pub fn inherit(now: Instant, pairs: &[Disturbance]) -> Interference {
        let mut learnt = Interference::default();
        for pair in pairs {
            let at = learnt.number(&pair.best_effort);
            let len = learnt.images.len();
            let fit = learnt.serving.get_or_insert_with(pair.serving.clone(), || Fit::new(now));
            fit.grow(len);
            let weight = f64::from(pair.permille) / 1_000.0;
            fit.weights[at] = weight;
            fit.priors[at] = (weight, INHERITED_STRENGTH);
        }
        learnt
    }

    /// All that was learnt.
    pub fn pairs(&self) -> Vec<Disturbance> {
        let mut pairs = Vec::new();
        for (serving, fit) in self.serving.iter() {
            for (best_effort, at) in self.images.iter() {
                if let Some(weight) = fit.weights.get(*at) {
                    pairs.push(Disturbance {
                        serving: serving.clone(),
                        best_effort: best_effort.clone(),
                        permille: (weight * 1_000.0) as u32,
                    });
                }
            }
        }
        pairs
    }

    /// The number of an image of best-effort tasks.
    fn number(&mut self, image: &Arc<str>) -> usize {
        let next = self.images.len();
        *self.images.get_or_insert_with(image.clone(), || next)
    }

    /// Takes a report in: a serving task of `image` had `loss` less headroom than in the mean of
    /// the reports before, while best-effort tasks of these images used so much more of its
    /// worker's processors.
    pub fn learn(&mut self, now: Instant, image: &Arc<str>, loss: f64, more: &[(Arc<str>, f64)]) {
        let mut x = Vec::with_capacity(more.len());
        for (other, share) in more {
            x.push((self.number(other), *share));
        }
        let fit = self.serving.get_or_insert_with(image.clone(), || Fit::new(now));
        fit.grow(self.images.len());
        fit.forget(now);
        fit.add(&x, loss);
        fit.fresh.add(&x, loss);
        fit.solve();
    }

    /// What this owner has learnt since the last call, for the owners of other shards.
    pub fn take_observations(&mut self) -> Vec<Observations> {
        let names: Vec<Arc<str>> = {
            let mut names: Vec<_> = self.images.iter().map(|(it, at)| (*at, it.clone())).collect();
            names.sort_unstable_by_key(|(at, _)| *at);
            names.into_iter().map(|(_, it)| it).collect()
        };
        let name = |at: usize| names[at].clone();
        let mut taken = Vec::new();
        for (serving, fit) in self.serving.iter_mut() {
            let fresh = std::mem::take(&mut fit.fresh);
            if fresh.answers.is_empty() {
                continue;
            }
            let products = fresh.products.iter();
            taken.push(Observations {
                serving: serving.clone(),
                answers: fresh.answers.iter().map(|(at, it)| (name(*at), *it as f32)).collect(),
                products: products.map(|((i, j), it)| (name(*i), name(*j), *it as f32)).collect(),
            });
        }
        taken
    }

    /// Takes in what another owner has learnt.
    ///
    /// A pair of images meets on few workers of one shard: from its own reports alone, an owner of a
    /// fifth of the workers knows a pair a fifth as well, and the amounts change within seconds.
    pub fn add_observations(&mut self, now: Instant, seen: &Observations) {
        let mut sums = Sums::default();
        for (image, it) in &seen.answers {
            sums.answers.insert(self.number(image), f64::from(*it));
        }
        for (a, b, it) in &seen.products {
            let (a, b) = (self.number(a), self.number(b));
            sums.products.insert((a.min(b), a.max(b)), f64::from(*it));
        }
        let fit = self.serving.get_or_insert_with(seen.serving.clone(), || Fit::new(now));
        fit.grow(self.images.len());
        fit.forget(now);
        fit.add_sums(&sums);
        fit.solve();
    }

    /// The headroom that a best-effort task of image `other`, using all of a worker's processors,
    /// would take from a serving task of `image`.
    pub fn weight(&self, image: &str, other: &str) -> f64 {
        let fit = self.find(image);
        let at = self.images.iter().find(|(it, _)| &***it == other).map(|(_, at)| *at);
        let known = fit.zip(at).and_then(|(fit, at)| fit.weights.get(at));
        known.copied().unwrap_or(PRIOR_WEIGHT)
    }

    fn find(&self, image: &str) -> Option<&Fit> {
        self.serving.iter().find(|(it, _)| &***it == image).map(|(_, fit)| fit)
    }
}
