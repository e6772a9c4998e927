//! Log entries that do not decode.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use daisy_entry::start;
use daisy_ledger::{AppendId, Batch, Record};
use daisy_model::{Change, Command, WallTime, WorkClass};
use daisy_standin::client::Client;
use daisy_wire::platform::{LogPage, LogRecord, VmList};
use tokio::net::TcpListener;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, types::State};

use crate::cluster::{Cluster, cluster, name, settings};

/// A log with one entry, whose first read is corrupted.
struct FakePlatform {
    entry: Vec<u8>,
    corrupted: AtomicBool,
}

async fn read_log(req: Request) -> Result<Response> {
    let fake_platform = req.extensions().get::<Arc<FakePlatform>>().cloned().expect("state is set");
    let from_start = req.query_string().unwrap_or_default().contains("from=0&");
    let mut bytes = fake_platform.entry.clone();
    if from_start && !fake_platform.corrupted.swap(true, Ordering::SeqCst) {
        bytes[12] ^= 0x55;
    }
    let records = if from_start { vec![LogRecord::new(0, &bytes)] } else { Vec::new() };
    if records.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let page = LogPage { first: 0, next: 1, records };
    Ok(serde_json::to_string(&page).expect("JSON").into_response())
}

async fn list_vms(_: Request) -> Result<Response> {
    let list = VmList { version: 1, vms: Vec::new() };
    Ok(serde_json::to_string(&list).expect("JSON").into_response())
}

async fn platform_with(entry: Vec<u8>) -> SocketAddr {
    let fake_platform = Arc::new(FakePlatform { entry, corrupted: AtomicBool::new(false) });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("bound");
    let router = Router::new().get("/v1/log", read_log).get("/v1/vms", list_vms);
    let router = router.with(State::new(fake_platform));
    tokio::spawn(async move { viz::serve(listener, router).await });
    address
}

fn pause_batch() -> Batch {
    let change = Change {
        who: name("ana"),
        at: WallTime(0),
        text: "pause batch".into(),
        command: Command::Pause(WorkClass::Batch),
        condition: None,
    };
    Batch { id: AppendId { sender: 7, seq: 1 }, records: vec![Record::Change(change)] }
}

/// An entry is corrupted in transit to one entry VM. If the VM skipped the entry, it would never
/// get the change that is in force everywhere else, and nobody would notice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_entry_corrupted_in_transit_is_read_again() {
    let bytes = daisy_wire::log::encode(&pause_batch()).expect("encodes");
    let platform = platform_with(bytes).await;
    let entry = start(settings(platform, 1, 0)).await.expect("starts");
    let cluster = Cluster { client: Client::new(), ..cluster().await };

    let status = cluster.wait_for_status(&entry, |it| it["next"] == 1).await;

    assert_eq!(status["generation"], 1, "{status:#}");
}

/// An entry that is corrupted in the log itself must not stop any entry VM: all of them skip it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_undecodable_log_entry_is_skipped() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let uri = format!("http://{}/v1/log", cluster.platform.address());
    let req = http::Request::post(uri).header("append-id", "0000000000000009-0000000000000001");
    let req = req.body(http_body_util::Full::from("no batch at all")).expect("valid request");
    cluster.client.send(req, crate::cluster::TEST_TIMEOUT).await.expect("taken");

    let answer = cluster.run_statements(&entry, "pause batch").await;

    assert_eq!(answer.status, http::StatusCode::OK, "{:?}", answer.body);
}
