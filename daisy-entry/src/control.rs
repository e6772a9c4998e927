//! The control task: it alone owns the state machines of an entry VM.
//!
//! Inputs come through one channel, decisions go out to the tasks that hold sockets. Nothing
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
    peer::{Answer, Question},
    snapshot::Restore,
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use self::{append::Appends, fold::UndecodableEntry, holder::Driver, restore::Snapshots};
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

/// Between ticks of the state machines: a fifth of the shortest period that they keep.
const TICK: Duration = Duration::from_millis(100);
/// Inputs that wait for the control task before their senders do.
pub(crate) const INPUT_QUEUE: usize = 1024;
/// The longest pause between looks at the queue of appends.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Who this process is.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub vm: VmId,
    pub name: Name,
    pub dc: DcId,
    /// Names of all data centres.
    pub dcs: Vec<Name>,
    /// The region of each data centre.
    pub regions: Vec<u16>,
    /// Names this process's appends.
    pub sender: u64,
    pub worker_lease: Duration,
    pub holder_timeout: Duration,
    /// The shortest retention of the log that is counted on.
    pub log_retention: Duration,
}

/// The ways out of the control task.
#[derive(Debug)]
pub(crate) struct Outputs {
    pub http: Http,
    pub platform: Platform,
    pub links: Links,
    pub tail: Tail,
    pub plan: watch::Sender<ReadPlan>,
    pub routes: watch::Sender<Arc<Routes>>,
    pub ready: watch::Sender<bool>,
    /// The way back in, for tasks that the control task spawns.
    pub control: mpsc::Sender<Input>,
    pub metrics: Metrics,
}

/// The state machines and what joins them.
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
    driver: Driver,
    replicas: SortedMap<DcId, Arc<Replicas>>,
    snapshots: Snapshots,
    /// A cold start that is not at the log's end yet.
    restore: Option<Restore>,
    /// An entry of the log that did not decode, until it is read again.
    undecodable: Option<UndecodableEntry>,
    /// The offset of the configuration in force and when it came into force here.
    config: Option<(Offset, WallTime)>,
    routes_dirty: bool,
    /// When the link to a silent peer was last given up.
    last_resets: SortedMap<VmId, Instant>,
    /// Whether peers are to be told of replicas at the next tick.
    replicas_changed: bool,
    /// Since when the membership is ready for callers.
    ready_since: Option<Instant>,
}

impl<R: RequestSide<KeyQuery, KeyAnswer>> Control<R> {
    /// A control task that knows nothing yet.
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
            driver: Driver::default(),
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

    /// Runs until every sender of inputs is gone or the task is aborted.
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

    /// Until the queue of appends wants to be looked at.
    fn time_until_wake(&self) -> Duration {
        let wake = self.appends.wake();
        wake.map_or(MAX_WAKE_INTERVAL, |at| at.since(self.clock.now()).min(MAX_WAKE_INTERVAL))
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
            Input::Expired { first, ack } => {
                let next = self.handle_log_expired(first);
                let _ = ack.send(next);
            }
            Input::ReadFailed { source } => self.handle_read_failure(now, source),
            Input::Appended(appended) => self.handle_append_result(now, appended),
            Input::Vms(listing) => {
                self.update_vm_list(now, listing);
                self.confirm_vm_list(now);
            }
            // A peer's answer may cross a newer one of the platform.
            Input::PeerVms(listing) if listing.version <= self.vms_version => {}
            Input::PeerVms(listing) => self.update_vm_list(now, listing),
            Input::VmsUnchanged => self.confirm_vm_list(now),
            Input::Heartbeat { beat, in_flight } => {
                self.requests.peer_in_flight(beat.vm, in_flight);
                self.step_membership(now, Event::Heartbeat(beat));
            }
            Input::Replicas(replicas) => self.handle_replicas(replicas),
            Input::Worker { issuer, epoch, vm, outcome } => {
                self.handle_worker_answer(now, (issuer, epoch), vm, outcome);
            }
            Input::WorkerUpdate { epoch, vm, update } => {
                self.handle_worker_update(now, epoch, vm, update)
            }
            Input::Question { question, reply } => {
                let _ = reply.send(self.answer_peer(now, question));
            }
            Input::Encode { reply } => {
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
            Input::Flushed { reply } => self.notify_when_flushed(reply),
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
        // After the routes, so that the first caller finds them.
        self.publish_readiness(now);
        self.update_metrics(now);
    }

    /// Lets the membership decide, and carries out what it wants.
    fn step_membership(&mut self, now: Instant, event: Event<'_>) {
        let mut actions = Vec::new();
        self.membership.step(now, event, &mut actions);
        for action in actions {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Instant, action: Action) {
        match action {
            Action::Beat(vm) => self.send_update(now, vm),
            Action::Claim => {
                log::info!("event=claim dc={} vm={}", self.identity.dc, self.identity.vm);
                self.out.metrics.claims.inc();
                self.append_claim();
            }
            Action::Release(epoch) => {
                log::info!("event=release dc={} epoch={epoch}", self.identity.dc);
                self.append(Record::Release { dc: self.identity.dc, epoch });
            }
            Action::Become(role) => self.become_role(now, role),
            Action::Read(source) => {
                log::info!("event=log_source source={source}");
                self.update_plan(now);
            }
            Action::Ready(ready) => self.set_ready(now, ready),
        }
    }

    fn update_plan(&mut self, now: Instant) {
        let options = self.membership.options();
        let has_no_peers = self.membership.peers().live_near(options, now).next().is_none();
        let wait = reader::poll_wait(self.identity.holder_timeout, has_no_peers);
        let plan = ReadPlan { source: self.membership.source(), wait };
        self.out.plan.send_if_modified(|it| std::mem::replace(it, plan) != plan);
    }

    fn handle_read_failure(&mut self, now: Instant, source: daisy_membership::Source) {
        match source {
            daisy_membership::Source::Log => self.step_membership(now, Event::LogFailed),
            daisy_membership::Source::Peer(vm) => {
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

    /// Guard: the holder settles the fate of tasks that its predecessor may have started unseen
    /// only by a list that is young enough. An unchanged list that nobody confirms never is,
    /// and such tasks would stay blocked until the list happens to change. A peer's list, which
    /// it may have read long ago, settles nothing.
    fn confirm_vm_list(&mut self, now: Instant) {
        let vms = Arc::clone(&self.vms);
        self.drive_holder(now, daisy_placement::Event::Vms(&vms));
        self.drive_lease_renewer(now, LeaseRenewerEvent::Vms(&vms));
    }

    fn answer_peer(&mut self, now: Instant, question: Question) -> Answer {
        match question {
            Question::Vms { known } if !self.vms.is_empty() && known < Some(self.vms_version) => {
                Answer::Vms { version: self.vms_version, vms: self.vms.to_vec() }
            }
            Question::Live => match self.live(now) {
                Some(live) => Answer::Live(Box::new(live)),
                None => Answer::Unable,
            },
            Question::Vms { .. } | Question::Key(_) => Answer::Unable,
        }
    }

    /// Whether an entry VM has come to life or fallen silent since routes were published.
    fn have_entries_changed(&self, now: Instant) -> bool {
        let entries = routes::entries(now, self.identity.dc, &self.membership);
        entries != self.out.routes.borrow().entries
    }

    fn publish_routes(&mut self, now: Instant) {
        self.routes_dirty = false;
        let version = self.out.routes.borrow().version + 1;
        let parts = routes::RouteSources {
            now,
            dc: self.identity.dc,
            regions: &self.identity.regions,
            state: &self.state,
            vms: &self.vms,
            membership: &self.membership,
            replicas: &self.replicas,
        };
        let routes = Arc::new(routes::build(version, &parts));
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
            alive.filter(|(vm, _)| self.membership.peers().alive(options, now, *vm)).count();
        let metrics = &self.out.metrics;
        metrics.next_offset.set(self.state.next.0 as i64);
        metrics.generation.set(self.state.generation.0 as i64);
        metrics.holder.set(i64::from(matches!(self.membership.role(), Role::Holder(_))));
        metrics.peers_alive.set(alive as i64);
        metrics.unsent.set(self.appends.backlog() as i64);
        metrics.peer_traffic(self.out.links.traffic.sent(), self.out.links.traffic.received());
    }
}
