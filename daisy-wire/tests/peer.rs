//! Frames between entry VMs: complete, truncated, too long, and of a newer version.

use std::time::Duration;

use daisy_membership::{Heartbeat, HolderEvidence, Status};
use daisy_model::{DcId, Epoch, JobId, Name, Offset, VmId};
use daisy_routing::{ClaimId, KeyId, KeyQuery};
use daisy_wire::{
    WireError,
    peer::{
        FrameDecoder, MAX_FRAME, Notice, NoticeWire, PeerQuery, PeerQueryWire, Replica,
        ReplicaChange, VERSION, frame,
    },
};
use quickcheck::{Gen, QuickCheck};

const LIMIT: usize = 1 << 20;

fn heartbeat() -> Notice {
    let heartbeat = Heartbeat {
        vm: VmId(7),
        dc: DcId(2),
        seq: 90,
        next: Offset(1 << 40),
        generation: 12,
        status: Status::Leaving,
        reads_log: true,
        evidence: Some(HolderEvidence { epoch: Epoch(11), seq: 3 }),
    };
    Notice::Heartbeat { heartbeat, full: false, in_flight: vec![(VmId(101), 8), (VmId(102), 0)] }
}

fn replicas(added: Vec<Replica>) -> Notice {
    Notice::Replicas(ReplicaChange {
        dc: DcId(1),
        epoch: Epoch(4),
        version: 9,
        full: true,
        added,
        removed: Vec::new(),
    })
}

fn replica(job: u32, vm: u32) -> Replica {
    Replica { job: JobId(job), vm: VmId(vm), leaving: vm == 102 }
}

fn next(frames: &mut FrameDecoder) -> Result<Option<Notice>, WireError> {
    frames.try_next::<NoticeWire>()?.map(Notice::try_from).transpose()
}

fn read(bytes: &[u8]) -> Result<Option<Notice>, WireError> {
    let mut frames = FrameDecoder::new(LIMIT);
    frames.push(bytes);
    next(&mut frames)
}

#[test]
fn messages_are_decoded_whatever_the_chunks_they_arrive_in() {
    let sent = [heartbeat(), replicas(vec![replica(1, 101), replica(1, 102)]), heartbeat()];
    let bytes: Vec<u8> = sent.iter().flat_map(|it| frame(&NoticeWire::from(it))).collect();

    for chunk_len in [1, 2, 5, 64, bytes.len()] {
        let mut frames = FrameDecoder::new(LIMIT);
        let mut read = Vec::new();
        for chunk in bytes.chunks(chunk_len) {
            frames.push(chunk);
            while let Some(notice) = next(&mut frames).expect("valid messages") {
                read.push(notice);
            }
        }
        assert_eq!(read, sent, "chunks of {chunk_len} bytes");
        assert!(frames.is_empty());
    }
}

#[test]
fn key_queries_survive_the_round_trip() {
    let key = KeyId { service: Name::new("shop").expect("valid"), key: "order-1".into() };
    let claim = ClaimId(77);
    let claim_timeout = Duration::from_secs(2);
    let query = KeyQuery::Claim { key, request_digest: 5, claim, repeated: true, claim_timeout };
    let sent = PeerQuery::Key(query);

    let mut frames = FrameDecoder::new(LIMIT);
    frames.push(&frame(&PeerQueryWire::from(sent.clone())));
    let read = PeerQuery::try_from(frames.only::<PeerQueryWire>().expect("a complete frame"));

    assert_eq!(read, Ok(sent));
}

#[test]
fn handovers_survive_the_round_trip_with_and_without_the_time_of_a_gap() {
    for time_since_gap in [None, Some(Duration::from_millis(1_500))] {
        let query = KeyQuery::Handover {
            keys: Vec::new(),
            last: true,
            complete_in_window: false,
            only_gap_is_before_start: false,
            leaving: true,
            time_since_gap,
        };
        let bytes = frame(&PeerQueryWire::from(PeerQuery::Key(query.clone())));
        let mut frames = FrameDecoder::new(LIMIT);
        frames.push(&bytes);

        let decoded = frames.only::<PeerQueryWire>().unwrap();

        assert_eq!(PeerQuery::try_from(decoded).unwrap(), PeerQuery::Key(query));
    }
}

#[test]
fn a_truncated_message_is_none_and_an_error_at_the_end_of_the_stream() {
    let complete = frame(&NoticeWire::from(&heartbeat()));

    for len in 0..complete.len() {
        assert_eq!(read(&complete[..len]), Ok(None), "{len} bytes");
        let mut frames = FrameDecoder::new(LIMIT);
        frames.push(&complete[..len]);
        let only = frames.only::<NoticeWire>();
        assert!(matches!(only, Err(WireError::Malformed(_))), "{len} bytes");
    }
}

#[test]
fn a_newer_version_is_rejected_as_such() {
    let mut bytes = frame(&NoticeWire::from(&heartbeat()));
    bytes[4..6].copy_from_slice(&(VERSION + 1).to_le_bytes());

    let rejected = read(&bytes);

    assert_eq!(rejected, Err(WireError::Version { found: VERSION + 1, known: VERSION }));
}

/// A hostile or corrupt length field announces gigabytes. The frame must be rejected at once: a
/// process that waits for the rest would buffer what arrives until it runs out of memory.
#[test]
fn a_length_above_the_limit_is_rejected_before_the_rest_arrives() {
    for len in [LIMIT + 1, MAX_FRAME + 1, u32::MAX as usize] {
        let head = u32::try_from(len).expect("fits").to_le_bytes();
        assert!(matches!(read(&head), Err(WireError::Field { field: "length", .. })), "{len}");
    }
}

#[test]
fn unsorted_replicas_are_rejected() {
    let unsorted = replicas(vec![replica(2, 101), replica(1, 101)]);

    let rejected = read(&frame(&NoticeWire::from(&unsorted)));

    assert!(matches!(rejected, Err(WireError::Field { field: "added", .. })), "{rejected:?}");
}

#[test]
fn random_bytes_never_panic() {
    let random = Gen::from_size_and_seed(200, 41);
    QuickCheck::new().rng(random).tests(2_000).quickcheck(never_panics as fn(Vec<u8>) -> bool);

    fn never_panics(body: Vec<u8>) -> bool {
        let len = u32::try_from(body.len() + 2).expect("short");
        let mut bytes = len.to_le_bytes().to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&body);
        let _ = read(&bytes);
        true
    }
}
