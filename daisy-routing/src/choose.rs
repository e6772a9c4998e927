//! Which of a service's backend servers a request goes to.

use std::time::Duration;

use daisy_model::{Instant, VmId};

use crate::server::{Distance, Server};

/// Slots that delayable work leaves free, so that a critical request finds one at once.
const HEADROOM: u32 = 1;
/// Slots that must seem free on a backend server of another data centre before one is taken: its
/// own entry VMs have their shares of it, and what is known of it is older.
const ELSEWHERE_FREE: u32 = 2;
/// Time there and back to another region (12 ms one way in the users' networks).
pub(crate) const FAR_ROUND_TRIP: Duration = Duration::from_millis(24);

/// What a request asks of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) now: Instant,
    /// Whether the service's operators or the caller allow it to wait.
    pub(crate) delayable: bool,
    /// The farthest that it may go.
    pub(crate) reach: Distance,
    /// Backend servers that it has been at.
    pub(crate) exclude: &'a [VmId],
    /// The median speed of the service's backend servers.
    pub(crate) median: Option<f64>,
}

/// How good a backend server is for a request; less is better.
type Score = (Distance, f64, u32);

/// The position of the best backend server; `None` when the request has to wait.
pub(crate) fn choose(
    servers: &[Server],
    of_service: &[u32],
    wish: &Wish<'_>,
    rng: &mut fastrand::Rng,
) -> Option<u32> {
    let mut best: Option<(Score, u32)> = None;
    for &position in of_service {
        let server = &servers[position as usize];
        let Some(score) = try_score(server, wish, rng) else { continue };
        if best.is_none_or(|(other, _)| score < other) {
            best = Some((score, position));
        }
    }
    best.map(|(_, position)| position)
}

/// Whether the service has a backend server that may take anything new at any time.
pub(crate) fn any_usable(
    servers: &[Server],
    of_service: &[u32],
    reach: Distance,
    now: Instant,
) -> bool {
    of_service.iter().any(|&position| {
        let server = &servers[position as usize];
        server.distance <= reach && !server.is_leaving(now)
    })
}

fn try_score(server: &Server, wish: &Wish<'_>, rng: &mut fastrand::Rng) -> Option<Score> {
    let closed = server.distance > wish.reach
        || server.is_leaving(wish.now)
        || wish.exclude.contains(&server.vm)
        || server.own >= server.limit_at(wish.now);
    if closed {
        return None;
    }
    if server.standing.is_aside() {
        // A due probe goes before all else: without it the backend server never comes back.
        return (server.distance == Distance::Own || server.own == 0).then_some((
            server.distance,
            -1.0,
            rng.u32(..),
        ));
    }
    let taken = server.own + server.others_at(wish.now);
    if !has_room(server, taken, wish) {
        return None;
    }
    let load = f64::from(taken + 1) * server.slowness(wish.median) / f64::from(server.slots.max(1));
    Some((server.distance, load, rng.u32(..)))
}

/// Whether a slot is this entry VM's own or seems to be free.
fn has_room(server: &Server, taken: u32, wish: &Wish<'_>) -> bool {
    let reserved = if wish.delayable { HEADROOM } else { 0 };
    if server.distance > Distance::Own {
        return taken + ELSEWHERE_FREE + reserved <= server.slots;
    }
    let own = server.own + reserved < server.share;
    own || taken + reserved < server.slots
}
