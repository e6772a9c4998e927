//! Reading the policy of a deployment.

use daisy_settings::{Policy, read_policy};

#[test]
fn a_policy_without_rules_accepts_all_jobs() {
    assert_eq!(read_policy("{}"), Ok(Policy::default()));
}

#[test]
fn the_protected_priority_is_read() {
    let policy = read_policy("long_running_admission:\n  protected_priority: 2\n");

    assert_eq!(policy, Ok(Policy { protected_priority: Some(2) }));
}

#[test]
fn all_findings_are_returned_with_their_positions() {
    let text = "long_running_admission:\n  protected_priority: first\n  spare: 3\nroom: 1\n";

    let findings = read_policy(text).expect_err("three mistakes");

    let places: Vec<(u64, u64)> =
        findings.iter().map(|it| (it.line as u64, it.column as u64)).collect();
    assert_eq!(places, [(2, 23), (3, 3), (4, 1)], "{findings:?}");
}

/// Guards against a rule that an operator believes to be in force.
#[test]
fn a_rule_without_its_priority_is_a_finding() {
    let findings = read_policy("long_running_admission: {}\n").expect_err("no priority");

    assert!(findings[0].message.contains("protected_priority: missing"), "{findings:?}");
}
