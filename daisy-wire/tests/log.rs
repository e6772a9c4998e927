//! Log entries: round trip, corruption, newer versions.

use daisy_ledger::{AppendId, Batch, Placement, Record};
use daisy_model::{
    Change, Command, Condition, DcId, Epoch, Exit, ExitReport, Generation, Incarnation, JobId,
    JobKind, JobSpec, Name, Offset, PolicyChange, Priority, Resources, TaskId, Tolerance, VmId,
    WallTime, WorkClass,
};
use daisy_wire::{
    WireError,
    log::{decode, encode},
};
use quickcheck::{Gen, QuickCheck};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn change(command: Command) -> Record {
    let condition = Some(Condition { generation: Generation(9) });
    let at = WallTime(1_700_000_000_000);
    Record::Change(Change { who: name("ana"), at, text: "text".into(), command, condition })
}

fn spec() -> JobSpec {
    JobSpec {
        name: name("render"),
        team: name("shop"),
        kind: JobKind::Batch,
        tasks: 12,
        size: Resources { cpu_milli: 500, memory_mib: 512, accelerators: 1 },
        priority: Priority::Low,
        tolerance: Tolerance { delay: true, evict: false, refuse: true },
        restartable: true,
        run_time: Some(std::time::Duration::from_millis(1_500)),
        data_centres: vec![name("porto"), name("braga")],
        region_bytes: 7,
    }
}

/// Returns a batch with a record of every kind.
fn every_record() -> Batch {
    let (dc, epoch) = (DcId(2), Epoch(5));
    let task = TaskId { job: JobId(3), index: 4 };
    let incarnation = Incarnation(2);
    let size = Resources { cpu_milli: 1, memory_mib: 2, accelerators: 3 };
    let ended = |exit| ExitReport { task, incarnation, exit };
    let job = name("render");
    let kind = JobKind::Batch;
    let records = vec![
        change(Command::Create(spec())),
        change(Command::Change {
            kind,
            job: job.clone(),
            tasks: Some(2),
            priority: Some(Priority::Urgent),
            size: Some(size),
        }),
        change(Command::Cancel { kind, job }),
        change(Command::Quota { team: name("shop"), limit: size }),
        change(Command::Drain { vm: name("vm-1") }),
        change(Command::Undrain { vm: name("vm-1") }),
        change(Command::Pause(WorkClass::Batch)),
        change(Command::Resume(WorkClass::Priority(Priority::Critical))),
        change(Command::Publish(PolicyChange { tail: Some(1), ..PolicyChange::default() })),
        Record::Claim { dc, holder: VmId(1) },
        Record::Release { dc, epoch },
        Record::Checkout { dc, epoch, tasks: vec![task] },
        Record::Return { dc, epoch, tasks: vec![task] },
        Record::Placed {
            dc,
            epoch,
            placements: vec![Placement { task, incarnation, vm: VmId(8) }],
        },
        Record::Ended {
            dc,
            epoch,
            exits: vec![ended(Exit::Checkpointed(77)), ended(Exit::Unknown), ended(Exit::Done)],
        },
        Record::Intent { key: u128::MAX - 1, entry: VmId(3) },
        Record::Snapshot { through: Offset(40), part: 0, parts: 2, bytes: vec![1, 2, 3] },
    ];
    Batch { id: AppendId { sender: u64::MAX, seq: 1 }, records }
}

#[test]
fn every_record_survives_the_round_trip() {
    let batch = every_record();

    let bytes = encode(&batch).expect("encodes");

    assert_eq!(decode(&bytes), Ok(batch));
}

#[test]
fn corruption_of_any_byte_is_rejected() {
    let bytes = encode(&every_record()).expect("encodes");
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 0x10;
        assert!(matches!(decode(&corrupt), Err(WireError::Malformed(_))), "byte {at}");
    }
}

#[test]
fn a_truncated_entry_is_rejected() {
    let bytes = encode(&every_record()).expect("encodes");
    for len in 0..bytes.len() {
        assert!(matches!(decode(&bytes[..len]), Err(WireError::Malformed(_))), "{len} bytes");
    }
}

/// During a rolling update a newer process appends an entry of version 2. An older process
/// must stop there with a clear error: if it skipped the entry, its state would differ.
#[test]
fn an_entry_of_a_newer_version_is_distinguished_from_corruption() {
    // The layout that all versions share: version, 64-bit FNV-1a of version and body, body.
    let (version, body) = (2_u16, [1_u8, 2, 3]);
    let covered = version.to_le_bytes().into_iter().chain(body);
    let checksum = covered.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut bytes = version.to_le_bytes().to_vec();
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(body);

    assert_eq!(decode(&bytes), Err(WireError::Version { found: 2, known: 1 }));
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn decodes_or_not(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(300, 11)).tests(2_000);
    check.quickcheck(decodes_or_not as fn(Vec<u8>) -> bool);
}
