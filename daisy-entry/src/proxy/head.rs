//! Reads what a request's head says to daisyshift.

use std::time::Duration;

use daisy_model::Name;
use daisy_routing::{CallerId, Urgency};
use daisy_wire::headers;
use http::{HeaderMap, Method, request::Parts};

/// How long a caller waits that does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// The longest deadline that counts; longer ones are cut to it.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// The longest key, in bytes.
const MAX_KEY: usize = 64;

/// What a request's head says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    /// The service.
    pub(super) service: Name,
    /// How long the caller waits.
    pub(super) time_to_deadline: Duration,
    /// How urgent the caller says it is.
    pub(super) urgency: Urgency,
    /// Who calls.
    pub(super) caller: CallerId,
    /// Whether running it twice does no harm.
    pub(super) idempotent: bool,
    /// Its key, where running it twice does harm.
    pub(super) key: Option<Key>,
}

/// A non-idempotent request's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Key {
    /// The caller's key.
    pub(super) key: Box<str>,
    /// Whether the caller says that it sent the request before.
    pub(super) repeated: bool,
    /// Whether the log is to note it before it runs.
    pub(super) logged: bool,
}

/// Why a head is refused; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadError {
    /// No service is named.
    #[error("missing-service")]
    MissingService,
    /// A header's value cannot be read.
    #[error("malformed-{0}")]
    Malformed(&'static str),
    /// A header stands twice.
    #[error("repeated-{0}")]
    Repeated(&'static str),
    /// The method is none that a proxy passes on.
    #[error("method")]
    Method,
}

impl Head {
    /// Reads the head of a request that came from `address`.
    pub(super) fn read(parts: &Parts, address: std::net::IpAddr) -> Result<Head, HeadError> {
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            return Err(HeadError::Method);
        }
        let map = &parts.headers;
        let service = one(map, headers::SERVICE)?.ok_or(HeadError::MissingService)?;
        let service = Name::new(service).map_err(|_| HeadError::Malformed(headers::SERVICE))?;
        let idempotent = parts.method.is_idempotent();
        let key = read_key(map)?;
        Ok(Head {
            service,
            time_to_deadline: read_deadline(map)?,
            urgency: read_urgency(map)?,
            caller: read_caller(map, address)?,
            idempotent,
            key: key.filter(|_| !idempotent),
        })
    }
}

/// Whether a request may be a repeated attempt of a keyed one, also if its head is malformed.
pub(super) fn may_repeat(parts: &Parts) -> bool {
    let map = &parts.headers;
    let first = map.get_all(headers::ATTEMPT).iter().all(|value| value == "1");
    map.contains_key(headers::IDEMPOTENCY_KEY) && !first
}

fn one<'a>(map: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, HeadError> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HeadError::Repeated(name));
    }
    value.to_str().map(Some).map_err(|_| HeadError::Malformed(name))
}

fn read_deadline(map: &HeaderMap) -> Result<Duration, HeadError> {
    let Some(text) = one(map, headers::DEADLINE_MS)? else { return Ok(DEFAULT_DEADLINE) };
    let millis = read_number(text).ok_or(HeadError::Malformed(headers::DEADLINE_MS))?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

fn read_urgency(map: &HeaderMap) -> Result<Urgency, HeadError> {
    match one(map, headers::PRIORITY)? {
        None | Some("normal") => Ok(Urgency::Normal),
        Some("critical") => Ok(Urgency::Critical),
        Some("low") => Ok(Urgency::Low),
        Some(_) => Err(HeadError::Malformed(headers::PRIORITY)),
    }
}

fn read_caller(map: &HeaderMap, address: std::net::IpAddr) -> Result<CallerId, HeadError> {
    let id = match one(map, headers::CALLER)? {
        Some(name) => daisy_routing::digest(name.as_bytes()),
        None => match address {
            std::net::IpAddr::V4(ip) => daisy_routing::digest(&ip.octets()),
            std::net::IpAddr::V6(ip) => daisy_routing::digest(&ip.octets()),
        },
    };
    Ok(CallerId(id))
}

fn read_key(map: &HeaderMap) -> Result<Option<Key>, HeadError> {
    let repeated = match one(map, headers::ATTEMPT)? {
        None => false,
        Some(text) => match read_number(text) {
            None | Some(0) => return Err(HeadError::Malformed(headers::ATTEMPT)),
            Some(attempt) => attempt > 1,
        },
    };
    let logged = match one(map, headers::AT_MOST_ONCE)? {
        None => false,
        Some("log") => true,
        Some(_) => return Err(HeadError::Malformed(headers::AT_MOST_ONCE)),
    };
    let Some(key) = one(map, headers::IDEMPOTENCY_KEY)? else { return Ok(None) };
    let visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY || !visible {
        return Err(HeadError::Malformed(headers::IDEMPOTENCY_KEY));
    }
    Ok(Some(Key { key: key.into(), repeated, logged }))
}

/// Digits only: `+1`, which Rust's own parser takes, is malformed here.
fn read_number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
