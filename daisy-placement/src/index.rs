//! An index of the free capacity of all workers, searched without visiting each of them.

use std::ops::Range;

use daisy_model::Resources;

/// A binary tree over worker slots. Each node holds the maximum of each resource over its
/// leaves.
///
/// An update walks one path to the root. A search skips every subtree in which some resource is
/// too small everywhere, so a start costs about `log(workers)` for each candidate.
#[derive(Debug, Default)]
pub(crate) struct FreeIndex {
    /// Node 1 is the root, node `n` has the children `2n` and `2n + 1`, and the leaves start at
    /// `width`.
    nodes: Vec<Resources>,
    width: usize,
}

impl FreeIndex {
    /// Sets the free capacity of a slot. A slot without any is found only by a search for a size of
    /// zero.
    pub(crate) fn set(&mut self, slot: usize, free: Resources) {
        if slot >= self.width {
            self.grow(slot + 1);
        }
        let mut node = self.width + slot;
        if self.nodes[node] == free {
            return;
        }
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            self.nodes[node] = most(self.nodes[2 * node], self.nodes[2 * node + 1]);
        }
    }

    /// Pushes up to `limit` slots with free capacity for `size`, searching from slot `start` and
    /// wrapping around.
    pub(crate) fn find(&self, size: Resources, start: usize, limit: usize, found: &mut Vec<usize>) {
        if self.width == 0 {
            return;
        }
        let start = start % self.width;
        for range in [start..self.width, 0..start] {
            let mut search = Search { size, range, limit, found };
            self.visit(1, 0, self.width, &mut search);
        }
    }

    /// Whether some slot has free capacity for `size`.
    pub(crate) fn has_fitting(&self, size: Resources) -> bool {
        let mut found = Vec::new();
        self.find(size, 0, 1, &mut found);
        !found.is_empty()
    }

    /// Returns the maximum of each resource over all slots.
    pub(crate) fn largest(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or(Resources::ZERO)
    }

    /// Searches the subtree at `node`, whose leaves are the `span` slots from `first` on.
    fn visit(&self, node: usize, first: usize, span: usize, search: &mut Search<'_>) {
        let is_outside = first >= search.range.end || first + span <= search.range.start;
        let is_full = search.found.len() >= search.limit;
        if is_outside || is_full || !search.size.fits(self.nodes[node]) {
            return;
        }
        if span == 1 {
            search.found.push(first);
            return;
        }
        let half = span / 2;
        self.visit(2 * node, first, half, search);
        self.visit(2 * node + 1, first + half, half, search);
    }

    fn grow(&mut self, slots: usize) {
        let width = slots.next_power_of_two();
        let mut nodes = vec![Resources::ZERO; 2 * width];
        if self.width > 0 {
            nodes[width..width + self.width].copy_from_slice(&self.nodes[self.width..]);
        }
        for node in (1..width).rev() {
            nodes[node] = most(nodes[2 * node], nodes[2 * node + 1]);
        }
        self.nodes = nodes;
        self.width = width;
    }
}

/// The parameters of a search and its results.
#[derive(Debug)]
struct Search<'a> {
    size: Resources,
    range: Range<usize>,
    limit: usize,
    found: &'a mut Vec<usize>,
}

fn most(a: Resources, b: Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.max(b.cpu_milli),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
