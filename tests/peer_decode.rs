//! Property tests of the decoders of peers' messages.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::peers::frame::{Frame, FrameReader, MAX_CONTROL_FRAME_BYTES};
use cornellink::process::peers::message::{
    Announcement, ClaimReply, Load, LoadBatch, MemberRecord, Message, Reply, Request,
};
use cornellink::process::target::LoadReport;
use quickcheck::{Gen, QuickCheck};

/// Frame kinds that this version defines, and some that it does not.
const KINDS: [u16; 14] = [0, 1, 2, 3, 4, 5, 6, 16, 32, 33, 48, 49, 50, 65_535];

fn check<A, F>(property: F)
where
    F: quickcheck::Testable + Fn(A) -> bool,
{
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 7)).tests(5_000).quickcheck(property);
}

fn decode_all(frame: &Frame) {
    let _ = Message::decode(frame);
    let _ = LoadBatch::decode(frame);
    let _ = Request::decode(frame);
    let _ = Reply::decode(frame);
}

/// Guards against input that makes a decoder panic, or allocate what a length field declares.
#[test]
fn arbitrary_payloads_do_not_panic() {
    fn property(payload: Vec<u8>) -> bool {
        for kind in KINDS {
            decode_all(&Frame { kind, payload: payload.clone().into() });
        }
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Guards against a decoder that panics on corrupted or truncated messages.
#[test]
fn corrupted_messages_do_not_panic() {
    fn property((index, byte, cut): (usize, u8, usize)) -> bool {
        for frame in samples() {
            let mut payload = frame.payload.to_vec();
            if payload.is_empty() {
                continue;
            }
            let index = index % payload.len();
            payload[index] = byte;
            payload.truncate(cut % (payload.len() + 1));
            decode_all(&Frame { kind: frame.kind, payload: payload.into() });
        }
        true
    }
    check(property as fn((usize, u8, usize)) -> bool);
}

/// Guards against a reader that depends on how a stream is split into chunks, or that keeps bytes
/// of frames it has returned.
#[test]
fn frame_reader_does_not_depend_on_chunk_boundaries() {
    fn property((payloads, cut): (Vec<Vec<u8>>, usize)) -> bool {
        let frames: Vec<Frame> = payloads
            .into_iter()
            .map(|payload| Frame { kind: 7, payload: payload.into() })
            .collect();
        let mut bytes = Vec::new();
        frames.iter().for_each(|frame| bytes.extend_from_slice(&frame.encode()));
        let mut reader = FrameReader::new(MAX_CONTROL_FRAME_BYTES);
        let mut read = Vec::new();
        for part in bytes.chunks(cut % 13 + 1) {
            reader.buffer.extend_from_slice(part);
            while let Some(frame) = reader.next_frame().unwrap() {
                read.push(frame);
            }
        }
        read == frames && reader.buffer.is_empty()
    }
    check(property as fn((Vec<Vec<u8>>, usize)) -> bool);
}

/// Guards against a reader that panics or loops on arbitrary streams.
#[test]
fn arbitrary_streams_do_not_panic_or_loop() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut reader = FrameReader::new(64);
        reader.buffer.extend_from_slice(&bytes);
        while let Ok(Some(frame)) = reader.next_frame() {
            decode_all(&frame);
        }
        let _ = Frame::decode_datagram(bytes.into());
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Guards against messages that differ after encoding and decoding.
#[test]
fn messages_round_trip() {
    for message in messages() {
        assert_eq!(Message::decode(&message.encode()).unwrap(), Some(message));
    }
    let loads = loads();
    assert_eq!(LoadBatch::decode(&loads.encode()).unwrap(), Some(loads));
}

/// Guards against a decoder that rejects messages with fields appended by a later version.
#[test]
fn appended_fields_are_ignored() {
    for message in messages() {
        let mut frame = message.encode();
        frame.payload = [&frame.payload[..], &[1, 2, 3]].concat().into();
        assert_eq!(Message::decode(&frame).unwrap(), Some(message));
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 4567))
}

fn messages() -> Vec<Message> {
    let record = MemberRecord { name: "one".into(), address: address(), domain: "a".into() };
    vec![
        Message::Drain(vec![address(), "[::1]:80".parse().unwrap()]),
        fixture::raw_peer::hello("one"),
        Message::Interest { relay: true },
        Message::Members(vec![record]),
        Message::Revision(Announcement { number: 44_000, nonce: u64::MAX, through: 50_000 }),
    ]
}

fn loads() -> LoadBatch {
    let report = LoadReport { running: 2, queued: 300, slots: 3 };
    let load = Load { target_index: 11_999, report, age: Duration::from_millis(40) };
    LoadBatch { revision: 9, loads: vec![load; 20] }
}

fn samples() -> Vec<Frame> {
    let answer = Answer::new(StatusCode::OK, "body");
    let reply = Reply::Claim(ClaimReply::Done { code: Code::Answered, answer });
    let mut frames: Vec<Frame> = messages().iter().map(Message::encode).collect();
    frames.push(loads().encode());
    frames.push(Request::Document { number: 3 }.encode());
    frames.push(reply.encode());
    frames
}
