//! Follows the topic of states, which every entry VM reads, and chooses the shard layout of a new
//! system.

use std::time::Duration;

use daisy_platform::{Guard, LogClient, LogError, Topic, parse_worker};
use daisy_wire::relay::RelayedTopic;
use daisy_workflow::{Layout, Record, RecordKey, Rejection, decode_stored, encode};
use tokio::time::sleep;

use crate::{
    clock,
    follow::{CALL_TIMEOUT, Read, TopicReader},
    queries::HeldQueries,
    relay::Relay,
    shared::{NodeState, Shared},
};

/// How long a read waits for a record.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// The fixed part of the pause between reads. The pause lets one read return several records, as
/// each call costs money. It grows with the number of shards: with more shards, records are
/// appended more often and more VMs read them.
const READ_PAUSE: Duration = Duration::from_millis(40);
/// The part of the pause for each shard.
const READ_PAUSE_PER_SHARD: Duration = Duration::from_millis(32);
/// The longest pause between the reads of a VM that reads for others, whose pauses add to its own.
const READERS_READ_PAUSE: Duration = Duration::from_millis(80);
/// The longest pause between reads.
const MAX_READ_PAUSE: Duration = Duration::from_millis(200);

/// Follows the topic of states.
pub(crate) async fn follow_states(
    log_client: LogClient,
    relay: Option<Relay>,
    shared: Shared,
    queries: HeldQueries,
) {
    let reader = TopicReader::new(log_client, Topic::States);
    let mut reader = reader.through(relay.clone(), RelayedTopic::States);
    loop {
        let began = clock::now();
        let Some(read) = reader.try_read(READ_WAIT).await else {
            shared.lock().states_reachability.read_failed();
            continue;
        };
        let now = clock::now();
        let reads_for_others = relay.as_ref().is_some_and(|it| it.reads_for_others(now));
        let pause = {
            let mut node = shared.lock();
            node.log_rtt.read_took(read.log_rtt.unwrap_or(now.since(began)));
            node.states_reachability.read_answered(now);
            if read.is_snapshot {
                node.directory.restart_reading();
            }
            fold_states(&mut node, &read);
            if let Some((at, end)) = read.at_end_at.zip(reader.next()) {
                node.states_caught_up = Some((at, end));
                // A reader may have been behind when it answered.
                node.states_requested_at = Some(began.min(at));
                node.directory.mark_caught_up(at);
            }
            let shards = node.directory.layout().map_or(1, |it| it.shards);
            let longest = if reads_for_others { READERS_READ_PAUSE } else { MAX_READ_PAUSE };
            (READ_PAUSE + READ_PAUSE_PER_SHARD * u32::from(shards)).min(longest)
        };
        queries.states_read();
        queries.pause(READ_PAUSE, pause).await;
    }
}

fn fold_states(node: &mut NodeState, read: &Read) {
    let now = clock::now();
    for it in &read.records {
        match decode_stored(&it.key, &it.value) {
            Ok(Record::Removed(RecordKey::State(id))) => node.directory.remove(id),
            Ok(Record::State(id, state)) => {
                node.admission.returning.accepted(id);
                node.directory.set_state(id, state);
            }
            // Callers of old rejections, which are read after a start, no longer return.
            Ok(Record::Rejected(..)) if !node.directory.reads_recent_records() => {}
            Ok(Record::Rejected(id, it)) => {
                let Rejection { service, cpu_milli, retry_after } = it;
                let returning = &mut node.admission.returning;
                returning.rejected(now, id, &service, cpu_milli, retry_after);
            }
            Ok(Record::OwnerHeartbeat(heartbeat)) => {
                node.directory.receive_heartbeat(now, *heartbeat)
            }
            Ok(Record::Layout(layout)) => node.directory.set_layout(layout),
            Ok(_) => log::warn!(
                "event=record_unreadable topic=states offset={} cause=\"a record of this kind belongs in another topic\"",
                it.offset
            ),
            Err(e) => log::warn!(
                "event=record_unreadable topic=states offset={} cause=\"{e}\"",
                it.offset
            ),
        }
    }
}

/// Chooses the shard layout of a system that has none, by the number of listed workers once that
/// number has stopped changing. If several VMs choose a layout, the record that is appended first
/// applies.
///
/// The list of workers is long. The platform makes one VM the counter, so that the bytes of the
/// counts do not grow with the number of VMs; if it does not say which, VMs count by turns.
pub(crate) async fn choose_layout(
    log_client: LogClient,
    shared: Shared,
    vm: String,
    partitions: u16,
) {
    /// The interval at which workers are counted. Workers that start together are listed within a
    /// second.
    const COUNT_INTERVAL: Duration = Duration::from_millis(600);
    /// The interval at which a VM checks whether its turn to count has come, and at which it asks
    /// whether it is the counter.
    const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
    const COUNTER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// The time after which the layout is chosen by the last count, even if that is 0 or still
    /// changes. A count of 0 gives the layout of the smallest system.
    const STABLE_COUNT_TIMEOUT: Duration = Duration::from_secs(8);
    let began = clock::now();
    let mut list = TopicReader::new(log_client.clone(), Topic::Workers);
    let mut counter = Counter { vm: vm.clone(), generation: 0 };
    let mut previous_count = 0;
    loop {
        let (end, turn) = {
            let node = shared.lock();
            if node.directory.layout().is_some() {
                return;
            }
            (node.states_caught_up.map(|(_, end)| end), node.log_rtt.layout_turn(&vm))
        };
        // A layout that was chosen before this process started is among the states.
        let Some(end) = end else {
            sleep(TURN_CHECK_INTERVAL).await;
            continue;
        };
        match counter.is_chosen(&log_client).await {
            Some(true) => {}
            Some(false) => {
                sleep(COUNTER_CHECK_INTERVAL).await;
                continue;
            }
            None if clock::now().since(began) >= turn => {}
            None => {
                sleep(TURN_CHECK_INTERVAL).await;
                continue;
            }
        }
        let count = count_workers(&mut list).await;
        let is_stable = count.is_some_and(|it| it > 0 && it == previous_count);
        let Some(workers) = count else {
            sleep(COUNT_INTERVAL).await;
            continue;
        };
        log::info!("event=counted workers={workers} previous={previous_count}");
        previous_count = workers;
        if is_stable || clock::now().since(began) > STABLE_COUNT_TIMEOUT {
            append_layout(&log_client, Layout::for_workers(workers, partitions), workers, end)
                .await;
        }
        sleep(COUNT_INTERVAL).await;
    }
}

/// Asks the platform which VM counts the workers: the member of a group that holds the first
/// partition.
struct Counter {
    vm: String,
    generation: u64,
}

impl Counter {
    /// Returns whether this VM counts; `None` if the platform does not say.
    async fn is_chosen(&mut self, log_client: &LogClient) -> Option<bool> {
        const GROUP: &str = "layout";
        const MEMBER_TTL: Duration = Duration::from_millis(2_000);
        let joined = log_client.join(GROUP, &self.vm, self.generation, MEMBER_TTL, CALL_TIMEOUT);
        match joined.await {
            Ok(it) => {
                self.generation = it.generation;
                Some(it.partitions.contains(&0))
            }
            Err(e) => {
                log::info!("event=counter_unknown cause=\"{e}\"");
                None
            }
        }
    }
}

/// Returns the number of workers with valid records in the platform's list; `None` if the list
/// could not be read.
async fn count_workers(list: &mut TopicReader) -> Option<usize> {
    let read = list.try_read_newest().await?;
    Some(read.records.iter().filter(|it| parse_worker(&it.key, &it.value).is_ok()).count())
}

async fn append_layout(log_client: &LogClient, layout: Layout, workers: usize, end: u64) {
    let record = encode(&Record::Layout(layout));
    match log_client.append(Topic::States, &[record], Guard::AtEnd(end), CALL_TIMEOUT).await {
        Ok(_) => log::info!("event=laid_out shards={} workers={workers}", layout.shards),
        Err(LogError::EndMismatch) => {}
        Err(e) => log::warn!("event=layout_failed cause=\"{e}\""),
    }
}
