//! Chooses one of the backend servers of a service for a request.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::server::{Distance, Server};

/// Slots that delayable requests leave free, so that a critical request finds one at once.
const HEADROOM_SLOTS: u32 = 1;
/// Slots that must appear free on a backend server of another data centre before it is chosen: the
/// entry VMs of that data centre have their shares of its slots, and the information about it is
/// older.
const REMOTE_FREE_SLOTS: u32 = 2;
/// Round-trip time to another region (12 ms one way in the users' networks).
pub(crate) const REGION_ROUND_TRIP: Duration = Duration::from_millis(24);

/// What a request requires of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Requirements<'a> {
    pub(crate) now: Instant,
    /// Whether the service's priority or the caller's urgency allows the request to wait.
    pub(crate) may_wait: bool,
    /// The greatest distance of an eligible backend server.
    pub(crate) max_distance: Distance,
    /// Backend servers that have already been tried.
    pub(crate) exclude: &'a [VmId],
    /// The median over the service's backend servers of their mean latency, as a logarithm of
    /// microseconds.
    pub(crate) median_log_latency: Option<f64>,
}

/// How suitable a backend server is for a request: distance, load, random tie-break; less is
/// better.
type Score = (Distance, f64, u32);

/// Returns the position of the best backend server; `None` if the request has to wait.
pub(crate) fn choose(
    servers: &[Server],
    service_servers: &[u32],
    requirements: &Requirements<'_>,
    rng: &mut fastrand::Rng,
) -> Option<u32> {
    let mut best: Option<(Score, u32)> = None;
    for &position in service_servers {
        let server = &servers[position as usize];
        let Some(score) = try_score(server, requirements, rng) else { continue };
        if best.is_none_or(|(other, _)| score < other) {
            best = Some((score, position));
        }
    }
    best.map(|(_, position)| position)
}

/// Returns whether the service has a backend server that may take new requests, free slots or not.
pub(crate) fn has_usable_server(
    servers: &[Server],
    service_servers: &[u32],
    max_distance: Distance,
    now: Instant,
) -> bool {
    service_servers.iter().any(|&position| {
        let server = &servers[position as usize];
        server.distance <= max_distance && !server.is_leaving(now)
    })
}

fn try_score(
    server: &Server,
    requirements: &Requirements<'_>,
    rng: &mut fastrand::Rng,
) -> Option<Score> {
    let unavailable = server.distance > requirements.max_distance
        || server.is_leaving(requirements.now)
        || requirements.exclude.contains(&server.vm)
        || server.own_in_flight >= server.current_limit(requirements.now);
    if unavailable {
        return None;
    }
    if server.health.is_quarantined() {
        // A due probe takes precedence over all else: without it the backend server never returns
        // from quarantine.
        return (server.distance == Distance::SameDc || server.own_in_flight == 0).then_some((
            server.distance,
            -1.0,
            rng.u32(..),
        ));
    }
    let in_flight = server.own_in_flight + server.others_in_flight(requirements.now);
    if !has_free_slot(server, in_flight, requirements) {
        return None;
    }
    let load = f64::from(in_flight + 1) * server.slowness(requirements.median_log_latency)
        / f64::from(server.slots.max(1));
    Some((server.distance, load, rng.u32(..)))
}

/// Returns whether one of the slots reserved for this entry VM is free, or another slot appears to
/// be.
fn has_free_slot(server: &Server, in_flight: u32, requirements: &Requirements<'_>) -> bool {
    let reserved = if requirements.may_wait { HEADROOM_SLOTS } else { 0 };
    if server.distance > Distance::SameDc {
        return in_flight + REMOTE_FREE_SLOTS + reserved <= server.slots;
    }
    let own = server.own_in_flight + reserved < server.own_slots;
    own || in_flight + reserved < server.slots
}
