//! The peers' port: malformed or misdirected messages, and links that are cut.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use daisy_entry::start;
use daisy_membership::{Heartbeat, Status};
use daisy_model::{DcId, Epoch, JobId, Offset, VmId};
use daisy_standin::{
    Backend, Link, backend,
    link::{ForwardRule, LinkFaults, Options},
};
use daisy_wire::{
    peer::{Notice, NoticeWire, Replica, ReplicaChange, frame},
    platform::RoleJson,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{TEST_TIMEOUT, cluster, settings};

fn heartbeat_frame(vm: u32) -> Vec<u8> {
    let heartbeat = Heartbeat {
        vm: VmId(vm),
        dc: DcId(0),
        seq: 1,
        next: Offset(0),
        generation: 0,
        status: Status::Ready,
        reads_log: false,
        evidence: None,
    };
    frame(&NoticeWire::from(&Notice::Heartbeat { heartbeat, full: true, in_flight: Vec::new() }))
}

/// Sends `body` as the entry VM `from` and returns the status of the answer, if one arrives before
/// the stream ends.
async fn send(to: SocketAddr, path: &str, from: Option<&str>, body: &[u8]) -> Option<StatusCode> {
    let socket = TcpStream::connect(to).await.expect("the port is open");
    let (requests, connection) = h2::client::handshake(socket).await.expect("speaks h2");
    tokio::spawn(connection);
    let mut req = Request::post(format!("http://{to}{path}"));
    if let Some(from) = from {
        req = req.header("daisy-from", from);
    }
    let mut requests = requests.ready().await.expect("takes a stream");
    let req = req.body(()).expect("a valid request");
    let (response, mut stream) = requests.send_request(req, false).expect("sent");
    // A rejection because of the head alone may arrive first, and closes the stream.
    let _ = stream.send_data(Bytes::copy_from_slice(body), true);
    let response = tokio::time::timeout(Duration::from_secs(5), response).await;
    response.expect("an answer or an end").ok().map(|it| it.status())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_peer_messages_are_rejected_and_the_process_keeps_running() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let port = entry.addresses().peers;
    let valid = heartbeat_frame(9);
    let truncated = &valid[..valid.len() - 2];
    let mut newer = valid.clone();
    newer[4..6].copy_from_slice(&u16::MAX.to_le_bytes());
    let oversized = u32::MAX.to_le_bytes();
    let mut garbled = valid.clone();
    garbled[6..].fill(0xff);

    let rejected = Some(StatusCode::BAD_REQUEST);
    for (name, body) in [
        ("truncated", truncated),
        ("newer", &newer),
        ("oversized", &oversized[..]),
        ("garbled", &garbled),
        ("of another VM", &heartbeat_frame(8)),
    ] {
        assert_eq!(send(port, "/v1/notices", Some("9"), body).await, rejected, "{name}");
    }
    assert_eq!(send(port, "/v1/notices", None, &valid).await, rejected);
    assert_eq!(send(port, "/v1/notices", Some("me"), &valid).await, rejected);
    assert_eq!(send(port, "/v1/question", Some("9"), &garbled).await, rejected);
    let unknown = send(port, "/v1/else", Some("9"), &valid).await;
    assert_eq!(unknown, Some(StatusCode::NOT_FOUND));

    send(port, "/v1/notices", Some("9"), &valid).await;
    cluster
        .wait_for_status(&entry, |it| it["peers"][0]["vm"] == 9 && it["peers"][0]["alive"] == true)
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_from_an_address_not_allowed_is_closed() {
    let cluster = cluster().await;
    let mut settings = settings(cluster.platform.address(), 1, 0);
    settings.allowed_peers = vec![[127, 0, 0, 2].into()];
    let entry = start(settings).await.expect("starts");

    let socket = TcpStream::connect(entry.addresses().peers).await.expect("the port is open");
    let served = async {
        let (requests, connection) = h2::client::handshake(socket).await?;
        tokio::spawn(connection);
        let mut requests = requests.ready().await?;
        let req = Request::post("http://entry/v1/question").body(()).expect("valid");
        requests.send_request(req, true)?.0.await
    };

    assert!(served.await.is_err());
}

/// The link between two entry VMs hangs without a reset, and comes back. Meanwhile each treats the
/// other as dead, but both reach the log, so there is at most one holder at any time. Afterwards
/// they receive heartbeats again, though TCP would keep the old connection for minutes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn peers_reconnect_after_their_link_was_cut() {
    let cluster = cluster().await;
    let mut links = Vec::new();
    let mut entries = Vec::new();
    for vm in [1, 2] {
        let entry = start(settings(cluster.platform.address(), vm, 0)).await.expect("starts");
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = Options {
            name: format!("link-{vm}"),
            control: listen,
            forward_rules: vec![ForwardRule { listen, to: entry.addresses().peers }],
            faults: LinkFaults::default(),
            history: None,
        };
        let link = Link::start(options).await.expect("loopback has free ports");
        cluster.list_vm(vm, 0, RoleJson::Entry, link.address(), None);
        links.push(link);
        entries.push(entry);
    }
    for entry in &entries {
        cluster.wait_for_status(entry, |it| it["peers"][0]["alive"] == true).await;
    }
    for link in &links {
        link.set_faults(LinkFaults { cut: true, ..LinkFaults::default() });
    }
    for entry in &entries {
        cluster.wait_for_status(entry, |it| it["peers"][0]["alive"] == false).await;
    }
    for link in &links {
        link.set_faults(LinkFaults::default());
    }

    for entry in &entries {
        cluster.wait_for_status(entry, |it| it["peers"][0]["alive"] == true).await;
    }

    let roles = [cluster.status(&entries[0]).await, cluster.status(&entries[1]).await];
    let holders = roles.iter().filter(|it| it["role"] == "holder").count();
    assert!(holders <= 1, "{roles:#?}");
}

/// A peer's VM is lost in the middle of a connection and comes back, or its link does. TCP alone
/// would send into the old connection for minutes. The peer in this test accepts a connection and
/// sends nothing; the entry VM must open another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_to_an_unresponsive_peer_is_reopened() {
    let cluster = cluster().await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    cluster.list_vm(9, 0, RoleJson::Entry, unresponsive.local_addr().expect("bound"), None);
    let _entry = cluster.start_ready_entry(1, 0).await;
    let accept = async {
        let (socket, _) = unresponsive.accept().await.expect("a connection");
        h2::server::handshake(socket).await.expect("speaks h2")
    };

    let mut first = accept.await;
    // A dropped stream would be reset, which would notify its sender at once.
    let reading = tokio::spawn(async move {
        let mut held = Vec::new();
        while let Some(stream) = first.accept().await {
            held.push(stream);
        }
    });
    let second = tokio::time::timeout(TEST_TIMEOUT, unresponsive.accept()).await;

    assert!(second.is_ok(), "no second connection");
    reading.abort();
}

fn replicas_frame(epoch: u64, version: u64, added: &[u32]) -> Vec<u8> {
    let replica = |vm: &u32| Replica { job: JobId(0), vm: VmId(*vm), leaving: false };
    let change = ReplicaChange {
        dc: DcId(1),
        epoch: Epoch(epoch),
        version,
        full: true,
        added: added.iter().map(replica).collect(),
        removed: Vec::new(),
    };
    frame(&NoticeWire::from(&Notice::Replicas(change)))
}

/// A holder is paused, another one has placed the service again, and the former holder's message
/// arrives late, on another path. If it were applied, it would remove the service's backend
/// servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replicas_from_an_older_epoch_are_ignored() {
    let cluster = cluster().await;
    let entry = cluster.start_ready_entry(1, 0).await;
    let backend = Backend::start(backend::Options::default()).await.expect("free ports");
    cluster.list_vm(101, 1, RoleJson::Worker, backend.address(), Some(backend.address()));
    let create = "quota team shop cpu 8 memory 8Gi; create service shop team shop cpu 1 memory 1Gi";
    assert_eq!(cluster.run_statements(&entry, create).await.status, StatusCode::OK);
    let port = entry.addresses().peers;
    let answers = async || {
        let uri = format!("http://{}/", entry.addresses().callers);
        let req = Request::get(uri).header("daisy-service", "shop").body(Full::default());
        let answer =
            cluster.client.send(req.expect("valid"), TEST_TIMEOUT).await.expect("an answer");
        answer.status == StatusCode::OK
    };

    send(port, "/v1/notices", Some("9"), &replicas_frame(5, 2, &[101])).await;
    while !answers().await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    send(port, "/v1/notices", Some("8"), &replicas_frame(4, 9, &[])).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert!(answers().await, "the older epoch took the backend server away");
}
