//! Parses the daisyshift headers of a request.

use std::time::Duration;

use daisy_model::Name;
use daisy_routing::{CallerId, Urgency};
use daisy_wire::headers;
use http::{HeaderMap, Method, request::Parts};

/// The deadline of a request that specifies none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// The longest accepted deadline; longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// The maximum length of a key, in bytes.
const MAX_KEY: usize = 64;

/// The parsed daisyshift headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    /// The service.
    pub(super) service: Name,
    /// The time until the request's deadline.
    pub(super) time_to_deadline: Duration,
    /// The urgency that the caller states.
    pub(super) urgency: Urgency,
    /// The caller's ID.
    pub(super) caller: CallerId,
    /// Whether the request is idempotent: running it twice does no harm.
    pub(super) idempotent: bool,
    /// The request's key, if it is not idempotent.
    pub(super) key: Option<Key>,
}

/// A non-idempotent request's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Key {
    /// The caller's key.
    pub(super) key: Box<str>,
    /// Whether the caller states that it has sent the request before.
    pub(super) repeated: bool,
    /// Whether the request must be recorded in the log before it runs.
    pub(super) logged: bool,
}

/// Why a head is rejected; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadError {
    /// No service is named.
    #[error("missing-service")]
    MissingService,
    /// A header's value cannot be parsed.
    #[error("malformed-{0}")]
    Malformed(&'static str),
    /// A header is present more than once.
    #[error("repeated-{0}")]
    Repeated(&'static str),
    /// The method is one that a proxy does not forward.
    #[error("method")]
    Method,
}

impl Head {
    /// Parses the head of a request from `address`.
    pub(super) fn read(parts: &Parts, address: std::net::IpAddr) -> Result<Head, HeadError> {
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            return Err(HeadError::Method);
        }
        let map = &parts.headers;
        let service = single_value(map, headers::SERVICE)?.ok_or(HeadError::MissingService)?;
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

/// Returns whether a request may be a repeated attempt of a keyed one, even if its head is
/// malformed.
pub(super) fn may_repeat(parts: &Parts) -> bool {
    let map = &parts.headers;
    let first = map.get_all(headers::ATTEMPT).iter().all(|value| value == "1");
    map.contains_key(headers::IDEMPOTENCY_KEY) && !first
}

fn single_value<'a>(map: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, HeadError> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HeadError::Repeated(name));
    }
    value.to_str().map(Some).map_err(|_| HeadError::Malformed(name))
}

fn read_deadline(map: &HeaderMap) -> Result<Duration, HeadError> {
    let Some(text) = single_value(map, headers::DEADLINE_MS)? else { return Ok(DEFAULT_DEADLINE) };
    let millis = read_number(text).ok_or(HeadError::Malformed(headers::DEADLINE_MS))?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

fn read_urgency(map: &HeaderMap) -> Result<Urgency, HeadError> {
    match single_value(map, headers::PRIORITY)? {
        None | Some("normal") => Ok(Urgency::Normal),
        Some("critical") => Ok(Urgency::Critical),
        Some("low") => Ok(Urgency::Low),
        Some(_) => Err(HeadError::Malformed(headers::PRIORITY)),
    }
}

fn read_caller(map: &HeaderMap, address: std::net::IpAddr) -> Result<CallerId, HeadError> {
    let id = match single_value(map, headers::CALLER)? {
        Some(name) => daisy_routing::digest(name.as_bytes()),
        None => match address {
            std::net::IpAddr::V4(ip) => daisy_routing::digest(&ip.octets()),
            std::net::IpAddr::V6(ip) => daisy_routing::digest(&ip.octets()),
        },
    };
    Ok(CallerId(id))
}

fn read_key(map: &HeaderMap) -> Result<Option<Key>, HeadError> {
    let repeated = match single_value(map, headers::ATTEMPT)? {
        None => false,
        Some(text) => match read_number(text) {
            None | Some(0) => return Err(HeadError::Malformed(headers::ATTEMPT)),
            Some(attempt) => attempt > 1,
        },
    };
    let logged = match single_value(map, headers::AT_MOST_ONCE)? {
        None => false,
        Some("log") => true,
        Some(_) => return Err(HeadError::Malformed(headers::AT_MOST_ONCE)),
    };
    let Some(key) = single_value(map, headers::IDEMPOTENCY_KEY)? else { return Ok(None) };
    let visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY || !visible {
        return Err(HeadError::Malformed(headers::IDEMPOTENCY_KEY));
    }
    Ok(Some(Key { key: key.into(), repeated, logged }))
}

/// Parses digits only: `+1`, which Rust's own parser accepts, is malformed here.
fn read_number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
