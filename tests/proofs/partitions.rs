//! Links between VMs, and network partitions that they cause.

use std::{net::SocketAddr, time::Duration};

use daisy_history::EventKind;
use daisy_standin::{
    Faults, Link,
    link::{self, ForwardRule, LinkFaults},
    platform::AddressOverride,
};
use daisy_wire::platform::{RoleJson, VmJson};
use tokio::time::sleep;

use crate::cluster::{CALL_TIMEOUT, Cluster};

/// The time of several reads of the VM list and of the reconnections that follow.
const OVERRIDE_DELAY: Duration = Duration::from_millis(1_000);

impl Cluster {
    /// Inserts a link between a data centre and all others, and waits until they use it.
    pub async fn insert_link_around_dc(&self, dc: u16) -> Link {
        self.insert_link(|from, to| (to.dc == dc) != (from.dc == dc)).await
    }

    /// Inserts a link between one entry VM and all others, but not between it and workers.
    pub async fn insert_link_around_entry(&self, index: usize) -> Link {
        let id = self.entries[index].0.id;
        let is_entry = |vm: &VmJson| matches!(vm.role, RoleJson::Entry);
        self.insert_link(|from, to| is_entry(to) && (from.id == id) != (to.id == id)).await
    }

    /// Cuts off one entry VM from the others and from the platform, but not from the workers.
    pub async fn isolate_entry(&self, link: &Link, index: usize) {
        let (vm, process) = &self.entries[index];
        process.record(EventKind::CutOff);
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
        self.set_platform_faults(Faults { cut: vec![vm.name.clone()], ..Faults::default() }).await;
    }

    /// Reconnects an entry VM that was cut off.
    pub async fn reconnect_entry(&self, link: &Link, index: usize) {
        self.set_platform_faults(Faults::default()).await;
        link.set_faults(LinkFaults::default());
        self.entries[index].1.record(EventKind::Healed);
    }

    /// Inserts one link between an entry VM and another VM, for all such pairs that `is_linked`
    /// selects, and waits until the entry VMs use it.
    async fn insert_link(&self, is_linked: impl Fn(&VmJson, &VmJson) -> bool) -> Link {
        let vms = || self.entries.iter().chain(&self.workers).map(|(vm, _)| vm);
        let (mut forward_rules, mut overrides) = (Vec::new(), Vec::new());
        for (from, _) in &self.entries {
            for vm in vms().filter(|vm| is_linked(from, vm)) {
                let mut forward = |to: SocketAddr| {
                    let listen =
                        self.addresses.link(u32::try_from(forward_rules.len()).expect("few pairs"));
                    forward_rules.push(ForwardRule { listen, to });
                    listen
                };
                let control = forward(vm.control);
                let backend = vm.backend.map(&mut forward);
                let address_override = AddressOverride {
                    from: from.name.clone(),
                    vm: vm.id,
                    control: Some(control),
                    backend,
                };
                overrides.push(address_override);
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
        let body = serde_json::to_vec(&overrides).expect("JSON");
        let answer =
            self.client.post(self.addresses.platform(), "/standin/views", body, CALL_TIMEOUT).await;
        assert!(answer.as_ref().is_ok_and(|it| it.status.is_success()), "{answer:?}");
        sleep(OVERRIDE_DELAY).await;
        link
    }

    /// Cuts off a data centre from the others and from the platform.
    pub async fn isolate_dc(&self, link: &Link, dc: u16) {
        let entries = || self.entries.iter().filter(|(vm, _)| vm.dc == dc);
        let cut = entries().map(|(vm, _)| vm.name.clone()).collect();
        entries().for_each(|(_, process)| process.record(EventKind::CutOff));
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
        self.set_platform_faults(Faults { cut, ..Faults::default() }).await;
    }

    /// Reconnects a data centre that was cut off.
    pub async fn reconnect_dc(&self, link: &Link, dc: u16) {
        self.set_platform_faults(Faults::default()).await;
        link.set_faults(LinkFaults::default());
        let entries = self.entries.iter().filter(|(vm, _)| vm.dc == dc);
        entries.for_each(|(_, process)| process.record(EventKind::Healed));
    }
}
