//! To which peers an entry VM sends heartbeats, and when.

use daisy_model::{DcId, Instant, VmId};

use crate::{Action, Membership, Peer, Status};

impl Membership {
    /// Returns whether this entry VM represents its data centre towards the other data centres. The
    /// holder does or, while there is no live holder, the live candidate with the lowest id.
    pub fn represents_dc(&self, now: Instant) -> bool {
        let own = self.options.vm;
        match self.holder_state.holder_claim {
            Some(it) if it.holder == own => true,
            Some(it) if !it.released && self.peers.is_alive(&self.options, now, it.holder) => false,
            _ => self.rank(now) == 0,
        }
    }

    /// Returns the entry VM that represents another data centre: its holder if that is known and
    /// listed, else the listed entry VM with the lowest id.
    pub fn remote_representative(&self, dc: DcId) -> Option<VmId> {
        let known = self.remote_holders.iter().find(|(it, _)| *it == dc).map(|(_, vm)| *vm);
        let listed =
            || self.peers.iter().find(|(_, peer)| peer.dc == dc && peer.listed).map(|(vm, _)| vm);
        known.filter(|vm| self.peers.get(*vm).is_some_and(|peer| peer.listed)).or_else(listed)
    }

    /// Returns all peers to which this entry VM may send heartbeats: the peers of its data
    /// centre, and the representatives of the other data centres.
    pub fn heartbeat_targets(&self) -> Vec<VmId> {
        let local = self.peers.iter().filter(|(_, peer)| peer.dc == self.options.dc);
        let mut targets: Vec<VmId> = local.map(|(vm, _)| vm).collect();
        targets.extend(self.remote_targets());
        targets
    }

    fn remote_targets(&self) -> Vec<VmId> {
        let mut dcs: Vec<DcId> = self.peers.iter().map(|(_, peer)| peer.dc).collect();
        dcs.sort_unstable();
        dcs.dedup();
        dcs.retain(|dc| *dc != self.options.dc);
        dcs.into_iter().filter_map(|dc| self.remote_representative(dc)).collect()
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.seq = self.seq.wrapping_add(1);
        self.next_heartbeat_at = now + self.options.heartbeat_interval;
        let due_targets = self.due_targets(now);
        if !due_targets.is_empty() {
            self.holder_state.record_sent(now, self.seq);
        }
        for (vm, peer) in self.peers.iter_mut().filter(|(vm, _)| due_targets.contains(vm)) {
            peer.last_sent = Some(now);
            actions.push(Action::Heartbeat(vm));
        }
    }

    /// Returns the peers to which a heartbeat is due.
    fn due_targets(&self, now: Instant) -> Vec<VmId> {
        // A process that has just started sends at the full rate, so that peers soon know of it.
        let is_holder = self.holder_state.own_epoch(&self.options).is_some();
        let at_full_rate = is_holder || self.status == Status::Starting;
        let local_period = self.options.local_period(at_full_rate, self.peers.local_count());
        let remote = if self.represents_dc(now) { self.remote_targets() } else { Vec::new() };
        // A tick may come a little early or late; half a heartbeat interval of slack keeps the
        // rate.
        let slack = self.options.heartbeat_interval / 2;
        let is_due = |(vm, peer): &(VmId, &Peer)| {
            let local = peer.dc == self.options.dc;
            let is_target = match local {
                true => peer.listed || peer.last_received.is_some(),
                false => remote.contains(vm),
            };
            let period = if local { local_period } else { self.options.remote_period() };
            is_target && peer.last_sent.is_none_or(|at| now.since(at) + slack >= period)
        };
        self.peers.iter().filter(is_due).map(|(vm, _)| vm).collect()
    }
}
