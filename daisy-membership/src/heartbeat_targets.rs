//! Who hears from an entry VM, and when.

use daisy_model::{DcId, Instant, VmId};

use crate::{Action, Membership, Peer, Status};

impl Membership {
    /// Whether this entry VM speaks for its data centre to others: the holder, or the lowest
    /// live entry VM while there is none.
    pub fn represents_dc(&self, now: Instant) -> bool {
        let own = self.options.vm;
        match self.tenure.holder_claim {
            Some(it) if it.holder == own => true,
            Some(it) if !it.released && self.peers.alive(&self.options, now, it.holder) => false,
            _ => self.rank(now) == 0,
        }
    }

    /// The entry VM that speaks for another data centre.
    pub fn far_speaker(&self, dc: DcId) -> Option<VmId> {
        let known = self.far.iter().find(|(it, _)| *it == dc).map(|(_, vm)| *vm);
        let listed =
            || self.peers.iter().find(|(_, peer)| peer.dc == dc && peer.listed).map(|(vm, _)| vm);
        known.filter(|vm| self.peers.get(*vm).is_some_and(|peer| peer.listed)).or_else(listed)
    }

    /// Everybody that hears from this entry VM: the peers of its data centre, and the speakers
    /// of others while it speaks for its own.
    pub fn heartbeat_targets(&self) -> Vec<VmId> {
        let near = self.peers.iter().filter(|(_, peer)| peer.dc == self.options.dc);
        let mut heartbeat_targets: Vec<VmId> = near.map(|(vm, _)| vm).collect();
        heartbeat_targets.extend(self.far_targets());
        heartbeat_targets
    }

    fn far_targets(&self) -> Vec<VmId> {
        let mut dcs: Vec<DcId> = self.peers.iter().map(|(_, peer)| peer.dc).collect();
        dcs.sort_unstable();
        dcs.dedup();
        dcs.retain(|dc| *dc != self.options.dc);
        dcs.into_iter().filter_map(|dc| self.far_speaker(dc)).collect()
    }

    /// Sends heartbeats that are due.
    pub(crate) fn beat(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.beat_due {
            return;
        }
        self.seq = self.seq.wrapping_add(1);
        self.beat_due = now + self.options.heartbeat;
        let due = self.due(now);
        if !due.is_empty() {
            self.tenure.sent(now, self.seq);
        }
        for (vm, peer) in self.peers.iter_mut().filter(|(vm, _)| due.contains(vm)) {
            peer.told = Some(now);
            actions.push(Action::Beat(vm));
        }
    }

    /// The peers whose heartbeat is due.
    fn due(&self, now: Instant) -> Vec<VmId> {
        // A fresh process makes itself known at the full pace.
        let holds = self.tenure.own_epoch(&self.options).is_some();
        let urgent = holds || self.status == Status::Starting;
        let near_period = self.options.near_period(urgent, self.peers.near());
        let far = if self.represents_dc(now) { self.far_targets() } else { Vec::new() };
        // A tick may come a little early or late; half a heartbeat of slack keeps the pace.
        let slack = self.options.heartbeat / 2;
        let is_due = |(vm, peer): &(VmId, &Peer)| {
            let near = peer.dc == self.options.dc;
            let wanted = match near {
                true => peer.listed || peer.heard.is_some(),
                false => far.contains(vm),
            };
            let period = if near { near_period } else { self.options.far_period() };
            wanted && peer.told.is_none_or(|at| now.since(at) + slack >= period)
        };
        self.peers.iter().filter(is_due).map(|(vm, _)| vm).collect()
    }
}
