//! Reading the policy of a deployment.

use std::time::Duration;

use daisy_settings::{Policy, read_policy};

#[test]
fn a_policy_without_rules_accepts_all_jobs() {
    assert_eq!(read_policy("{}"), Ok(Policy::default()));
}

#[test]
fn the_protected_priority_is_read() {
    let policy = read_policy("long_running_admission:\n  protected_priority: 2\n");

    assert_eq!(policy, Ok(Policy { protected_priority: Some(2), ..Policy::default() }));
}

#[test]
fn all_findings_are_returned_with_their_positions() {
    let text = "long_running_admission:\n  protected_priority: first\n  spare: 3\nroom: 1\n";

    let findings = read_policy(text).expect_err("three mistakes");

    let places: Vec<_> = findings.iter().map(|it| (it.line, it.column)).collect();
    assert_eq!(places, [(2, 23), (3, 3), (4, 1)], "{findings:?}");
}

/// Guards against a rule that an operator believes to be in force.
#[test]
fn a_rule_without_its_priority_is_a_finding() {
    let findings = read_policy("long_running_admission: {}\n").expect_err("no priority");

    assert!(findings[0].message.contains("protected_priority: missing"), "{findings:?}");
}

#[test]
fn the_hold_of_queries_is_read_and_limited() {
    let policy = read_policy("query_hold_ms: 400\n").expect("a good policy");
    let findings = read_policy("\nquery_hold_ms: 1001\n").expect_err("too long");

    assert_eq!(policy.query_hold, Duration::from_millis(400));
    assert!(findings[0].message.contains("more than the maximum, 1000"), "{findings:?}");
    assert_eq!((findings[0].line, findings[0].column), (2, 16));
}

#[test]
fn the_least_number_of_shards_with_relays_is_read() {
    let policy = read_policy("relay:\n  min_shards: 12\n").expect("a good policy");
    let findings = read_policy("relay:\n  min_shards: many\n").expect_err("no number");

    assert_eq!(policy.relay_min_shards, Some(12));
    assert_eq!((findings.len(), findings[0].line, findings[0].column), (1, 2, 15));
}
