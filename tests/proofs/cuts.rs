//! Links between VMs, and cuts of them.

use std::{net::SocketAddr, time::Duration};

use daisy_history::EventKind;
use daisy_standin::{
    Faults, Link,
    link::{self, ForwardRule, LinkFaults},
    platform::AddressOverride,
};
use daisy_wire::platform::{RoleJson, VmJson};
use tokio::time::sleep;

use crate::cluster::{Cluster, SOON};

/// Several reads of the VM list, and connections made anew.
const VIEWS_SEEN: Duration = Duration::from_millis(1_000);

impl Cluster {
    /// Puts a link between a data centre and all others, and waits until they use it.
    pub async fn link_off(&self, dc: u16) -> Link {
        self.link(|from, to| (to.dc == dc) != (from.dc == dc)).await
    }

    /// Puts a link between one entry VM and all others, but not its workers.
    pub async fn link_off_entry(&self, at: usize) -> Link {
        let id = self.entries[at].0.id;
        let is_entry = |vm: &VmJson| matches!(vm.role, RoleJson::Entry);
        self.link(|from, to| is_entry(to) && (from.id == id) != (to.id == id)).await
    }

    /// Cuts one entry VM off from the others and from the platform, but not from its workers.
    pub async fn cut_entry(&self, link: &Link, at: usize) {
        let (vm, process) = &self.entries[at];
        process.record(EventKind::CutOff);
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
        self.platform_faults(Faults { cut: vec![vm.name.clone()], ..Faults::default() }).await;
    }

    /// Takes the cut of an entry VM back.
    pub async fn heal_entry(&self, link: &Link, at: usize) {
        self.platform_faults(Faults::default()).await;
        link.set_faults(LinkFaults::default());
        self.entries[at].1.record(EventKind::Healed);
    }

    /// Puts one link between all pairs of an entry VM and another VM that `between` chooses.
    async fn link(&self, between: impl Fn(&VmJson, &VmJson) -> bool) -> Link {
        let vms = || self.entries.iter().chain(&self.workers).map(|(vm, _)| vm);
        let (mut forward_rules, mut views) = (Vec::new(), Vec::new());
        for (from, _) in &self.entries {
            for vm in vms().filter(|vm| between(from, vm)) {
                let mut through = |to: SocketAddr| {
                    let listen =
                        self.at.link(u32::try_from(forward_rules.len()).expect("few pairs"));
                    forward_rules.push(ForwardRule { listen, to });
                    listen
                };
                let control = through(vm.control);
                let backend = vm.backend.map(&mut through);
                let view = AddressOverride {
                    from: from.name.clone(),
                    vm: vm.id,
                    control: Some(control),
                    backend,
                };
                views.push(view);
            }
        }
        let control = SocketAddr::from(([127, 0, 0, 1], 0));
        let faults = LinkFaults::default();
        let options = link::Options {
            name: "link".to_owned(),
            control,
            forward_rules,
            faults,
            history: None,
        };
        let link = Link::start(options).await.expect("a link");
        let body = serde_json::to_vec(&views).expect("JSON");
        let answer = self.client.post(self.at.platform(), "/standin/views", body, SOON).await;
        assert!(answer.as_ref().is_ok_and(|it| it.status.is_success()), "{answer:?}");
        sleep(VIEWS_SEEN).await;
        link
    }

    /// Cuts a data centre off from the others and from the platform.
    pub async fn cut(&self, link: &Link, dc: u16) {
        let inside = || self.entries.iter().filter(|(vm, _)| vm.dc == dc);
        let cut = inside().map(|(vm, _)| vm.name.clone()).collect();
        inside().for_each(|(_, process)| process.record(EventKind::CutOff));
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
        self.platform_faults(Faults { cut, ..Faults::default() }).await;
    }

    /// Takes a cut back.
    pub async fn heal(&self, link: &Link, dc: u16) {
        self.platform_faults(Faults::default()).await;
        link.set_faults(LinkFaults::default());
        let inside = self.entries.iter().filter(|(vm, _)| vm.dc == dc);
        inside.for_each(|(_, process)| process.record(EventKind::Healed));
    }
}
