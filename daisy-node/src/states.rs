//! Following what every entry VM knows, and laying out the shards of a new system.

use std::time::Duration;

use daisy_platform::{Guard, Store, StoreError, Topic, worker};
use daisy_workflow::{Layout, Record, decode, encode};
use tokio::time::sleep;

use crate::{
    clock,
    follow::{CALL_TIMEOUT, Read, Tail},
    shared::{Known, Shared},
};

/// How long a read waits for a record.
const WAIT: Duration = Duration::from_millis(1_000);
/// Between reads, so that records come in bunches: each call is paid for. The more shards there
/// are, the more often something is written, and the more VMs read it.
const PAUSE: Duration = Duration::from_millis(40);
const PAUSE_A_SHARD: Duration = Duration::from_millis(32);
const PAUSE_MAX: Duration = Duration::from_millis(200);

/// Follows the topic of states.
pub(crate) async fn follow_states(store: Store, shared: Shared) {
    let mut tail = Tail::new(store, Topic::States);
    loop {
        let anew = tail.next().is_none();
        let Some(read) = tail.try_read(WAIT).await else {
            shared.lock().reach.read_failed();
            continue;
        };
        let pause = {
            let mut known = shared.lock();
            known.reach.read_answered(clock::now());
            if anew {
                known.directory.restart_reading();
            }
            fold(&mut known, &read);
            if let Some(end) = tail.next().filter(|_| read.at_end) {
                known.states_read = Some((clock::now(), end));
                known.directory.mark_caught_up(clock::now());
            }
            let shards = known.directory.layout().map_or(1, |it| it.shards);
            (PAUSE + PAUSE_A_SHARD * u32::from(shards)).min(PAUSE_MAX)
        };
        sleep(pause).await;
    }
}

fn fold(known: &mut Known, read: &Read) {
    let now = clock::now();
    for it in &read.records {
        if it.value.is_empty() {
            continue;
        }
        match decode(&it.key, &it.value) {
            Ok(Record::State(id, state)) => {
                known.directory.set_state(id, state);
            }
            Ok(Record::OwnerHeartbeat(heartbeat)) => {
                known.directory.receive_heartbeat(now, *heartbeat)
            }
            Ok(Record::Layout(layout)) => known.directory.set_layout(layout),
            Ok(_) => log::warn!(
                "event=record_unreadable topic=states offset={} cause=\"it belongs elsewhere\"",
                it.offset
            ),
            Err(e) => log::warn!(
                "event=record_unreadable topic=states offset={} cause=\"{e}\"",
                it.offset
            ),
        }
    }
}

/// Chooses the layout of a system that has none: by the number of workers, once that has stopped
/// growing. Of several VMs that choose, the first one's record stands.
pub(crate) async fn lay_out(store: Store, shared: Shared, partitions: u16) {
    /// Between counts: workers that start together are listed within a second.
    const COUNT_EVERY: Duration = Duration::from_millis(600);
    /// With no worker for this long, the layout is that of the smallest system.
    const PATIENCE: Duration = Duration::from_secs(8);
    let began = clock::now();
    let mut list = Tail::new(store.clone(), Topic::Workers);
    let mut before = 0;
    loop {
        let end = {
            let known = shared.lock();
            if known.directory.layout().is_some() {
                return;
            }
            known.states_read.map(|(_, end)| end)
        };
        let count = count_workers(&mut list).await;
        let settled = count.is_some_and(|it| it > 0 && it == before);
        let (Some(end), Some(workers)) = (end, count) else {
            sleep(COUNT_EVERY).await;
            continue;
        };
        before = workers;
        if settled || clock::now().since(began) > PATIENCE {
            choose(&store, Layout::for_workers(workers, partitions), workers, end).await;
        }
        sleep(COUNT_EVERY).await;
    }
}

/// Workers in the platform's list.
async fn count_workers(list: &mut Tail) -> Option<usize> {
    let read = list.try_newest().await?;
    Some(read.records.iter().filter(|it| worker(&it.key, &it.value).is_ok()).count())
}

async fn choose(store: &Store, layout: Layout, workers: usize, end: u64) {
    let record = encode(&Record::Layout(layout));
    match store.append(Topic::States, &[record], Guard::At(end), CALL_TIMEOUT).await {
        Ok(_) => log::info!("event=laid_out shards={} workers={workers}", layout.shards),
        Err(StoreError::Moved) => {}
        Err(e) => log::warn!("event=layout_failed cause=\"{e}\""),
    }
}
