//! The control task, which owns all state machines of an entry VM.
//!
//! Inputs arrive through one channel; decisions are sent to the tasks that own sockets. Nothing
//! here waits for the network.

mod append;
mod fold;
mod holder;
mod input;
mod publish;
mod query_data;
mod ready;
mod replicas;
mod restore;
mod routes;
mod status;

use std::{sync::Arc, time::Duration};

use daisy_http::Http;
use daisy_ledger::{Record, State};
use daisy_membership::{Action, Event, Membership, Role};
use daisy_model::{DcId, Instant, Name, Offset, SortedMap, Vm, VmId, WallTime};
use daisy_placement::LeaseRenewerEvent;
use daisy_routing::{KeyAnswer, KeyQuery, Routes};
use daisy_wire::{
    peer::{PeerAnswer, PeerQuery},
    snapshot::Restore,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use self::{append::Appends, fold::UndecodableEntry, holder::HolderDriver, restore::Snapshots};
pub(crate) use self::{
    append::{Appended, SubmitOutcome},
    input::{Input, Page},
    query_data::QueryData,
    replicas::Replicas,
    status::StatusJson,
};
use crate::{
    boundary::RequestSide,
    clock::Clock,
    metrics::Metrics,
    peers::{Links, Tail},
    platform::{Platform, VmListing},
    reader::{self, ReadPlan},
};

/// Interval between ticks of the state machines: a fifth of the shortest period that they use.
const TICK: Duration = Duration::from_millis(100);
/// Capacity of the input channel; senders wait while it is full.
pub(crate) const INPUT_QUEUE: usize = 1024;
/// The longest interval between checks of the append queue.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Identity and timing settings of this process.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub vm: VmId,
    pub name: Name,
    pub dc: DcId,
    /// Names of all data centres.
    pub dcs: Vec<Name>,
    /// The region of each data centre.
    pub regions: Vec<u16>,
    /// The sender ID of this process's appends.
    pub sender: u64,
    pub worker_lease: Duration,
    pub holder_timeout: Duration,
    /// The shortest log retention that the process may rely on.
    pub log_retention: Duration,
}

/// Handles through which the control task acts on the rest of the process.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub http: Http,
    pub platform: Platform,
    pub links: Links,
    pub tail: Tail,
    pub plan: watch::Sender<ReadPlan>,
    pub routes: watch::Sender<Arc<Routes>>,
    pub ready: watch::Sender<bool>,
    /// Sends inputs back to the control task from the tasks that it spawns.
    pub control: mpsc::Sender<Input>,
    pub metrics: Metrics,
}

/// The control task: the state machines and the state that connects them.
pub(crate) struct Control<R> {
    clock: Clock,
    identity: Identity,
    requests: R,
    out: Outputs,
    membership: Membership,
    state: Arc<State>,
    vms: Arc<[Vm]>,
    vms_version: u64,
    appends: Appends,
    holder_driver: HolderDriver,
    replicas: SortedMap<DcId, Arc<Replicas>>,
    snapshots: Snapshots,
    /// A cold start that has not reached the end of the log yet.
    restore: Option<Restore>,
    /// A log entry that failed to decode and has not been read a second time yet.
    undecodable: Option<UndecodableEntry>,
    /// The offset of the configuration in force, and when it came into force in this process.
    config: Option<(Offset, WallTime)>,
    routes_dirty: bool,
    /// When each peer was last reachable or its connection was last reset.
    last_resets: SortedMap<VmId, Instant>,
    /// Whether the replicas have changed and must be sent to peers at the next tick.
    replicas_changed: bool,
    /// Since when the membership has been ready for callers.
    ready_since: Option<Instant>,
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// Creates a control task with empty state.
    pub fn new(
        clock: Clock,
        identity: Identity,
        membership: Membership,
        requests: R,
        out: Outputs,
    ) -> Control<R> {
        let appends = Appends::new(identity.sender);
        Control {
            clock,
            identity,
            requests,
            out,
            membership,
            state: Arc::default(),
            vms: Arc::from([]),
            vms_version: 0,
            appends,
            holder_driver: HolderDriver::default(),
            replicas: SortedMap::new(),
            snapshots: Snapshots::new(clock.now()),
            restore: None,
            undecodable: None,
            config: None,
            routes_dirty: true,
            last_resets: SortedMap::new(),
            replicas_changed: false,
            ready_since: None,
        }
    }

    /// Runs until every sender of inputs is dropped or the task is aborted.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = sleep(self.time_until_wake()) => {}
            }
            self.flush(self.clock.now());
        }
    }

    /// Returns the time until the append queue must be checked again.
    fn time_until_wake(&self) -> Duration {
        let next_step_at = self.appends.next_step_at();
        next_step_at
            .map_or(MAX_WAKE_INTERVAL, |at| at.since(self.clock.now()).min(MAX_WAKE_INTERVAL))
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Page(page, ack) => {
                let next = self.handle_page(now, page);
                let _ = ack.send(next);
            }
            Input::Snapshot { bytes, ack } => {
                let next = self.load_peer_state(now, &bytes);
                let _ = ack.send(next);
            }
            Input::LogExpired { first, ack } => {
                let next = self.handle_log_expired(first);
                let _ = ack.send(next);
            }
            Input::ReadFailed { source } => self.handle_read_failure(now, source),
            Input::Appended(appended) => self.handle_append_result(now, appended),
            Input::Vms(listing) => {
                self.update_vm_list(now, listing);
                self.confirm_vm_list(now);
            }
            // A newer list may have arrived from the platform while the peer answered.
            Input::PeerVms(listing) if listing.version <= self.vms_version => {}
            Input::PeerVms(listing) => self.update_vm_list(now, listing),
            Input::VmsUnchanged => self.confirm_vm_list(now),
            Input::Heartbeat { heartbeat, in_flight } => {
                self.requests.peer_in_flight(heartbeat.vm, in_flight);
                self.step_membership(now, Event::Heartbeat(heartbeat));
            }
            Input::Replicas(replicas) => self.handle_replicas(replicas),
            Input::WorkerCallEnded { issuer, epoch, vm, outcome } => {
                self.handle_worker_answer(now, (issuer, epoch), vm, outcome);
            }
            Input::WorkerUpdate { epoch, vm, update } => {
                self.handle_worker_update(now, epoch, vm, update)
            }
            Input::PeerQuery { query, reply } => {
                let _ = reply.send(self.answer_peer(now, query));
            }
            Input::EncodeState { reply } => {
                let _ = reply.send(self.encode());
            }
            Input::Submit { record, reply } => self.submit(record, reply),
            Input::QueryData { reply } => {
                let _ = reply.send(self.query_data(now));
            }
            Input::Status { reply } => {
                let _ = reply.send(self.status(now));
            }
            Input::Stop => self.step_membership(now, Event::Stop),
            Input::NotifyWhenFlushed { reply } => self.notify_when_flushed(reply),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.step_membership(now, Event::Tick);
        self.drive_holder(now, daisy_placement::Event::Tick);
        self.drive_lease_renewer(now, LeaseRenewerEvent::Tick);
        self.update_plan(now);
        self.publish_replicas();
        self.broadcast_replicas(now);
        self.write_snapshot(now);
        if self.routes_dirty || self.have_entries_changed(now) {
            self.publish_routes(now);
        }
        // Comes after the routes are published, so that the first caller finds them.
        self.publish_readiness(now);
        self.update_metrics(now);
    }

    /// Passes an event to the membership and executes the resulting actions.
    fn step_membership(&mut self, now: Instant, event: Event<'_>) {
        let mut actions = Vec::new();
        self.membership.step(now, event, &mut actions);
        for action in actions {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Instant, action: Action) {
        match action {
            Action::Heartbeat(vm) => self.send_update(now, vm),
            Action::Claim => {
                log::info!("event=claim dc={} vm={}", self.identity.dc, self.identity.vm);
                self.out.metrics.claims.inc();
                self.append_claim();
            }
            Action::Release(epoch) => {
                log::info!("event=release dc={} epoch={epoch}", self.identity.dc);
                self.append(Record::Release { dc: self.identity.dc, epoch });
            }
            Action::ChangeRole(role) => self.become_role(now, role),
            Action::Read(source) => {
                log::info!("event=log_source source={source}");
                self.update_plan(now);
            }
            Action::Ready(ready) => self.set_ready(now, ready),
        }
    }

    fn update_plan(&mut self, now: Instant) {
        let options = self.membership.options();
        let has_no_peers = self.membership.peers().live_local_peers(options, now).next().is_none();
        let wait = reader::poll_wait(self.identity.holder_timeout, has_no_peers);
        let plan = ReadPlan { source: self.membership.source(), wait };
        self.out.plan.send_if_modified(|it| std::mem::replace(it, plan) != plan);
    }

    fn handle_read_failure(&mut self, now: Instant, source: daisy_membership::RecordSource) {
        match source {
            daisy_membership::RecordSource::Log => self.step_membership(now, Event::LogFailed),
            daisy_membership::RecordSource::Peer(vm) => {
                self.step_membership(now, Event::SourceFailed(vm))
            }
        }
    }

    fn update_vm_list(&mut self, now: Instant, listing: VmListing) {
        let VmListing { version, mut vms } = listing;
        vms.sort_by_key(|vm| vm.id);
        self.vms_version = version;
        self.vms = Arc::from(vms);
        let vms = Arc::clone(&self.vms);
        let others = vms.iter().filter(|vm| vm.role == daisy_model::VmRole::Entry);
        let others = others.filter(|vm| vm.id != self.identity.vm);
        self.out.links.set_addresses(others.map(|vm| (vm.id, vm.control)).collect());
        self.step_membership(now, Event::Vms(&vms));
        self.routes_dirty = true;
    }

    /// Passes a list that the platform has just confirmed to the holder and the lease renewer.
    ///
    /// Guard: the holder resolves the outcome of tasks that its predecessor may have started
    /// without recording it only by a list that is recent enough. Without this confirmation an
    /// unchanged list would never be recent enough, and such tasks would stay blocked until the
    /// list happened to change. A list from a peer does not confirm anything, because the peer may
    /// have read it long ago.
    fn confirm_vm_list(&mut self, now: Instant) {
        let vms = Arc::clone(&self.vms);
        self.drive_holder(now, daisy_placement::Event::Vms(&vms));
        self.drive_lease_renewer(now, LeaseRenewerEvent::Vms(&vms));
    }

    fn answer_peer(&mut self, now: Instant, query: PeerQuery) -> PeerAnswer {
        match query {
            PeerQuery::Vms { known } if !self.vms.is_empty() && known < Some(self.vms_version) => {
                PeerAnswer::Vms { version: self.vms_version, vms: self.vms.to_vec() }
            }
            PeerQuery::LiveView => match self.live_view(now) {
                Some(live) => PeerAnswer::LiveView(Box::new(live)),
                None => PeerAnswer::Unable,
            },
            PeerQuery::Vms { .. } | PeerQuery::Key(_) => PeerAnswer::Unable,
        }
    }

    /// Returns whether an entry VM has become reachable or unreachable since routes were published.
    fn have_entries_changed(&self, now: Instant) -> bool {
        let entries = routes::live_entries(now, self.identity.dc, &self.membership);
        entries != self.out.routes.borrow().live_entries
    }

    fn publish_routes(&mut self, now: Instant) {
        self.routes_dirty = false;
        let version = self.out.routes.borrow().version + 1;
        let sources = routes::RouteSources {
            now,
            dc: self.identity.dc,
            regions: &self.identity.regions,
            state: &self.state,
            vms: &self.vms,
            membership: &self.membership,
            replicas: &self.replicas,
        };
        let routes = Arc::new(routes::build(version, &sources));
        self.out.routes.send_if_modified(|it| {
            let unversioned = Routes { version: it.version, ..Routes::clone(&routes) };
            if **it == unversioned {
                return false;
            }
            *it = routes;
            true
        });
    }

    fn update_metrics(&self, now: Instant) {
        let options = self.membership.options();
        let alive = self.membership.peers().iter();
        let alive =
            alive.filter(|(vm, _)| self.membership.peers().is_alive(options, now, *vm)).count();
        let metrics = &self.out.metrics;
        metrics.next_offset.set(self.state.next.0 as i64);
        metrics.generation.set(self.state.generation.0 as i64);
        metrics.holder.set(i64::from(matches!(self.membership.role(), Role::Holder(_))));
        metrics.peers_alive.set(alive as i64);
        metrics.unsent.set(self.appends.backlog() as i64);
        metrics.peer_traffic(self.out.links.traffic.sent(), self.out.links.traffic.received());
    }
}
