//! A stand-in for the platform's metadata store: a log of topics, with the limits of a call.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::json;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    http::{Answer, Call, serve},
    record::Recorder,
};

/// The most bytes of a record, and of the records of one call, as in the settings of a process.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
/// The time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const GROUP_PARTITIONS: usize = 12;

#[derive(Default)]
struct Partition {
    records: Vec<(String, Arc<Vec<u8>>)>,
    newest: BTreeMap<String, (u64, Arc<Vec<u8>>)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default, Clone)]
struct Producer {
    epoch: u64,
    next_seq: u64,
    appends: Vec<u64>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, key: String, value: Vec<u8>) {
        let offset = self.end();
        let value = Arc::new(value);
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key.clone(), (offset, value.clone()));
        }
        self.records.push((key, value));
    }
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<String, Partition>,
    groups: BTreeMap<String, (u64, BTreeMap<String, Instant>)>,
    /// Appends that were rejected because of their size.
    oversized: u64,
    largest_accepted: usize,
    /// Whether the list of machines is down.
    machines_down: bool,
    /// All workers ever listed: a machine stays in the list of machines when its worker is silent.
    machines: BTreeMap<String, serde_json::Value>,
}

pub struct Store {
    state: Mutex<State>,
    appended: Notify,
    recorder: Recorder,
}

impl Store {
    pub async fn start(recorder: Recorder) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store { state: Mutex::default(), appended: Notify::new(), recorder });
        let address = serve(store.clone(), handle).await;
        (store, address)
    }

    /// Writes a record of the operator or of a worker.
    pub fn write(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        if topic == "keyed.servers" && !value.is_empty() {
            let entry = serde_json::from_slice(&value).unwrap_or_default();
            state.machines.insert(key.to_owned(), entry);
        }
        state.partitions.entry(format!("{topic}/0")).or_default().push(key.to_owned(), value);
        drop(state);
        self.appended.notify_waiters();
    }

    /// Makes the list of machines answer 503.
    pub fn set_machines_down(&self) {
        self.state.lock().unwrap().machines_down = true;
    }

    /// Returns how many appends were rejected because of their size, and the most bytes of a record
    /// that was accepted.
    pub fn sizes(&self) -> (u64, usize) {
        let state = self.state.lock().unwrap();
        (state.oversized, state.largest_accepted)
    }
}

async fn handle(store: Arc<Store>, call: Call) -> Answer {
    sleep(ANSWER_TIME).await;
    let key = format!(
        "{}/{}",
        call.param("topic").unwrap_or_default(),
        call.param("part").unwrap_or("0")
    );
    let (status, body) = match call.name() {
        "log-append" => {
            let answer = append(&store, &key, &call);
            store.appended.notify_waiters();
            answer
        }
        "log-read" => read(&store, &key, &call).await,
        "log-newest" => newest(&store, &key, &call),
        "machines" => machines(&store),
        "log-join" | "log-leave" | "log-owners" => group(&store, &call),
        _ => (404, Vec::new()),
    };
    Some((status, body))
}

fn append(store: &Store, key: &str, call: &Call) -> (u16, Vec<u8>) {
    let mut records = Vec::new();
    let mut rest = &call.body[..];
    let mut total = 0;
    let mut largest = 0;
    let mut largest_key = String::new();
    while let Some((len, after)) = rest.split_first_chunk::<4>() {
        let len = u32::from_be_bytes(*len) as usize;
        let Some((record, after)) = after.split_at_checked(len) else { return (400, Vec::new()) };
        let Some((key_len, keyed)) = record.split_first() else { return (400, Vec::new()) };
        let (key, value) = keyed.split_at(usize::from(*key_len));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        total += len;
        if len > largest {
            largest = len;
            largest_key = String::from_utf8_lossy(key).into_owned();
        }
        rest = after;
    }
    let mut guard = store.state.lock().unwrap();
    let state = &mut *guard;
    if largest > RECORD_BYTES || total > CALL_BYTES {
        state.oversized += 1;
        if state.oversized <= 20 || state.oversized.is_multiple_of(50) {
            store.recorder.line(&format!(
                "store append topic={key} rejected=413 largest_record={largest} key={largest_key} \
                 bytes={total} count={}",
                state.oversized
            ));
        }
        return (413, Vec::new());
    }
    state.largest_accepted = state.largest_accepted.max(largest);
    let partition = state.partitions.entry(key.to_owned()).or_default();
    let end = partition.end();
    let answer = |status, body: serde_json::Value| (status, body.to_string().into_bytes());
    let name = call.param("producer").unwrap_or_default().to_owned();
    let mut producer = partition.producers.get(&name).cloned().unwrap_or_default();
    let epoch = call.number("epoch");
    if let Some(epoch) = epoch {
        let seq = call.number("seq-no").unwrap_or_default();
        if epoch < producer.epoch {
            return answer(409, json!({ "reason": "fenced" }));
        }
        if epoch == producer.epoch && !producer.appends.is_empty() {
            let ago = producer.next_seq.saturating_sub(seq) as usize;
            if (1..=5).contains(&ago) && ago <= producer.appends.len() {
                let offset = producer.appends[producer.appends.len() - ago];
                return answer(200, json!({ "offset": offset, "end": end }));
            }
            if seq != producer.next_seq {
                return answer(409, json!({ "reason": "seq", "seq-no": producer.next_seq }));
            }
        }
        if epoch > producer.epoch {
            producer.epoch = epoch;
            producer.appends.clear();
        }
        producer.next_seq = seq + 1;
        producer.appends.push(end);
    }
    if call.number("at").is_some_and(|at| at != end) {
        return answer(412, json!({ "end": end }));
    }
    if epoch.is_some() {
        partition.producers.insert(name, producer);
    }
    for (key, value) in records {
        partition.push(key, value);
    }
    answer(200, json!({ "offset": end, "end": partition.end() }))
}

async fn read(store: &Store, key: &str, call: &Call) -> (u16, Vec<u8>) {
    let from = call.number("from").unwrap_or_default();
    let wait = Duration::from_millis(call.number("wait-ms").unwrap_or_default());
    let most = call.number("max-kb").unwrap_or(1_024) as usize * 1_024;
    let arrival = async {
        loop {
            let appended = store.appended.notified();
            let end = store.state.lock().unwrap().partitions.get(key).map_or(0, Partition::end);
            if end > from {
                return;
            }
            appended.await;
        }
    };
    let _ = timeout(wait, arrival).await;
    let mut state = store.state.lock().unwrap();
    let partition = state.partitions.entry(key.to_owned()).or_default();
    let mut body = Vec::new();
    body.extend_from_slice(&partition.end().to_be_bytes());
    body.extend_from_slice(&0u64.to_be_bytes());
    for (key, value) in partition.records.iter().skip(from as usize) {
        if body.len() > 16 && body.len() + value.len() > most {
            break;
        }
        let len = (1 + key.len() + value.len()) as u32;
        body.extend_from_slice(&len.to_be_bytes());
        body.push(key.len() as u8);
        body.extend_from_slice(key.as_bytes());
        body.extend_from_slice(value);
    }
    (200, body)
}

fn newest(store: &Store, key: &str, call: &Call) -> (u16, Vec<u8>) {
    let after = call.param("depends-on").unwrap_or_default().to_owned();
    let mut state = store.state.lock().unwrap();
    let partition = state.partitions.entry(key.to_owned()).or_default();
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (key, (offset, value)) in partition.newest.iter().filter(|(key, _)| **key > after) {
        if items.len() == PAGE_RECORDS || bytes + value.len() > PAGE_BYTES && !items.is_empty() {
            has_more = true;
            break;
        }
        bytes += value.len();
        items.push(json!({ "key": key, "value": STANDARD.encode(&**value), "offset": offset }));
    }
    let body = json!({ "items": items, "has-more": has_more, "end": partition.end() });
    (200, body.to_string().into_bytes())
}

/// Lists the machines of all workers.
fn machines(store: &Store) -> (u16, Vec<u8>) {
    let state = store.state.lock().unwrap();
    if state.machines_down {
        return (503, Vec::new());
    }
    let machines: Vec<_> = state
        .machines
        .iter()
        .map(|(id, it)| {
            json!({ "machine": it["machine"], "pool": it["service"], "state": "up",
                "zone": it["zone"], "labels": it["labels"], "capacity": it["capacity"], "id": id })
        })
        .collect();
    (200, json!({ "machines": machines }).to_string().into_bytes())
}

fn group(store: &Store, call: &Call) -> (u16, Vec<u8>) {
    let now = Instant::now();
    let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let name = call.param("group").map_or_else(|| text("group"), str::to_owned);
    let member = text("member");
    let mut state = store.state.lock().unwrap();
    let (generation, members) = state.groups.entry(name).or_default();
    let before = members.len();
    members.retain(|_, until| now < *until);
    *generation += u64::from(members.len() != before);
    match call.name() {
        "log-join" => {
            let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1_000));
            *generation += u64::from(members.insert(member.clone(), now + ttl).is_none());
        }
        "log-leave" => {
            *generation += u64::from(members.remove(&member).is_some());
            return (200, b"{}".to_vec());
        }
        _ => {}
    }
    let holder = |part: usize| members.keys().nth(part % members.len().max(1)).cloned();
    let rows = (0..GROUP_PARTITIONS).filter_map(|part| Some((part, holder(part)?)));
    let body = match call.name() {
        "log-join" => {
            let own = rows.filter(|(_, it)| *it == member);
            let parts: Vec<_> = own.map(|(part, _)| json!(["t", part, 0])).collect();
            json!({ "generation": *generation, "parts": parts })
        }
        _ => {
            let parts: Vec<_> = rows.map(|(part, it)| json!(["t", part, it, 0])).collect();
            json!({ "parts": parts })
        }
    };
    (200, body.to_string().into_bytes())
}
