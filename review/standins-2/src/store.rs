//! A stand-in for the platform's store: topics with partitions, as `PROTOCOL.md` describes them.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::serve::{Answer, Call, Server, serve};

/// A page of newest records holds at most this many records and bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How long the store takes to answer, and each append of a partition.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const APPEND_TIME: Duration = Duration::from_millis(2);
/// What the store holds in total.
const STORED_MAX: usize = 400_000_000;
/// How long records remain readable by offset.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Partition {
    records: VecDeque<(Instant, String, Bytes)>,
    first: u64,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: BTreeMap<String, Producer>,
    lock: Arc<tokio::sync::Mutex<()>>,
}

#[derive(Default, Clone)]
struct Producer {
    epoch: u64,
    next_seq: u64,
    appends: Vec<u64>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, key: String, value: Bytes) {
        let offset = self.end();
        match value.is_empty() {
            true => drop(self.newest.remove(&key)),
            false => drop(self.newest.insert(key.clone(), (offset, value.clone()))),
        }
        self.records.push_back((Instant::now(), key, value));
        while self.records.front().is_some_and(|it| it.0.elapsed() > HISTORY) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, BTreeMap<String, Instant>>,
    generation: u64,
    stored: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
}

impl Shared {
    fn state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    pub async fn start() -> std::io::Result<Store> {
        let shared = Arc::new(Shared::default());
        let of_calls = shared.clone();
        let handler = Arc::new(move |call| {
            let shared = of_calls.clone();
            Box::pin(handle(shared, call)) as std::pin::Pin<Box<_>>
        });
        let server = serve(([127, 0, 0, 1], 0).into(), handler).await?;
        Ok(Store { shared, server })
    }

    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    pub fn writer(&self) -> Writer {
        Writer(self.shared.clone())
    }

    /// The bytes of the newest records.
    pub fn stored(&self) -> usize {
        self.shared.state(|it| it.stored)
    }
}

/// Writes as an operator or a worker does.
#[derive(Clone)]
pub struct Writer(Arc<Shared>);

impl Writer {
    pub fn write(&self, topic: &str, part: u64, key: &str, value: Bytes) {
        self.0.state(|it| {
            it.stored += key.len() + value.len();
            it.partitions.entry((topic.to_owned(), part)).or_default().push(key.to_owned(), value);
        });
        self.0.appended.notify_waiters();
    }

    /// Writes a record that is older than the history, so that only its key's newest value is left.
    pub fn write_old(&self, topic: &str, key: String, value: Vec<u8>) {
        self.0.state(|it| {
            it.stored += key.len() + value.len();
            let partition = it.partitions.entry((topic.to_owned(), 0)).or_default();
            let offset = partition.end();
            partition.newest.insert(key, (offset, value.into()));
            partition.first = offset + 1;
        });
    }
}

async fn handle(shared: Arc<Shared>, call: Call) -> Answer {
    sleep(ANSWER_TIME).await;
    if let Some(answer) = group(&shared, &call) {
        return Some(answer);
    }
    let at = (call.param("topic")?, call.number("part").unwrap_or_default());
    match call.name() {
        "log-append" => {
            let lock = shared.state(|it| it.partitions.entry(at.clone()).or_default().lock.clone());
            let _guard = lock.lock().await;
            sleep(APPEND_TIME).await;
            let answer = append(&shared, &at, &call);
            shared.appended.notify_waiters();
            Some(answer)
        }
        "log-read" => Some(read(&shared, &at, &call).await),
        "log-newest" => Some(newest(&shared, &at, &call)),
        _ => Some((StatusCode::NOT_FOUND, Vec::new())),
    }
}

fn group(shared: &Shared, call: &Call) -> Option<(StatusCode, Vec<u8>)> {
    let now = Instant::now();
    let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (name, member) = match call.name() {
        "log-join" | "log-leave" => (text("group"), text("member")),
        "log-owners" => (call.param("group")?, String::new()),
        _ => return None,
    };
    let answer = shared.state(|state| {
        let members = state.groups.entry(name).or_default();
        let before = members.len();
        members.retain(|_, until| now < *until);
        let mut changed = members.len() != before;
        match call.name() {
            "log-join" => {
                let ttl = Duration::from_millis(body["ttl-ms"].as_u64().unwrap_or(1_000));
                changed |= members.insert(member.clone(), now + ttl).is_none();
            }
            "log-leave" => changed |= members.remove(&member).is_some(),
            _ => {}
        }
        state.generation += u64::from(changed);
        let holder = |part: usize| members.keys().nth(part % members.len().max(1)).cloned();
        let rows: Vec<(usize, String)> =
            (0..12).filter_map(|part| Some((part, holder(part)?))).collect();
        let parts: Vec<_> = match call.name() {
            "log-owners" => rows.iter().map(|(p, it)| json!(["t", p, it, 0])).collect(),
            _ => {
                let own = rows.iter().filter(|(_, it)| *it == member);
                own.map(|(p, _)| json!(["t", p, 0])).collect()
            }
        };
        json!({ "generation": state.generation, "parts": parts })
    });
    Some((StatusCode::OK, answer.to_string().into_bytes()))
}

fn records_of(body: &Bytes) -> Option<Vec<(String, Bytes)>> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < body.len() {
        let len = u32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?) as usize;
        let record = (at + 4 + len <= body.len()).then(|| body.slice(at + 4..at + 4 + len))?;
        let key_len = usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..1 + key_len)?.to_vec()).ok()?;
        records.push((key, record.slice(1 + key_len..)));
        at += 4 + len;
    }
    Some(records)
}

fn append(shared: &Shared, at: &(String, u64), call: &Call) -> (StatusCode, Vec<u8>) {
    let Some(records) = records_of(&call.body) else {
        return (StatusCode::BAD_REQUEST, Vec::new());
    };
    let longest = records.iter().map(|(key, value)| 5 + key.len() + value.len()).max();
    if call.body.len() > 2 << 20 || longest.unwrap_or_default() > 1 << 18 {
        return (StatusCode::PAYLOAD_TOO_LARGE, Vec::new());
    }
    shared.state(|state| {
        if state.stored > STORED_MAX {
            return (StatusCode::INSUFFICIENT_STORAGE, Vec::new());
        }
        let partition = state.partitions.entry(at.clone()).or_default();
        let end = partition.end();
        let appended = |offset, end| {
            (StatusCode::OK, json!({ "offset": offset, "end": end }).to_string().into_bytes())
        };
        let name = call.param("producer").unwrap_or_default();
        let mut producer = partition.producers.get(&name).cloned().unwrap_or_default();
        let epoch = call.number("epoch");
        if let Some(epoch) = epoch {
            let seq = call.number("seq-no").unwrap_or_default();
            if epoch < producer.epoch {
                let body = json!({ "reason": "fenced" });
                return (StatusCode::CONFLICT, body.to_string().into_bytes());
            }
            if epoch == producer.epoch && !producer.appends.is_empty() {
                let ago = producer.next_seq.saturating_sub(seq) as usize;
                if (1..=5).contains(&ago) && ago <= producer.appends.len() {
                    return appended(producer.appends[producer.appends.len() - ago], end);
                }
                if seq != producer.next_seq {
                    let body = json!({ "reason": "seq", "seq-no": producer.next_seq });
                    return (StatusCode::CONFLICT, body.to_string().into_bytes());
                }
            }
            if epoch > producer.epoch {
                producer.epoch = epoch;
                producer.appends.clear();
            }
            producer.next_seq = seq + 1;
            producer.appends.push(end);
        }
        if call.number("at").is_some_and(|it| it != end) {
            return (
                StatusCode::PRECONDITION_FAILED,
                json!({ "end": end }).to_string().into_bytes(),
            );
        }
        if epoch.is_some() {
            partition.producers.insert(name, producer);
        }
        for (key, value) in records {
            state.stored += key.len() + value.len();
            partition.push(key, value);
        }
        appended(end, partition.end())
    })
}

async fn read(shared: &Shared, at: &(String, u64), call: &Call) -> (StatusCode, Vec<u8>) {
    let from = call.number("from").unwrap_or_default();
    let wait = Duration::from_millis(call.number("wait-ms").unwrap_or_default());
    let has_records = || {
        shared
            .state(|it| it.partitions.get(at).is_some_and(|it| it.end() > from || it.first > from))
    };
    let waiting = async {
        loop {
            let appended = shared.appended.notified();
            if has_records() {
                return;
            }
            let _ = timeout(Duration::from_millis(50), appended).await;
        }
    };
    let _ = timeout(wait, waiting).await;
    shared.state(|state| {
        let partition = state.partitions.entry(at.clone()).or_default();
        if from < partition.first {
            let body = json!({ "first": partition.first }).to_string();
            return (StatusCode::GONE, body.into_bytes());
        }
        let mut body = Vec::new();
        body.extend_from_slice(&partition.end().to_be_bytes());
        body.extend_from_slice(&partition.first.to_be_bytes());
        for (_, key, value) in partition.records.iter().skip((from - partition.first) as usize) {
            if body.len() > 1 << 20 {
                break;
            }
            let len = (1 + key.len() + value.len()) as u32;
            body.extend_from_slice(&len.to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (StatusCode::OK, body)
    })
}

fn newest(shared: &Shared, at: &(String, u64), call: &Call) -> (StatusCode, Vec<u8>) {
    use std::ops::Bound::{Excluded, Unbounded};
    let after = call.param("depends-on").unwrap_or_default();
    shared.state(|state| {
        let partition = state.partitions.entry(at.clone()).or_default();
        let mut rest = partition.newest.range::<String, _>((Excluded(&after), Unbounded));
        let (mut items, mut bytes) = (Vec::new(), 0);
        while items.len() < PAGE_RECORDS && bytes < PAGE_BYTES {
            let Some((key, (offset, value))) = rest.next() else { break };
            bytes += key.len() + value.len();
            items.push(json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }));
        }
        let has_more = rest.next().is_some();
        let body = json!({ "items": items, "has-more": has_more, "end": partition.end() });
        (StatusCode::OK, body.to_string().into_bytes())
    })
}
