//! The policy under which the VMs of a deployment share its capacity.

use serde_saphyr::Spanned;

use crate::{
    Finding,
    fields::{Fields, Findings},
    node::Node,
    read::syntax_finding,
};

const FIELDS: &[&str] = &["long_running_admission"];
const ADMISSION_FIELDS: &[&str] = &["protected_priority"];

/// Rules that an operator chooses for all VMs of a deployment. Without a file, none applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    /// Long-running jobs are accepted only while they leave the capacity that finite jobs need of
    /// queues with this priority or a lower value; `None` accepts all.
    pub protected_priority: Option<i32>,
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
    fields.finish(FIELDS, findings);
    policy
}
