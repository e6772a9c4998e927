//! Builders of small jobs, VMs and commands.

use std::net::SocketAddr;

use daisy_model::{
    Command, DcId, JobKind, JobSpec, Name, Priority, Resources, Tolerance, Vm, VmId, VmRole,
    VmStatus,
};

pub fn name(text: &str) -> Name {
    Name::new(text).expect("fixture names are valid")
}

pub fn size(cores: u32, gib: u32) -> Resources {
    Resources { cpu_milli: cores * 1_000, memory_mib: gib * 1_024, accelerators: 0 }
}

pub fn batch(text: &str, tasks: u32, size: Resources) -> JobSpec {
    JobSpec {
        name: name(text),
        team: name("bakers"),
        kind: JobKind::Batch,
        tasks,
        size,
        priority: Priority::Normal,
        tolerance: Tolerance { delay: true, evict: true, refuse: false },
        restartable: true,
        run_time: None,
        data_centres: Vec::new(),
        region_bytes: 0,
    }
}

pub fn service(text: &str, tasks: u32, size: Resources) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Critical,
        tolerance: Tolerance { delay: false, evict: false, refuse: false },
        ..batch(text, tasks, size)
    }
}

pub fn quota(limit: Resources) -> Command {
    Command::Quota { team: name("bakers"), limit }
}

pub fn vm(id: u32, capacity: Resources) -> Vm {
    let addr: SocketAddr = ([127, 0, 0, 1], 1).into();
    Vm {
        id: VmId(id),
        name: name(&format!("w-{id}")),
        dc: DcId(0),
        rack: (id % 4) as u16,
        role: VmRole::Worker,
        status: VmStatus::Live,
        control: addr,
        backend: Some(addr),
        capacity,
    }
}
