//! `daisyshift node` beside callers that send as much as they can and leave requests unfinished.

#[path = "node/fleet.rs"]
mod fleet;
#[path = "node/process.rs"]
mod process;

use std::{net::SocketAddr, time::Duration};

use fleet::{Fleet, JOB_ID, job_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The memory and the descriptors of the process, by its settings.
const MEMORY_MB: u64 = 64;
const MAX_FDS: usize = 300;
/// The number of hostile connections: more than the process has descriptors.
const CROWD: usize = 400;
/// How long a hostile caller tries to send.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// The length of a body within the limits of the configuration, and how much of it is sent.
const BODY_BYTES: usize = 262_144;
const SENT_BYTES: usize = 250_000;

/// Only one crowd at a time, so that each meets a process with the whole machine to itself.
static TURN: Mutex<()> = Mutex::const_new(());

fn post_head(more: &str) -> Vec<u8> {
    let id = fastrand::u64(..);
    format!("POST /jobs/{id:016x} HTTP/1.1\r\nhost: shop.example\r\n{more}\r\n\r\n").into_bytes()
}

/// Returns what a caller sends in `piece_bytes` at a time: the head, and most of the body.
fn body_in_pieces(piece_bytes: usize) -> Vec<Vec<u8>> {
    let head = post_head(&format!("content-length: {BODY_BYTES}"));
    let body = vec![b' '; SENT_BYTES];
    [head].into_iter().chain(body.chunks(piece_bytes).map(<[u8]>::to_vec)).collect()
}

/// As [`body_in_pieces`], for a body in chunks of this length.
fn body_in_chunks(chunk_bytes: usize, count: usize) -> Vec<Vec<u8>> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes)).into_bytes();
    vec![post_head("transfer-encoding: chunked"), chunk.repeat(count)]
}

/// Opens a connection and sends the pieces; keeps it open, whatever the process does with it.
async fn send(address: SocketAddr, pieces: Vec<Vec<u8>>) -> Option<TcpStream> {
    let mut stream = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let sending = async {
        for piece in pieces {
            if stream.write_all(&piece).await.is_err() {
                return;
            }
        }
    };
    // The process may refuse the rest or read it slowly.
    let _ = timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// Lets a crowd send what `pieces` returns for each of them, and checks that the process stays within
/// its limits and answers an ordinary request while the crowd's connections are open.
async fn check_crowd(pieces: fn(usize) -> Vec<Vec<u8>>) {
    let _turn = TURN.lock().await;
    let mut fleet = Fleet::start_within(MEMORY_MB, MAX_FDS, Duration::from_millis(100)).await;
    let mut crowd = JoinSet::new();
    for number in 0..CROWD {
        crowd.spawn(send(fleet.caller_address(0), pieces(number)));
    }
    let connections: Vec<Option<TcpStream>> = crowd.join_all().await;

    let mut submitted = 0;
    for _ in 0..50 {
        submitted = fleet.submit(0, JOB_ID, job_body(1)).await;
        if submitted == 200 {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    let (memory, descriptors) = (fleet.peak_memory(0), fleet.open_descriptors(0));
    drop(connections);

    assert_eq!(submitted, 200);
    assert_eq!(fleet.exit_code(0), None, "the process lives");
    assert!(memory < MEMORY_MB << 20, "{} MiB", memory >> 20);
    assert!(descriptors < MAX_FDS, "{descriptors} descriptors");
}

/// Guards against a process that runs out of memory by large bodies that never end.
#[tokio::test]
async fn unfinished_bodies_leave_the_process_within_its_limits() {
    check_crowd(|number| body_in_pieces(if number % 2 == 0 { SENT_BYTES } else { 1_000 })).await;
}

/// Guards against the same by heads that are too long, or never end, and by empty lines before them.
#[tokio::test]
async fn unfinished_heads_leave_the_process_within_its_limits() {
    check_crowd(|number| {
        let line = match number % 3 {
            0 => "\r\n".to_owned(),
            1 => format!("x: {}\r\n", "y".repeat(1_000)),
            _ => "z".repeat(1_000),
        };
        let start = if number % 3 == 0 { "" } else { "GET /jobs/ HTTP/1.1\r\nx: " };
        let lines = line.repeat(SENT_BYTES / line.len());
        vec![start.into(), lines.into_bytes()]
    })
    .await;
}

/// Guards against the same by bodies in chunks, each of which takes more memory than it has bytes.
#[tokio::test]
async fn unfinished_chunked_bodies_leave_the_process_within_its_limits() {
    check_crowd(|number| match number % 2 {
        0 => body_in_chunks(1, SENT_BYTES / 4),
        _ => body_in_chunks(50_000, 5),
    })
    .await;
}

/// Guards against connections that are counted wrongly once requests on them were rejected unread.
#[tokio::test]
async fn connections_with_rejected_requests_are_closed_for_others() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start_within(MEMORY_MB, MAX_FDS, Duration::from_millis(100)).await;
    let rejected = b"GET /nowhere/ HTTP/1.1\r\nhost: shop.example\r\n\r\n".repeat(5);
    let mut connections = Vec::new();

    for _ in 0..CROWD {
        let mut stream = TcpStream::connect(fleet.caller_address(0)).await.expect("a port");
        stream.write_all(&rejected).await.expect("an open connection");
        stream.read_exact(&mut [0; 600]).await.expect("answers");
        connections.push(stream);
    }
    let descriptors = fleet.open_descriptors(0);

    assert!(descriptors < MAX_FDS, "{descriptors} descriptors");
    assert_eq!(fleet.submit(0, JOB_ID, job_body(1)).await, 200);
}

/// Guards against limits that a caller within those of the configuration meets.
#[tokio::test]
async fn one_request_at_the_limits_is_served() {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start_within(MEMORY_MB, MAX_FDS, Duration::from_millis(100)).await;
    let mut body = job_body(1);
    body.push_str(&" ".repeat(BODY_BYTES - body.len()));

    let status = fleet.submit(0, JOB_ID, body).await;

    assert_eq!(status, 200);
    fleet.wait_for_state(0, JOB_ID, "completed").await;
}
