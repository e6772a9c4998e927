//! How a holder works.

use std::time::Duration;

use daisy_model::{DcId, Epoch, Name};

use crate::throttle::ThrottleControl;

/// A data centre and the region that it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentre {
    /// The name that jobs prefer it by.
    pub name: Name,
    /// Data centres of one region have the same number.
    pub region: u16,
}

/// How a holder works.
#[derive(Debug, Clone)]
pub struct Options {
    /// The data centre held.
    pub dc: DcId,
    /// The fencing token of this holding.
    pub epoch: Epoch,
    /// How long a worker's tasks go on without a call.
    pub lease: Duration,
    /// Seeds every random choice.
    pub seed: u64,
    /// All data centres in the order of their numbers; empty if there is only one.
    pub data_centres: Vec<DataCentre>,
    /// Periods and bounds.
    pub limits: Limits,
}

impl Options {
    /// Options of a cluster with one data centre, at the limits of the design.
    pub fn new(dc: DcId, epoch: Epoch, lease: Duration, seed: u64) -> Options {
        Options { dc, epoch, lease, seed, data_centres: Vec::new(), limits: Limits::default() }
    }
}

/// Periods and bounds of a holder.
#[derive(Debug, Clone)]
pub struct Limits {
    /// A worker is called at least this often; at most half of the lease is used.
    pub poll_interval: Duration,
    /// Before a worker that did not answer is called again.
    pub retry_interval: Duration,
    /// Between two records of the same sort.
    pub flush_interval: Duration,
    /// Before a record that the ledger does not show is appended again.
    pub resend_after: Duration,
    /// Added to the lease before a VM that has left the list counts as gone for good.
    pub lost_vm_margin: Duration,
    /// Per rank of preference: before the next data centre checks a pending task out.
    pub fallback_delay: Duration,
    /// The same for urgent and critical work, which has 3.5 s in all.
    pub urgent_fallback_delay: Duration,
    /// Before a checked-out task that found no room is given back.
    pub return_after: Duration,
    /// Before batch tasks that never found room are refused for good, if their job may be.
    pub refuse_after: Duration,
    /// Checked-out tasks without a place kept for an outage of the log.
    pub reserve_tasks: u32,
    /// Candidates weighed for one start.
    pub candidates: usize,
    /// How batch work beside services is limited; `None` for what the policy's weights say.
    pub control: Option<ThrottleControl>,
    /// Tasks named in one record.
    pub max_record_tasks: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            poll_interval: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
            flush_interval: Duration::from_millis(200),
            resend_after: Duration::from_secs(5),
            lost_vm_margin: Duration::from_secs(5),
            fallback_delay: Duration::from_secs(5),
            urgent_fallback_delay: Duration::from_secs(1),
            return_after: Duration::from_secs(15),
            refuse_after: Duration::from_secs(600),
            reserve_tasks: 64,
            candidates: 12,
            control: None,
            max_record_tasks: 512,
        }
    }
}
