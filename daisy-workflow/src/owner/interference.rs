//! Estimates how much best-effort tasks of one image slow serving tasks of another, from workers'
//! reports.
//!
//! A serving task is modelled as a queue: its tail latency grows as 1 / (1 - load - interference).
//! So its *headroom*, the target divided by the tail latency, falls in proportion to the processor
//! time that best-effort tasks use beside it. The factor for each pair of images is fitted to the
//! reports by non-negative least squares. A serving task's own load fluctuates over many seconds;
//! it is eliminated by comparing each report with the running means of the same worker's earlier
//! reports.

use std::{sync::Arc, time::Duration};

use daisy_model::{Instant, SortedMap};

use crate::{ImageInterference, InterferenceSums};

/// Age in seconds at which a report counts for half: interference changes within seconds, and a
/// worker reports about twice a second.
const HALF_LIFE_S: f64 = 10.0;
/// Initial factor of a pair, between those of pairs with high and with low interference: tasks of
/// unknown images are tried, a few per worker.
const PRIOR_WEIGHT: f64 = 2.5;
/// Weight of the initial factor, in squared shares of a worker: about five reports of a task on a
/// twentieth of a worker that starts or ends outweigh it.
const PRIOR_STRENGTH: f64 = 0.006;
/// Weight of a factor that an earlier owner had learned.
const INHERITED_STRENGTH: f64 = 0.03;
/// The most images of serving tasks, and of best-effort tasks, of which interference is learned. The
/// memory grows with the third power, the time for each report with the second.
const IMAGES_MAX: usize = 64;
/// How long an image is remembered after the last of its tasks was seen, if its key is needed for
/// another: longer than workers are silent before their tasks are given up.
const IMAGE_RETENTION: Duration = Duration::from_secs(60);
/// Iterations per fit; the next report continues from the last result.
const SOLVER_PASSES: usize = 4;

/// Key of an image, either among those of serving tasks or among those of best-effort tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ImageKey(u16);

impl ImageKey {
    fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The images that have a key; an unused key is given to a new image.
#[derive(Debug, Clone, Default)]
struct Images {
    keys: SortedMap<Arc<str>, ImageKey>,
    /// When a task of each image was last seen, by key.
    used_at: Vec<Instant>,
}

/// The key of an image, and whether it belonged to no other image or to one that is forgotten.
struct AssignedKey {
    key: ImageKey,
    is_reused: bool,
}

impl Images {
    fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Notes that a task of the image was seen.
    fn touch(&mut self, now: Instant, key: ImageKey) {
        if let Some(at) = self.used_at.get_mut(key.index()) {
            *at = (*at).max(now);
        }
    }

    /// Returns the key of an image and gives it one if it has none; `None` while all keys are in
    /// use.
    fn try_key(&mut self, now: Instant, image: &Arc<str>) -> Option<AssignedKey> {
        if let Some(key) = self.keys.get(image).copied() {
            self.touch(now, key);
            return Some(AssignedKey { key, is_reused: false });
        }
        if self.len() < IMAGES_MAX {
            let key = ImageKey(self.len() as u16);
            self.used_at.push(now);
            self.keys.insert(image.clone(), key);
            return Some(AssignedKey { key, is_reused: false });
        }
        let (at, oldest) = self.used_at.iter().enumerate().min_by_key(|(_, it)| **it)?;
        if now.since(*oldest) < IMAGE_RETENTION {
            return None;
        }
        let key = ImageKey(at as u16);
        self.keys.retain(|_, it| *it != key);
        self.keys.insert(image.clone(), key);
        self.used_at[at] = now;
        Some(AssignedKey { key, is_reused: true })
    }

    /// Returns all images in the order of their keys.
    fn names(&self) -> Vec<Arc<str>> {
        let mut names: Vec<_> = self.keys.iter().map(|(it, key)| (key.0, it.clone())).collect();
        names.sort_unstable();
        names.into_iter().map(|(_, it)| it).collect()
    }
}

/// The learned interference of all pairs of images.
#[derive(Debug, Clone, Default)]
pub(crate) struct Interference {
    best_effort: Images,
    serving: Images,
    /// Fits by the key of the serving image.
    fits: Vec<Fit>,
}

/// Weighted sums over one serving image's reports, and the weights fitted to them, indexed by the
/// keys of best-effort images.
#[derive(Debug, Clone)]
struct Fit {
    share_products: Vec<Vec<f64>>,
    loss_sums: Vec<f64>,
    weights: Vec<f64>,
    /// Initial value of each weight, and the strength with which it is preferred.
    priors: Vec<(f64, f64)>,
    /// Sums of this owner's reports that were not yet shared with other owners.
    unshared: Sums,
    at: Instant,
}

/// Sums over reports: for each pair of images the products of their usage, for each image the
/// products of its usage and the lost headroom.
#[derive(Debug, Clone, Default)]
struct Sums {
    share_products: SortedMap<(usize, usize), f64>,
    loss_sums: SortedMap<usize, f64>,
}

impl Sums {
    fn add(&mut self, x: &[(usize, f64)], y: f64) {
        for (at, (i, a)) in x.iter().enumerate() {
            *self.loss_sums.get_or_insert_with(*i, || 0.0) += a * y;
            for (j, b) in &x[at..] {
                *self.share_products.get_or_insert_with((*i.min(j), *i.max(j)), || 0.0) += a * b;
            }
        }
    }
}

impl Fit {
    fn new(now: Instant) -> Fit {
        Fit {
            share_products: Vec::new(),
            loss_sums: Vec::new(),
            weights: Vec::new(),
            priors: Vec::new(),
            unshared: Sums::default(),
            at: now,
        }
    }

    fn grow(&mut self, len: usize) {
        if self.weights.len() >= len {
            return;
        }
        for row in &mut self.share_products {
            row.resize(len, 0.0);
        }
        self.share_products.resize(len, vec![0.0; len]);
        self.loss_sums.resize(len, 0.0);
        self.weights.resize(len, PRIOR_WEIGHT);
        self.priors.resize(len, (PRIOR_WEIGHT, PRIOR_STRENGTH));
    }

    /// Forgets what was learned about a best-effort image, whose key another image gets.
    fn forget(&mut self, at: usize) {
        if at >= self.weights.len() {
            return;
        }
        self.share_products[at].iter_mut().for_each(|it| *it = 0.0);
        self.share_products.iter_mut().for_each(|row| row[at] = 0.0);
        self.loss_sums[at] = 0.0;
        self.weights[at] = PRIOR_WEIGHT;
        self.priors[at] = (PRIOR_WEIGHT, PRIOR_STRENGTH);
        self.unshared.loss_sums.remove(&at);
        self.unshared.share_products.retain(|(i, j), _| *i != at && *j != at);
    }

    fn decay(&mut self, now: Instant) {
        let remaining = 0.5f64.powf(now.since(self.at).as_secs_f64() / HALF_LIFE_S);
        self.at = now;
        self.loss_sums.iter_mut().for_each(|it| *it *= remaining);
        self.share_products.iter_mut().flatten().for_each(|it| *it *= remaining);
    }

    fn add(&mut self, x: &[(usize, f64)], y: f64) {
        for (i, a) in x {
            self.loss_sums[*i] += a * y;
            for (j, b) in x {
                self.share_products[*i][*j] += a * b;
            }
        }
    }

    /// Adds another owner's sums; images are given by their keys in this owner.
    fn add_sums(&mut self, sums: &Sums) {
        for (i, it) in sums.loss_sums.iter() {
            self.loss_sums[*i] += it;
        }
        for ((i, j), it) in sums.share_products.iter() {
            self.share_products[*i][*j] += it;
            if i != j {
                self.share_products[*j][*i] += it;
            }
        }
    }

    /// Fits the weights by coordinate descent: sets one weight after the other to its best value
    /// that is not negative.
    fn solve(&mut self) {
        for _ in 0..SOLVER_PASSES {
            for i in 0..self.weights.len() {
                let row = &self.share_products[i];
                let others: f64 = row.iter().zip(&self.weights).map(|(a, w)| a * w).sum();
                let rest = self.loss_sums[i] - others + row[i] * self.weights[i];
                let (prior, strength) = self.priors[i];
                self.weights[i] = ((rest + strength * prior) / (row[i] + strength)).max(0.0);
            }
        }
    }
}

impl Interference {
    /// Returns the key of an image of serving tasks, and adds the image if it is new; `None` while
    /// there are too many.
    pub fn try_add_serving(&mut self, now: Instant, image: &Arc<str>) -> Option<ImageKey> {
        let AssignedKey { key, is_reused } = self.serving.try_key(now, image)?;
        match self.fits.get_mut(key.index()) {
            Some(fit) if is_reused => *fit = Fit::new(now),
            Some(_) => {}
            None => self.fits.push(Fit::new(now)),
        }
        Some(key)
    }

    /// Returns the key of an image of best-effort tasks, and adds the image if it is new; `None`
    /// while there are too many.
    pub fn try_add_best_effort(&mut self, now: Instant, image: &Arc<str>) -> Option<ImageKey> {
        let AssignedKey { key, is_reused } = self.best_effort.try_key(now, image)?;
        if is_reused {
            self.fits.iter_mut().for_each(|it| it.forget(key.index()));
        }
        Some(key)
    }

    /// Notes that a serving task of the image is on a worker.
    pub fn serving_seen(&mut self, now: Instant, image: ImageKey) {
        self.serving.touch(now, image);
    }

    /// Notes that a best-effort task of the image is on a worker.
    pub fn best_effort_seen(&mut self, now: Instant, image: ImageKey) {
        self.best_effort.touch(now, image);
    }

    /// Returns the key of an image of serving tasks, if it is known.
    pub fn try_serving(&self, image: &Arc<str>) -> Option<ImageKey> {
        self.serving.keys.get(image).copied()
    }

    /// Returns the key of an image of best-effort tasks, if it is known.
    pub fn try_best_effort(&self, image: &Arc<str>) -> Option<ImageKey> {
        self.best_effort.keys.get(image).copied()
    }

    /// Counts the best-effort images that, using all of a worker's processors, take less than
    /// `most` headroom from each serving image of `images`.
    pub fn count_harmless(&self, images: &[ImageKey], most: f64) -> u32 {
        let all = (0..self.best_effort.len()).map(|it| ImageKey(it as u16));
        let count_harmless =
            |other: &ImageKey| images.iter().all(|it| self.weight(Some(*it), Some(*other)) < most);
        all.filter(count_harmless).count() as u32
    }

    /// Creates an estimate that continues from what an earlier owner had learned.
    pub fn inherit(now: Instant, pairs: &[ImageInterference]) -> Interference {
        let mut interference = Interference::default();
        for pair in pairs {
            let best_effort = interference.try_add_best_effort(now, &pair.best_effort);
            let serving = interference.try_add_serving(now, &pair.serving);
            let Some((best_effort, key)) = best_effort.zip(serving) else { continue };
            let at = best_effort.index();
            let len = interference.best_effort.len();
            let fit = &mut interference.fits[key.index()];
            fit.grow(len);
            let weight = f64::from(pair.permille) / 1_000.0;
            fit.weights[at] = weight;
            fit.priors[at] = (weight, INHERITED_STRENGTH);
        }
        interference
    }

    /// Returns the factors of all pairs.
    pub fn pairs(&self) -> Vec<ImageInterference> {
        let mut pairs = Vec::new();
        for (serving, key) in self.serving.keys.iter() {
            let fit = &self.fits[key.index()];
            for (best_effort, at) in self.best_effort.keys.iter() {
                if let Some(weight) = fit.weights.get(at.index()) {
                    pairs.push(ImageInterference {
                        serving: serving.clone(),
                        best_effort: best_effort.clone(),
                        permille: (weight * 1_000.0) as u32,
                    });
                }
            }
        }
        pairs
    }

    /// Processes a report: a serving task of `image` had `loss` less headroom than the mean of
    /// earlier reports, while each best-effort image in `more` used the given share of the worker's
    /// processors more than in the mean of earlier reports.
    pub fn learn(&mut self, now: Instant, image: ImageKey, loss: f64, more: &[(ImageKey, f64)]) {
        let x: Vec<(usize, f64)> = more.iter().map(|(it, share)| (it.index(), *share)).collect();
        let len = self.best_effort.len();
        let fit = &mut self.fits[image.index()];
        fit.grow(len);
        fit.decay(now);
        fit.add(&x, loss);
        fit.unshared.add(&x, loss);
        fit.solve();
    }

    /// Returns the sums collected since the last call, for the owners of other shards.
    pub fn take_interference_sums(&mut self) -> Vec<InterferenceSums> {
        let names = self.best_effort.names();
        let name = |at: usize| names[at].clone();
        let mut taken = Vec::new();
        for (serving, key) in self.serving.keys.iter() {
            let unshared = std::mem::take(&mut self.fits[key.index()].unshared);
            if unshared.loss_sums.is_empty() {
                continue;
            }
            let share_products = unshared.share_products.iter();
            taken.push(InterferenceSums {
                serving: serving.clone(),
                loss_sums: unshared
                    .loss_sums
                    .iter()
                    .map(|(at, it)| (name(*at), *it as f32))
                    .collect(),
                share_products: share_products
                    .map(|((i, j), it)| (name(*i), name(*j), *it as f32))
                    .collect(),
            });
        }
        taken
    }

    /// Adds the sums of another owner.
    ///
    /// A pair of images occurs on few workers of one shard. From its own reports alone, an owner of
    /// a fifth of the workers would have a fifth of the information on a pair, and interference
    /// changes within seconds.
    pub fn add_interference_sums(&mut self, now: Instant, sums_of_other: &InterferenceSums) {
        let Some(key) = self.try_add_serving(now, &sums_of_other.serving) else { return };
        let mut sums = Sums::default();
        let mut index = |it| Some(self.try_add_best_effort(now, it)?.index());
        for (image, it) in &sums_of_other.loss_sums {
            let Some(at) = index(image) else { continue };
            sums.loss_sums.insert(at, f64::from(*it));
        }
        for (a, b, it) in &sums_of_other.share_products {
            let Some((a, b)) = index(a).zip(index(b)) else { continue };
            sums.share_products.insert((a.min(b), a.max(b)), f64::from(*it));
        }
        let len = self.best_effort.len();
        let fit = &mut self.fits[key.index()];
        fit.grow(len);
        fit.decay(now);
        fit.add_sums(&sums);
        fit.solve();
    }

    /// Returns the headroom that best-effort tasks of image `other`, using all of a worker's
    /// processors, would take from a serving task of `image`; [`PRIOR_WEIGHT`] for unknown pairs
    /// and tasks without an image.
    pub fn weight(&self, image: Option<ImageKey>, other: Option<ImageKey>) -> f64 {
        let fit = image.and_then(|it| self.fits.get(it.index()));
        let known = fit.zip(other).and_then(|(fit, at)| fit.weights.get(at.index()));
        known.copied().unwrap_or(PRIOR_WEIGHT)
    }
}
