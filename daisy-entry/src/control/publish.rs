//! Publishes state to peers: heartbeats, requests in flight and replicas of services.

use std::{sync::Arc, time::Duration};

use daisy_membership::{Role, Status};
use daisy_model::{Instant, VmId};
use daisy_routing::{KeyAnswer, KeyQuery};

use crate::{
    boundary::RequestSide,
    control::{Control, Replicas, StatusJson, replicas, status::PeerJson},
    peers::{Command, PeerUpdate},
};

/// The minimum interval between resets of the connection to an unresponsive peer.
const RESET_INTERVAL: Duration = Duration::from_secs(3);

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Sends the current heartbeat to a peer, with requests in flight and replicas.
    pub(super) fn send_update(&mut self, now: Instant, vm: VmId) {
        self.reset_if_unresponsive(now, vm);
        let is_same_dc =
            self.membership.peers().get(vm).is_some_and(|it| it.dc == self.identity.dc);
        let mut in_flight = match is_same_dc {
            true => self.requests.in_flight(),
            false => Vec::new(),
        };
        in_flight.sort_unstable();
        let update = PeerUpdate {
            heartbeat: self.membership.heartbeat(now),
            in_flight: Arc::new(in_flight),
            replicas: self.replicas_for(now, is_same_dc),
        };
        self.out.links.send(vm, Command::Update(update));
    }

    /// Resets the connection to a peer that sends no heartbeats.
    ///
    /// Guard: a connection through a link that was cut may stay blocked until TCP times out, many
    /// minutes after the link is restored, and the peer would be unreachable for that time. The
    /// connection to an unresponsive peer is therefore reset every few seconds.
    fn reset_if_unresponsive(&mut self, now: Instant, vm: VmId) {
        let options = self.membership.options();
        if self.membership.peers().is_alive(options, now, vm) {
            self.last_resets.insert(vm, now);
            return;
        }
        let last = *self.last_resets.get_or_insert_with(vm, || now);
        if now.since(last) >= RESET_INTERVAL {
            self.last_resets.insert(vm, now);
            self.out.links.send(vm, Command::Reset);
        }
    }

    /// Returns the replicas to send to a peer. Only the entry VM that represents its data centre
    /// sends any: those of its own data centre to other data centres, and all that it knows to
    /// peers in its own.
    fn replicas_for(&self, now: Instant, is_same_dc: bool) -> Vec<Arc<Replicas>> {
        if !self.membership.represents_dc(now) {
            return Vec::new();
        }
        let known = self.replicas.iter();
        known
            .filter(|(dc, _)| is_same_dc || **dc == self.identity.dc)
            .map(|(_, it)| it.clone())
            .collect()
    }

    /// Updates the replicas of the own data centre, if they have changed, for sending to peers.
    pub(super) fn publish_replicas(&mut self) {
        let Some(holder) = self.holder_driver.active_holder() else { return };
        let (dc, epoch) = (self.identity.dc, holder.epoch());
        let known = self.replicas.get(&dc);
        let all = replicas::of_holder(holder, known);
        if known.is_some_and(|it| it.all == all && it.epoch == epoch) {
            return;
        }
        let version = known.map_or(1, |it| it.version + 1);
        self.replicas.insert(dc, Arc::new(Replicas { dc, epoch, version, all }));
        self.routes_dirty = true;
        self.replicas_changed = true;
    }

    /// Handles replicas received from a peer.
    pub(super) fn handle_replicas(&mut self, replicas: Arc<Replicas>) {
        let own = replicas.dc == self.identity.dc;
        if own && matches!(self.membership.role(), Role::Holder(epoch) if epoch >= replicas.epoch) {
            return;
        }
        if self.replicas.get(&replicas.dc).is_some_and(|known| !known.is_before(&replicas)) {
            return;
        }
        self.replicas.insert(replicas.dc, replicas);
        self.routes_dirty = true;
        self.replicas_changed = true;
    }

    /// Sends changed replicas without waiting for the next heartbeat.
    pub(super) fn broadcast_replicas(&mut self, now: Instant) {
        if !std::mem::take(&mut self.replicas_changed) || !self.membership.represents_dc(now) {
            return;
        }
        for vm in self.membership.heartbeat_targets() {
            self.send_update(now, vm);
        }
    }

    /// Returns the status of this entry VM.
    pub(super) fn status(&self, now: Instant) -> StatusJson {
        let status = self.membership.status();
        let holder_claim = self.membership.holder_claim();
        StatusJson {
            vm: self.identity.vm.0,
            name: self.identity.name.to_string(),
            dc: self.identity.dcs[self.identity.dc.0 as usize].to_string(),
            ready: status == Status::Ready,
            status: match status {
                Status::Starting => "starting",
                Status::Ready => "ready",
                Status::Leaving => "leaving",
            },
            role: match self.membership.role() {
                Role::Idle => "idle",
                Role::Holder(_) => "holder",
                Role::LeaseRenewer(_) => "caretaker",
            },
            source: self.membership.source().to_string(),
            log_answers: self.membership.log_answers(now),
            next: self.state.next.0,
            generation: self.state.generation.0,
            config_offset: self.config.map(|(offset, _)| offset.0),
            config_since_ms: self.config.map(|(_, since)| since.0),
            holder: holder_claim.map(|it| it.holder.0),
            epoch: holder_claim.map(|it| it.epoch.0),
            released: holder_claim.is_some_and(|it| it.released),
            unsent: self.appends.backlog(),
            peers: self.peers(now),
        }
    }

    fn peers(&self, now: Instant) -> Vec<PeerJson> {
        let (options, peers) = (self.membership.options(), self.membership.peers());
        let peer = |(vm, peer): (VmId, &daisy_membership::Peer)| PeerJson {
            vm: vm.0,
            dc: peer.dc.0,
            listed: peer.listed,
            alive: peers.is_alive(options, now, vm),
            next: peer.last_heartbeat.map(|last| last.next.0),
            generation: peer.last_heartbeat.map(|last| last.generation),
        };
        peers.iter().map(peer).collect()
    }
}
