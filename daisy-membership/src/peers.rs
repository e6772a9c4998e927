//! What is known of the other entry VMs.

use daisy_model::{DcId, Instant, SortedMap, Vm, VmId, VmRole, VmStatus};

use crate::{Heartbeat, Options, Status};

/// How many numbers a late heartbeat may lie behind the newest one.
const REORDER_WINDOW: u32 = 8;

/// Another entry VM.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// Its data centre.
    pub dc: DcId,
    /// Whether the platform's list has it, and not as leaving.
    pub listed: bool,
    /// When its last heartbeat came.
    pub heard: Option<Instant>,
    /// Its last heartbeat.
    pub last: Option<Heartbeat>,
    /// When the last heartbeat was sent to it.
    pub(crate) told: Option<Instant>,
}

impl Peer {
    fn new(dc: DcId) -> Peer {
        Peer { dc, listed: false, heard: None, last: None, told: None }
    }

    /// Whether its last heartbeat said that it leaves.
    pub fn leaving(&self) -> bool {
        self.last.is_some_and(|last| last.status == Status::Leaving)
    }
}

/// All other entry VMs, by number.
#[derive(Debug, Default)]
pub struct Peers {
    peers: SortedMap<VmId, Peer>,
    near: usize,
}

impl Peers {
    /// Takes the platform's list in.
    pub(crate) fn list(&mut self, options: &Options, vms: &[Vm]) {
        for (_, peer) in self.peers.iter_mut() {
            peer.listed = false;
        }
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry && vm.id != options.vm);
        for vm in entries {
            let peer = self.peers.get_or_insert_with(vm.id, || Peer::new(vm.dc));
            peer.listed = vm.status == VmStatus::Live;
        }
        // What the list has dropped and nobody hears of is forgotten, so that years of
        // replaced VMs do not pile up.
        let known = |id: &VmId| vms.iter().any(|vm| vm.id == *id);
        self.peers.retain(|id, peer| known(id) || peer.heard.is_some());
        self.count(options);
    }

    /// Takes a heartbeat in; `false` when it is older than one that came before.
    pub(crate) fn hear(&mut self, options: &Options, now: Instant, beat: Heartbeat) -> bool {
        let peer = self.peers.get_or_insert_with(beat.vm, || Peer::new(beat.dc));
        // A restarted process counts from zero again: only a little lower is out of order.
        let reordered = peer
            .last
            .is_some_and(|last| beat.seq < last.seq && last.seq - beat.seq < REORDER_WINDOW);
        if reordered {
            return false;
        }
        peer.heard = Some(now);
        peer.last = Some(beat);
        self.count(options);
        true
    }

    /// Takes silence that was our own out of the peers' account.
    pub(crate) fn forgive(&mut self, now: Instant) {
        for (_, peer) in self.peers.iter_mut() {
            if peer.heard.is_some() {
                peer.heard = Some(now);
            }
        }
    }

    /// The peer `vm`.
    pub fn get(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    /// All peers by number.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Peer)> {
        self.peers.iter().map(|(vm, peer)| (*vm, peer))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (VmId, &mut Peer)> {
        self.peers.iter_mut().map(|(vm, peer)| (*vm, peer))
    }

    /// The number of other entry VMs in the own data centre.
    pub fn near(&self) -> usize {
        self.near
    }

    /// Whether `vm` was heard of lately.
    pub fn alive(&self, options: &Options, now: Instant, vm: VmId) -> bool {
        let Some(peer) = self.peers.get(&vm) else { return false };
        let timeout = match peer.dc == options.dc {
            true => options.peer_timeout(self.near),
            false => options.far_timeout(),
        };
        peer.heard.is_some_and(|heard| now.since(heard) <= timeout)
    }

    /// The live peers of the own data centre.
    pub fn live_local_peers<'a>(
        &'a self,
        options: &'a Options,
        now: Instant,
    ) -> impl Iterator<Item = (VmId, &'a Peer)> {
        self.iter().filter(move |(vm, peer)| peer.dc == options.dc && self.alive(options, now, *vm))
    }

    fn count(&mut self, options: &Options) {
        self.near = self.peers.iter().filter(|(_, peer)| peer.dc == options.dc).count();
    }
}
