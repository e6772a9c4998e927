//! Frames between entry VMs: whole, cut off, too long, of a newer version.

use std::time::Duration;

use daisy_membership::{Evidence, Heartbeat, Status};
use daisy_model::{DcId, Epoch, JobId, Name, Offset, VmId};
use daisy_routing::{ClaimId, KeyId, KeyQuery};
use daisy_wire::{
    WireError,
    peer::{
        Frames, MAX_FRAME, Notice, NoticeWire, Question, QuestionWire, Replica, ReplicaChange,
        VERSION, frame,
    },
};
use quickcheck::{Gen, QuickCheck};

const LIMIT: usize = 1 << 20;

fn beat() -> Notice {
    let beat = Heartbeat {
        vm: VmId(7),
        dc: DcId(2),
        seq: 90,
        next: Offset(1 << 40),
        generation: 12,
        status: Status::Leaving,
        reads_log: true,
        evidence: Some(Evidence { epoch: Epoch(11), seq: 3 }),
    };
    Notice::Heartbeat { beat, full: false, in_flight: vec![(VmId(101), 8), (VmId(102), 0)] }
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

fn next(frames: &mut Frames) -> Result<Option<Notice>, WireError> {
    frames.try_next::<NoticeWire>()?.map(Notice::try_from).transpose()
}

fn read(bytes: &[u8]) -> Result<Option<Notice>, WireError> {
    let mut frames = Frames::new(LIMIT);
    frames.push(bytes);
    next(&mut frames)
}

#[test]
fn messages_come_back_as_they_were_however_they_are_cut() {
    let sent = [beat(), replicas(vec![replica(1, 101), replica(1, 102)]), beat()];
    let bytes: Vec<u8> = sent.iter().flat_map(|it| frame(&NoticeWire::from(it))).collect();

    for piece in [1, 2, 5, 64, bytes.len()] {
        let mut frames = Frames::new(LIMIT);
        let mut read = Vec::new();
        for part in bytes.chunks(piece) {
            frames.push(part);
            while let Some(notice) = next(&mut frames).expect("whole messages") {
                read.push(notice);
            }
        }
        assert_eq!(read, sent, "pieces of {piece}");
        assert!(frames.is_empty());
    }
}

#[test]
fn questions_about_keys_come_back_as_they_were() {
    let key = KeyId { service: Name::new("shop").expect("valid"), key: "order-1".into() };
    let claim = ClaimId(77);
    let hold = Duration::from_secs(2);
    let query = KeyQuery::Claim { key, shape: 5, claim, repeated: true, hold };
    let sent = Question::Key(query);

    let mut frames = Frames::new(LIMIT);
    frames.push(&frame(&QuestionWire::from(sent.clone())));
    let read = Question::try_from(frames.only::<QuestionWire>().expect("whole"));

    assert_eq!(read, Ok(sent));
}

#[test]
fn a_message_that_is_cut_off_is_none() {
    let whole = frame(&NoticeWire::from(&beat()));

    for len in 0..whole.len() {
        assert_eq!(read(&whole[..len]), Ok(None), "{len} bytes");
        let mut frames = Frames::new(LIMIT);
        frames.push(&whole[..len]);
        let only = frames.only::<NoticeWire>();
        assert!(matches!(only, Err(WireError::Malformed(_))), "{len} bytes");
    }
}

#[test]
fn a_newer_version_is_refused_by_name() {
    let mut bytes = frame(&NoticeWire::from(&beat()));
    bytes[4..6].copy_from_slice(&(VERSION + 1).to_le_bytes());

    let refused = read(&bytes);

    assert_eq!(refused, Err(WireError::Version { found: VERSION + 1, known: VERSION }));
}

/// A hostile or broken length field announces gigabytes. It must be refused at once: a process
/// that waits for the rest keeps all that comes, until its memory is gone.
#[test]
fn a_length_beyond_the_bound_is_refused_before_the_rest_comes() {
    for len in [LIMIT + 1, MAX_FRAME + 1, u32::MAX as usize] {
        let head = u32::try_from(len).expect("fits").to_le_bytes();
        assert!(matches!(read(&head), Err(WireError::Field { field: "length", .. })), "{len}");
    }
}

#[test]
fn fields_that_must_not_be_are_refused() {
    let unsorted = replicas(vec![replica(2, 101), replica(1, 101)]);

    let refused = read(&frame(&NoticeWire::from(&unsorted)));

    assert!(matches!(refused, Err(WireError::Field { field: "added", .. })), "{refused:?}");
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
