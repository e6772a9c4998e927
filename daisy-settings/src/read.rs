//! Reads settings from YAML and checks that they are valid and consistent.

use std::{collections::BTreeSet, net::IpAddr, str::FromStr};

use daisy_model::{DcId, Name, VmId};
use serde_saphyr::Spanned;

use crate::{
    fields::{Fields, Findings, Located, parse},
    finding::Finding,
    node::{Node, Position},
    settings::{DataCentre, Limits, LogLevel, Operator, Settings, Timing},
};

const FIELDS: &[&str] = &[
    "name",
    "vm",
    "data_centre",
    "data_centres",
    "callers",
    "peers",
    "operators",
    "platform",
    "operator_tokens",
    "allowed_peers",
    "log_level",
    "limits",
    "timing",
];
const LIMITS_FIELDS: &[&str] = &["body_bytes", "header_bytes", "connections", "header_ms", "keys"];
const TIMING_FIELDS: &[&str] = &[
    "heartbeat_ms",
    "holder_timeout_ms",
    "worker_lease_ms",
    "balancer_ms",
    "vm_list_ms",
    "log_retention_ms",
];
const EXPECTED_ADDRESS: &str = "an IP address and port such as 10.0.0.1:8080";
const EXPECTED_NAME: &str = "a name of a-z, 0-9 and '-'";

/// Reads and validates the settings in `text`.
///
/// # Errors
///
/// All findings, in the order of the text: unknown, missing and duplicate fields, values that
/// cannot be parsed, and inconsistent settings. Text that is not valid YAML has a single finding,
/// at the first syntax error.
pub fn read(text: &str) -> Result<Settings, Vec<Finding>> {
    let root: Spanned<Node> = serde_saphyr::from_str(text).map_err(|e| vec![syntax_finding(&e)])?;
    let mut findings = Findings::default();
    let settings = read_settings(root, &mut findings);
    match settings {
        Some(settings) if findings.0.is_empty() => Ok(settings),
        _ => {
            findings.0.sort();
            Err(findings.0)
        }
    }
}

pub(crate) fn syntax_finding(error: &serde_saphyr::Error) -> Finding {
    let (line, column) = error.location().map_or((1, 1), |it| (it.line(), it.column()));
    let message = error.to_string();
    let first_line = message.lines().next().unwrap_or("invalid YAML");
    Finding { line, column, message: first_line.to_owned() }
}

fn read_settings(root: Spanned<Node>, findings: &mut Findings) -> Option<Settings> {
    let mut fields = Fields::new(root, "settings", findings);
    let name = fields.value::<Name>("name", EXPECTED_NAME, findings);
    let vm = fields.value::<u32>("vm", "the platform's number of this VM", findings);
    let data_centre = fields.value::<Name>("data_centre", EXPECTED_NAME, findings);
    let data_centres = read_data_centres(&mut fields, findings);
    let callers = fields.value("callers", EXPECTED_ADDRESS, findings);
    let peers = fields.value("peers", EXPECTED_ADDRESS, findings);
    let operators = fields.value("operators", EXPECTED_ADDRESS, findings);
    let platform = fields.value("platform", EXPECTED_ADDRESS, findings);
    let operator_tokens = read_operators(&mut fields, findings);
    let allowed_peers = read_allowed_peers(&mut fields, findings);
    let log_level = fields
        .try_value::<LogLevel>("log_level", "error, warn, info, debug or trace", findings)
        .map_or(LogLevel::default(), |it| it.value);
    let limits = read_limits(&mut fields, findings);
    let timing = read_timing(&mut fields, findings);
    fields.finish(FIELDS, findings);

    check_addresses(&[("callers", callers), ("peers", peers), ("operators", operators)], findings);
    let data_centre = find_data_centre(data_centre?, &data_centres, findings);
    Some(Settings {
        name: name?.value,
        vm: VmId(vm?.value),
        data_centre: data_centre?,
        data_centres,
        callers_address: callers?.value,
        peers_address: peers?.value,
        operators_address: operators?.value,
        platform: platform?.value,
        operator_tokens,
        allowed_peers,
        log_level,
        limits,
        timing,
    })
}

fn read_data_centres(fields: &mut Fields, findings: &mut Findings) -> Vec<DataCentre> {
    let position = fields.position();
    let mut names = BTreeSet::new();
    let mut data_centres = Vec::new();
    for item in fields.list("data_centres", findings) {
        let mut item = Fields::new(item, "data_centres", findings);
        let name = item.value::<Name>("name", EXPECTED_NAME, findings);
        let region = item.value::<Name>("region", EXPECTED_NAME, findings);
        item.finish(&["name", "region"], findings);
        let (Some(name), Some(region)) = (name, region) else { continue };
        if !names.insert(name.value.clone()) {
            findings.add(name.position, format!("data_centres: {} is given twice", name.value));
        }
        data_centres.push(DataCentre { name: name.value, region: region.value });
    }
    if data_centres.is_empty() {
        findings.add(position, "data_centres: missing or empty, expected at least one".to_owned());
    }
    data_centres
}

fn find_data_centre(
    name: Located<Name>,
    data_centres: &[DataCentre],
    findings: &mut Findings,
) -> Option<DcId> {
    let index = data_centres.iter().position(|it| it.name == name.value);
    if index.is_none() {
        let message = format!("data_centre: {} is not one of data_centres", name.value);
        findings.add(name.position, message);
    }
    index.and_then(|index| u16::try_from(index).ok()).map(DcId)
}

fn read_operators(fields: &mut Fields, findings: &mut Findings) -> Vec<Operator> {
    let mut tokens = BTreeSet::new();
    let mut operators = Vec::new();
    for item in fields.list("operator_tokens", findings) {
        let mut item = Fields::new(item, "operator_tokens", findings);
        let who = item.value::<Name>("who", EXPECTED_NAME, findings);
        let token = item.value::<String>("token", "a token", findings);
        item.finish(&["who", "token"], findings);
        let (Some(who), Some(token)) = (who, token) else { continue };
        if token.value.len() < Operator::MIN_TOKEN_LEN {
            let min = Operator::MIN_TOKEN_LEN;
            findings.add(token.position, format!("token: shorter than {min} characters"));
        }
        // If two operators had the same token, the audit trail could not distinguish them.
        if !tokens.insert(token.value.clone()) {
            findings.add(token.position, "token: another operator has the same token".to_owned());
        }
        operators.push(Operator { who: who.value, token: token.value.into() });
    }
    operators
}

fn read_allowed_peers(fields: &mut Fields, findings: &mut Findings) -> Vec<IpAddr> {
    fields
        .list("allowed_peers", findings)
        .into_iter()
        .filter_map(|item| parse(item, "allowed_peers", "an IP address", findings))
        .map(|it| it.value)
        .collect()
}

fn read_limits(fields: &mut Fields, findings: &mut Findings) -> Limits {
    let mut limits = Limits::default();
    let Some(node) = fields.try_node("limits", findings) else { return limits };
    let mut item = Fields::new(node, "limits", findings);
    item.number("body_bytes", 1, &mut limits.body_bytes, findings);
    // hyper rejects a smaller buffer for the request head.
    item.number("header_bytes", 8 << 10, &mut limits.header_bytes, findings);
    item.number("connections", 1, &mut limits.connections, findings);
    item.millis("header_ms", &mut limits.header_timeout, findings);
    item.number("keys", 1, &mut limits.keys, findings);
    item.finish(LIMITS_FIELDS, findings);
    limits
}

fn read_timing(fields: &mut Fields, findings: &mut Findings) -> Timing {
    let mut timing = Timing::default();
    let Some(node) = fields.try_node("timing", findings) else { return timing };
    let position = Position::from(&node);
    let mut item = Fields::new(node, "timing", findings);
    item.millis("heartbeat_ms", &mut timing.heartbeat_interval, findings);
    item.millis("holder_timeout_ms", &mut timing.holder_timeout, findings);
    item.millis("worker_lease_ms", &mut timing.worker_lease, findings);
    item.millis("balancer_ms", &mut timing.balancer_delay, findings);
    item.millis("vm_list_ms", &mut timing.vm_list_interval, findings);
    item.millis("log_retention_ms", &mut timing.log_retention, findings);
    item.finish(TIMING_FIELDS, findings);
    check_timing(&timing, position, findings);
    timing
}

/// Checks that a holder is replaced only after it has missed two heartbeats, since otherwise one
/// lost packet would change the holder; and that a new holder takes over long before the workers'
/// leases expire, since otherwise a change of holder would stop services.
fn check_timing(timing: &Timing, position: Position, findings: &mut Findings) {
    if timing.holder_timeout < 2 * timing.heartbeat_interval {
        let message = "holder_timeout_ms: must be at least twice heartbeat_ms".to_owned();
        findings.add(position, message);
    }
    if timing.worker_lease < 3 * timing.holder_timeout {
        let message = "worker_lease_ms: must be at least three times holder_timeout_ms".to_owned();
        findings.add(position, message);
    }
}

fn check_addresses(
    addresses: &[(&str, Option<Located<std::net::SocketAddr>>)],
    findings: &mut Findings,
) {
    for (index, (name, address)) in addresses.iter().enumerate() {
        let Some(address) = address else { continue };
        let duplicate = addresses[..index]
            .iter()
            .find(|(_, other)| other.is_some_and(|it| it.value == address.value));
        // With port 0 the system chooses a free port, so equal settings are different addresses.
        if let (Some((other, _)), true) = (duplicate, address.value.port() != 0) {
            findings.add(address.position, format!("{name}: the same address as {other}"));
        }
    }
}

/// The text is not a log level.
#[derive(Debug, thiserror::Error)]
#[error("unknown log level")]
pub struct UnknownLogLevel;

impl FromStr for LogLevel {
    type Err = UnknownLogLevel;

    fn from_str(text: &str) -> Result<LogLevel, UnknownLogLevel> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            "trace" => Ok(LogLevel::Trace),
            _ => Err(UnknownLogLevel),
        }
    }
}
