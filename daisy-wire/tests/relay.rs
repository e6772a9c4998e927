//! Messages between readers of the log and their followers.

use std::time::Duration;

use bytes::Bytes;
use daisy_relay::{Batch, StoredRecord};
use daisy_wire::{
    peer::{FrameDecoder, MAX_FRAME, frame},
    relay::{ReadAnswer, ReadAnswerWire, ReadRequest, ReadRequestWire, RelayedTopic},
};

#[test]
fn a_request_arrives_as_it_was_sent() {
    let workers = RelayedTopic::Workers { shard: 3, shards: 24 };
    for topic in [RelayedTopic::Operators, RelayedTopic::States, workers] {
        let req = ReadRequest { topic, from: Some(7), wait: Duration::from_millis(400) };
        let mut frames = FrameDecoder::new(MAX_FRAME);
        frames.push(&frame(&ReadRequestWire::from(req)));

        let received = frames.only::<ReadRequestWire>().map(ReadRequest::try_from);

        assert_eq!(received, Ok(Ok(req)));
    }
}

/// Guards against records of another topic in answer to a request of a newer build.
#[test]
fn a_request_for_an_unknown_topic_is_rejected() {
    for (topic, shard) in [(3, None), (2, None), (2, Some((24, 24))), (0, Some((0, 1)))] {
        let wire = ReadRequestWire { topic, shard, from: None, wait_ms: 0 };

        assert!(ReadRequest::try_from(wire).is_err(), "{topic} {shard:?}");
    }
}

#[test]
fn an_answer_arrives_as_it_was_sent() {
    let record =
        StoredRecord { offset: 3, key: "config".to_owned(), value: Bytes::from_static(b"{}") };
    let answer = ReadAnswer::Records {
        batch: Batch {
            records: vec![record],
            is_snapshot: true,
            next: 4,
            age: Some(Duration::from_millis(20)),
        },
        held: Duration::from_millis(31),
        log_rtt: Duration::from_millis(5),
        is_leaving: true,
    };
    for answer in [answer, ReadAnswer::NoRecords] {
        let mut frames = FrameDecoder::new(MAX_FRAME);
        frames.push(&frame(&ReadAnswerWire::from(answer.clone())));

        let received = frames.only::<ReadAnswerWire>().map(ReadAnswer::from);

        assert_eq!(received, Ok(answer));
    }
}
