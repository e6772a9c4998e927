//! The other entry VMs, as known from the VM list and from heartbeats.

use daisy_model::{DcId, Instant, SortedMap, Vm, VmId, VmRole, VmStatus};

use crate::{Heartbeat, Options, Status};

/// By how much the sequence number of a reordered heartbeat may be lower than the newest one.
const REORDER_WINDOW: u32 = 8;

/// Another entry VM.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// Its data centre.
    pub dc: DcId,
    /// Whether the platform's list contains it with the status live.
    pub listed: bool,
    /// When its last heartbeat was received.
    pub last_received: Option<Instant>,
    /// Its last heartbeat.
    pub last_heartbeat: Option<Heartbeat>,
    /// When this process last sent it a heartbeat; `None` makes one due at once.
    pub(crate) last_sent: Option<Instant>,
}

impl Peer {
    fn new(dc: DcId) -> Peer {
        Peer { dc, listed: false, last_received: None, last_heartbeat: None, last_sent: None }
    }

    /// Returns whether a heartbeat was received within the timeout; `local_count` is the number of
    /// peers in the own data centre.
    fn is_alive(&self, options: &Options, local_count: usize, now: Instant) -> bool {
        let timeout = match self.dc == options.dc {
            true => options.peer_timeout(local_count),
            false => options.remote_timeout(),
        };
        self.last_received.is_some_and(|last_received| now.since(last_received) <= timeout)
    }

    /// Returns whether its last heartbeat announced a planned stop.
    pub fn is_leaving(&self) -> bool {
        self.last_heartbeat.is_some_and(|last| last.status == Status::Leaving)
    }
}

/// All other entry VMs, sorted by id.
#[derive(Debug, Default)]
pub struct Peers {
    peers: SortedMap<VmId, Peer>,
    local_count: usize,
}

impl Peers {
    /// Updates the peers from the platform's VM list.
    pub(crate) fn update_listed(&mut self, options: &Options, now: Instant, vms: &[Vm]) {
        for (_, peer) in self.peers.iter_mut() {
            peer.listed = false;
        }
        let entry_vms = vms.iter().filter(|vm| vm.role == VmRole::Entry && vm.id != options.vm);
        for vm in entry_vms {
            let peer = self.peers.get_or_insert_with(vm.id, || Peer::new(vm.dc));
            peer.listed = vm.status == VmStatus::Live;
        }
        // Peers that are neither listed nor alive are removed: the timeouts grow with the number
        // of peers, so that each VM ever replaced would delay the detection of a lost one.
        let known = |id: &VmId| vms.iter().any(|vm| vm.id == *id);
        let local_count = self.local_count;
        self.peers.retain(|id, peer| known(id) || peer.is_alive(options, local_count, now));
        self.recount_local(options);
    }

    /// Records a heartbeat; returns `false` if a newer one was received before.
    pub(crate) fn record_heartbeat(
        &mut self,
        options: &Options,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> bool {
        let peer = self.peers.get_or_insert_with(heartbeat.vm, || Peer::new(heartbeat.dc));
        // A restarted process counts from zero again, so only a slightly lower number is treated
        // as reordered.
        let reordered = peer.last_heartbeat.is_some_and(|last| {
            heartbeat.seq < last.seq && last.seq - heartbeat.seq < REORDER_WINDOW
        });
        if reordered {
            return false;
        }
        peer.last_received = Some(now);
        peer.last_heartbeat = Some(heartbeat);
        self.recount_local(options);
        true
    }

    /// Restarts the timeouts of the peers that were alive at `paused_at`, after a pause of this
    /// process until `now`.
    pub(crate) fn restart_timeouts(&mut self, options: &Options, paused_at: Instant, now: Instant) {
        let local_count = self.local_count;
        for (_, peer) in self.peers.iter_mut() {
            if peer.is_alive(options, local_count, paused_at) {
                peer.last_received = Some(now);
            }
        }
    }

    /// Returns the peer `vm`.
    pub fn get(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    /// Iterates over all peers, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Peer)> {
        self.peers.iter().map(|(vm, peer)| (*vm, peer))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (VmId, &mut Peer)> {
        self.peers.iter_mut().map(|(vm, peer)| (*vm, peer))
    }

    /// Returns the number of other entry VMs in the own data centre.
    pub fn local_count(&self) -> usize {
        self.local_count
    }

    /// Returns whether a heartbeat of `vm` was received within its timeout.
    pub fn is_alive(&self, options: &Options, now: Instant, vm: VmId) -> bool {
        self.peers.get(&vm).is_some_and(|peer| peer.is_alive(options, self.local_count, now))
    }

    /// Iterates over the live peers of the own data centre.
    pub fn live_local_peers<'a>(
        &'a self,
        options: &'a Options,
        now: Instant,
    ) -> impl Iterator<Item = (VmId, &'a Peer)> {
        self.iter()
            .filter(move |(vm, peer)| peer.dc == options.dc && self.is_alive(options, now, *vm))
    }

    fn recount_local(&mut self, options: &Options) {
        self.local_count = self.peers.iter().filter(|(_, peer)| peer.dc == options.dc).count();
    }
}
