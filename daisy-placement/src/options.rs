//! The options of a holder.

use std::time::Duration;

use daisy_model::{DcId, Epoch, Name};

use crate::throttle::ThrottleControl;

/// A data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentre {
    /// The name under which jobs list it.
    pub name: Name,
    /// The region's number, equal for all data centres of one region.
    pub region: u16,
}

/// The options of a holder.
#[derive(Debug, Clone)]
pub struct Options {
    /// The data centre that is held.
    pub dc: DcId,
    /// The epoch of the holder, its fencing token.
    pub epoch: Epoch,
    /// How long a worker's tasks go on without a call.
    pub lease: Duration,
    /// The seed of all random choices.
    pub seed: u64,
    /// All data centres in the order of their ids; empty if there is only one.
    pub data_centres: Vec<DataCentre>,
    /// Intervals and bounds.
    pub limits: Limits,
}

impl Options {
    /// Creates options for a cluster with one data centre and default limits.
    pub fn new(dc: DcId, epoch: Epoch, lease: Duration, seed: u64) -> Options {
        Options { dc, epoch, lease, seed, data_centres: Vec::new(), limits: Limits::default() }
    }
}

/// The intervals and bounds of a holder.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The longest interval between two calls of a worker; at most half of the lease is used.
    pub poll_interval: Duration,
    /// The time before a worker that did not answer is called again.
    pub retry_interval: Duration,
    /// The least interval between two appends of gathered records.
    pub flush_interval: Duration,
    /// The time before a record that the ledger does not show is appended again.
    pub resend_after: Duration,
    /// The time added to the lease before a VM that has left the list is treated as lost for
    /// good.
    pub lost_vm_margin: Duration,
    /// The time, per rank of preference, before the next data centre checks a pending task out.
    pub fallback_delay: Duration,
    /// The `fallback_delay` of urgent and critical work, which must start within 3.5 s in total.
    pub urgent_fallback_delay: Duration,
    /// The time before a checked-out task that found no capacity is returned.
    pub return_after: Duration,
    /// The time before batch tasks that never found capacity are refused for good, if their job
    /// allows it.
    pub refuse_after: Duration,
    /// The number of tasks checked out beyond the free capacity, as work for an outage of the
    /// log.
    pub reserve_tasks: u32,
    /// The number of candidate workers considered for one start.
    pub candidates: usize,
    /// How batch work beside services is throttled; `None` derives it from the policy's weights.
    pub control: Option<ThrottleControl>,
    /// The maximum number of tasks in one record.
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
