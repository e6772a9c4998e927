//! The policy under which the VMs of a deployment share its capacity.

use std::time::Duration;

use serde_saphyr::Spanned;

use crate::{
    Finding,
    fields::{Fields, Findings},
    node::Node,
    read::syntax_finding,
};

const FIELDS: &[&str] = &["long_running_admission", "query_hold_ms", "relay"];
const ADMISSION_FIELDS: &[&str] = &["protected_priority"];
const RELAY_FIELDS: &[&str] = &["min_shards"];

/// A longer hold could outlast what callers wait for an answer.
const QUERY_HOLD_MAX: Duration = Duration::from_millis(1_000);

/// Rules that an operator chooses for all VMs of a deployment. Without a file, none applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    /// Long-running jobs are accepted only while they leave the capacity that finite jobs need of
    /// queues with this priority or a lower value; `None` accepts all.
    pub protected_priority: Option<i32>,
    /// How long a caller's query of a job that has not ended is held for its end at most; zero
    /// answers at once.
    pub query_hold: Duration,
    /// With this many shards or more, a few VMs of each data centre read the log for the others;
    /// `None` lets each VM read for itself.
    pub relay_min_shards: Option<u16>,
}

/// Reads and validates the policy in `text`.
///
/// # Errors
///
/// All findings, in the order of the text; a syntax error is a single finding.
pub fn read_policy(text: &str) -> Result<Policy, Vec<Finding>> {
    let root: Spanned<Node> = serde_saphyr::from_str(text).map_err(|e| vec![syntax_finding(&e)])?;
    let mut findings = Findings::default();
    let policy = policy(root, &mut findings);
    if findings.0.is_empty() {
        return Ok(policy);
    }
    findings.0.sort();
    Err(findings.0)
}

fn policy(root: Spanned<Node>, findings: &mut Findings) -> Policy {
    let mut fields = Fields::new(root, "policy", findings);
    let mut policy = Policy::default();
    if let Some(node) = fields.try_node("long_running_admission", findings) {
        let mut admission = Fields::new(node, "long_running_admission", findings);
        let priority = admission.value::<i32>("protected_priority", "a whole number", findings);
        policy.protected_priority = priority.map(|it| it.value);
        admission.finish(ADMISSION_FIELDS, findings);
    }
    if let Some(hold) = fields.try_value::<u64>("query_hold_ms", "a whole number", findings) {
        policy.query_hold = Duration::from_millis(hold.value);
        if policy.query_hold > QUERY_HOLD_MAX {
            let max = QUERY_HOLD_MAX.as_millis();
            findings.add(hold.position, format!("query_hold_ms: more than the maximum, {max}"));
        }
    }
    if let Some(node) = fields.try_node("relay", findings) {
        let mut relay = Fields::new(node, "relay", findings);
        let shards = relay.value::<u16>("min_shards", "a whole number up to 65535", findings);
        policy.relay_min_shards = shards.map(|it| it.value);
        relay.finish(RELAY_FIELDS, findings);
    }
    fields.finish(FIELDS, findings);
    policy
}
