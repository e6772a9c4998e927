//! Reading settings: what is accepted, and that all errors are found with their positions.

use std::time::Duration;

use daisy_model::{DcId, VmId};
use daisy_settings::{LogLevel, Settings, read};

fn valid() -> &'static str {
    "\
name: entry-1
vm: 7
data_centre: braga
data_centres:
  - {name: porto, region: north}
  - {name: braga, region: north}
callers: 127.0.0.1:8080
peers: 127.0.0.1:8081
operators: 127.0.0.1:8082
platform: 127.0.0.1:9000
operator_tokens:
  - {who: ana, token: 0123456789abcdef}
allowed_peers: [127.0.0.1]
log_level: debug
limits:
  body_bytes: 4096
timing:
  heartbeat_ms: 100
"
}

fn findings(text: &str) -> Vec<String> {
    read(text).expect_err("must be rejected").iter().map(ToString::to_string).collect()
}

#[test]
fn valid_settings_are_read_completely() {
    let settings: Settings = read(valid()).expect("valid settings");

    assert_eq!(settings.name.as_str(), "entry-1");
    assert_eq!(settings.vm, VmId(7));
    assert_eq!(settings.data_centre, DcId(1));
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!(settings.limits.body_bytes, 4096);
    assert_eq!(settings.limits.connections, 4096);
    assert_eq!(settings.timing.heartbeat_interval, Duration::from_millis(100));
    assert_eq!(&*settings.operator_tokens[0].token, "0123456789abcdef");
}

#[test]
fn all_errors_are_found_with_their_positions() {
    let text = valid()
        .replace("vm: 7", "vm: many")
        .replace("callers: 127.0.0.1:8080", "callers: localhost")
        .replace("log_level: debug", "log_level: loud\ncolour: red");

    let found = findings(&text);

    assert_eq!(found.len(), 4, "{found:#?}");
    assert!(found[0].starts_with("2:5: vm: found \"many\""), "{}", found[0]);
    assert!(found[1].starts_with("7:10: callers: found \"localhost\""), "{}", found[1]);
    assert!(found[2].starts_with("14:12: log_level: found \"loud\""), "{}", found[2]);
    assert!(found[3].starts_with("15:1: colour: unknown"), "{}", found[3]);
}

#[test]
fn missing_fields_are_named() {
    let found = findings("name: entry-1\n");

    for name in ["vm", "data_centre", "data_centres", "callers", "peers", "operators", "platform"] {
        let start = format!("{name}: missing");
        assert!(found.iter().any(|it| it.contains(&start)), "{name} in {found:#?}");
    }
}

#[test]
fn inconsistent_settings_are_rejected() {
    let text = valid()
        .replace("data_centre: braga", "data_centre: lisbon")
        .replace("peers: 127.0.0.1:8081", "peers: 127.0.0.1:8080")
        .replace("heartbeat_ms: 100", "heartbeat_ms: 5000");

    let found = findings(&text);

    assert!(found.iter().any(|it| it.contains("lisbon is not one of data_centres")), "{found:#?}");
    assert!(found.iter().any(|it| it.contains("the same address as callers")), "{found:#?}");
    assert!(found.iter().any(|it| it.contains("twice heartbeat_ms")), "{found:#?}");
}

#[test]
fn short_and_duplicate_tokens_are_rejected() {
    let text = valid().replace(
        "  - {who: ana, token: 0123456789abcdef}",
        "  - {who: ana, token: short}\n  - {who: rui, token: short}",
    );

    let found = findings(&text);

    assert_eq!(found.iter().filter(|it| it.contains("shorter than 16")).count(), 2);
    assert!(found.iter().any(|it| it.contains("another operator has the same")));
}

#[test]
fn invalid_yaml_has_a_single_finding() {
    let found = findings("name: [entry");

    assert_eq!(found.len(), 1, "{found:#?}");
}
